#include <catch2/catch.hpp>

#include "platform/machine_calls.h"
#include "sassafras/sched/evacuations.h"
#include "tests/fleet_checks.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

const instant kNow = instant(1h);

TEST_CASE("Evacuated data centres follow scans and changes") {
  evacuations known;
  CHECK(known.ConfirmedAt() == instant());
  known.OnScan(kNow, 10, {{"lahore"}, {"gujranwala"}});
  CHECK(known.Places() == std::set<std::string>{"gujranwala", "lahore"});
  CHECK(known.ConfirmedAt() == kNow);

  SECTION("a change takes one back") {
    known.OnChanges(kNow + 1s, 11, {{"lahore", true}});
    CHECK(known.Places() == std::set<std::string>{"gujranwala"});
    CHECK(known.ConfirmedAt() == kNow + 1s);
  }
  SECTION("a scan after lost history replaces the set") {
    known.OnScan(kNow + 1s, 12, {{"faisalabad"}});
    CHECK(known.Places() == std::set<std::string>{"faisalabad"});
  }
  SECTION("a scan older than what is known changes and confirms nothing") {
    known.OnScan(kNow + 1s, 9, {});
    CHECK(known.Places().size() == 2);
    CHECK(known.ConfirmedAt() == kNow);
  }
}

TEST_CASE("Operator's row evacuates a data centre by its presence") {
  const auto decode = [](const std::string& key, bool is_erased) {
    table_row row{key, "not JSON", 7};
    row.is_erased = is_erased;
    return platform::DecodeEvacuation(row);
  };
  REQUIRE(decode("op/evacuate/lahore", false));
  CHECK(decode("op/evacuate/lahore", false)->place == "lahore");
  CHECK_FALSE(decode("op/evacuate/lahore", false)->is_withdrawn);
  CHECK(decode("op/evacuate/lahore", true)->is_withdrawn);
  CHECK_FALSE(decode("op/config", false));
  CHECK_FALSE(decode("op/wave/3", false));
}

// Places the minions of the second rack in data centre "b".
void SplitIntoTwoPlaces(fake_fleet& fleet) {
  for (auto& [id, minion] : fleet.minions) {
    minion.report.zone = minion.report.rack == "r0" ? "a" : "b";
  }
  fleet.SendMinionList();
}

// Number of starts sent to minions of `place` since the first `skipped`.
int CountStartsIn(const fake_fleet& fleet,
                  const std::string& place,
                  std::size_t skipped) {
  int count = 0;
  for (std::size_t i = skipped; i < fleet.sent_starts.size(); ++i) {
    const std::string& id = fleet.sent_starts[i].minion.id;
    count += fleet.minions.at(id).report.zone == place ? 1 : 0;
  }
  return count;
}

TEST_CASE("A data centre is evacuated while jobs of all kinds run and wait") {
  fake_fleet::options options;
  options.lost_answer_rate = GENERATE(0.0, 0.3);
  fake_fleet fleet(options);
  SplitIntoTwoPlaces(fleet);
  accepted_job lasting = OneStep("lasting", 1, 4, kSmall, 1s);
  lasting.spec.steps[0].is_persistent = true;
  fleet.Submit(lasting);
  fleet.Submit(OneStep("many", 2, 120, kSmall, 700ms));
  for (int i = 0; i < 6; ++i) {
    fleet.Submit(Gang("gang" + std::to_string(i), 1, 2));
  }
  fleet.Run(1s);
  REQUIRE(CountStartsIn(fleet, "b", 0) > 0);
  const std::size_t before = fleet.sent_starts.size();
  fleet.evacuated.OnChanges(fleet.now, 5, {{"b"}});

  SECTION("nothing more is started there, and jobs finish elsewhere") {
    fleet.Submit(Gang("urgent", 0, 2));
    fleet.FailRuns("many");
    fleet.Run(20s);
    CHECK(CountStartsIn(fleet, "b", before) == 0);
    CHECK(fleet.StateOf("many") == job_state::kComplete);
    CHECK(fleet.StateOf("urgent") == job_state::kComplete);
  }
  SECTION("neither by the next owner") {
    fleet.Run(300ms);
    fleet.ReplaceOwner();
    fleet.Run(10s);
    CHECK(CountStartsIn(fleet, "b", before) == 0);
  }
  SECTION("a job that fits only there waits until it is taken back") {
    accepted_job wide = Gang("wide", 1, 8);
    fleet.Cancel("lasting");
    fleet.Submit(wide);
    fleet.Run(20s);
    CHECK(fleet.StateOf("wide") == job_state::kQueued);
    fleet.evacuated.OnChanges(fleet.now, 6, {{"b", true}});
    fleet.Run(5s);
    CHECK(fleet.StateOf("wide") == job_state::kComplete);
  }
  CheckNoViolations(fleet);
}

TEST_CASE("An owner that cannot learn of evacuations starts nothing") {
  fake_fleet::options options;
  options.max_evacuation_age = 3800ms;
  fake_fleet fleet(options);
  fleet.Run(100ms);
  fleet.is_operator_reachable = false;
  fleet.Run(3500ms);

  SECTION("but as long as none can be in force unknown to it, it does") {
    fleet.Submit(OneStep("early", 0, 1, kSmall, 300ms));
    fleet.Run(200ms);
    CHECK(fleet.starts["early"] == 1);
  }
  SECTION("it starts what waits once it can learn of them again") {
    fleet.Run(1s);
    fleet.Submit(OneStep("late", 0, 1, kSmall, 300ms));
    fleet.Run(2s);
    CHECK(fleet.starts["late"] == 0);
    fleet.is_operator_reachable = true;
    fleet.Run(1s);
    CHECK(fleet.StateOf("late") == job_state::kComplete);
  }
}

}  // namespace
}  // namespace sassafras::sched

#include <catch2/catch.hpp>

#include "tests/fleet_checks.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

// Versions of the record of `job` that are seen while the fleet runs.
int CountWrites(fake_fleet& fleet, const std::string& job, duration length) {
  int writes = 0;
  std::uint64_t version = fleet.table.Read(kRecordTable + job).version;
  for (duration ran{0}; ran < length; ran += fake_fleet::kStep) {
    fleet.Run(fake_fleet::kStep);
    const std::uint64_t now = fleet.table.Read(kRecordTable + job).version;
    writes += now == version ? 0 : 1;
    version = now;
  }
  return writes;
}

TEST_CASE("The load of a wide job, of which tasks start and end all the time") {
  fake_fleet fleet({});
  // Each of its tasks takes another time, and more wait than have room.
  accepted_job wide = OneStep("wide", 2, 0, kSmall, 1s);
  wide.spec.steps.clear();
  for (int i = 0; i < 60; ++i) {
    step_spec step = OneStep("", 2, 4, kSmall, 300ms + i * 11ms).spec.steps[0];
    wide.spec.steps.push_back(step);
  }
  fleet.Submit(wide);

  SECTION("does not have its whole record written at each of them") {
    CHECK(CountWrites(fleet, "wide", 2s) <= 2s / 80ms + 1);
    CHECK(CountWrites(fleet, "wide", 500ms) >= 3);
  }
  SECTION("does not delay an urgent job's start") {
    fleet.Run(1s);
    fleet.Submit(OneStep("urgent", 0, 1, kSmall, 300ms));
    const instant submitted_at = fleet.now;
    while (fleet.starts["urgent"] == 0 && fleet.now < submitted_at + 2s) {
      fleet.Run(fake_fleet::kStep);
    }
    // A stop, two commits and the orders.
    CHECK(fleet.now - submitted_at < 600ms);
  }
  SECTION("and its end is told at once") {
    REQUIRE(fleet.RunUntilEnded(30s));
    fleet.Run(100ms);
    CHECK(DecodeRecord(fleet.table.Read("records/wide").value).value().state ==
          job_state::kComplete);
  }
  CheckNoViolations(fleet);
}

TEST_CASE("Looks that wait hold connections: they are few") {
  fake_fleet::options options;
  options.max_long_polls = 2;
  fake_fleet fleet(options);
  fleet.Submit(OneStep("a", 1, 40, kSmall, 2s));
  REQUIRE(fleet.RunUntilEnded(8s));
  CHECK(fleet.max_concurrent_long_polls == 2);
  CHECK(fleet.starts["a"] == 40);
  CheckNoViolations(fleet);

  SECTION("and the others are asked once in that time, not again and again") {
    // 8 minions, 8 s, a wait of 1.5 s: 6 looks at each.
    CHECK(fleet.counters.Get("sched_look_without_wait") > 0);
    CHECK(fleet.counters.Get("sched_look_without_wait") <= 48);
  }
}

}  // namespace
}  // namespace sassafras::sched

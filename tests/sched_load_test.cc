#include <catch2/catch.hpp>

#include "tests/fleet_checks.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

// Counts the writes of the record of `job` while the fleet runs for `length`.
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

TEST_CASE("A wide job whose tasks start and end continually") {
  fake_fleet fleet({});
  // The steps differ in run time, and more tasks wait than there is capacity
  // for.
  accepted_job wide = OneStep("wide", 2, 0, kSmall, 1s);
  wide.spec.steps.clear();
  for (int i = 0; i < 60; ++i) {
    step_spec step = OneStep("", 2, 4, kSmall, 300ms + i * 11ms).spec.steps[0];
    wide.spec.steps.push_back(step);
  }
  fleet.Submit(wide);

  SECTION("its record is not written at each start and end") {
    CHECK(CountWrites(fleet, "wide", 2s) <= 2s / 80ms + 1);
    CHECK(CountWrites(fleet, "wide", 500ms) >= 3);
  }
  SECTION("the start of an urgent job is not delayed") {
    fleet.Run(1s);
    fleet.Submit(OneStep("urgent", 0, 1, kSmall, 300ms));
    const instant submitted_at = fleet.now;
    while (fleet.starts["urgent"] == 0 && fleet.now < submitted_at + 2s) {
      fleet.Run(fake_fleet::kStep);
    }
    // Time for a stop, two commits and the orders.
    CHECK(fleet.now - submitted_at < 600ms);
  }
  SECTION("its end is recorded within 100 ms") {
    REQUIRE(fleet.RunUntilEnded(30s));
    fleet.Run(100ms);
    CHECK(DecodeRecord(fleet.table.Read("records/wide").value).value().state ==
          job_state::kComplete);
  }
  CheckNoViolations(fleet);
}

TEST_CASE("The number of long polls in flight is bounded") {
  fake_fleet::options options;
  options.max_long_polls = 2;
  fake_fleet fleet(options);
  fleet.Submit(OneStep("a", 1, 40, kSmall, 2s));
  REQUIRE(fleet.RunUntilEnded(8s));
  CHECK(fleet.max_concurrent_long_polls == 2);
  CHECK(fleet.starts["a"] == 40);
  CheckNoViolations(fleet);

  SECTION("other minions are polled once per interval of a long poll") {
    // 8 minions, 8 s, a wait of 1.5 s: at most 6 polls of each minion.
    CHECK(fleet.counters.Get("sched_look_without_wait") > 0);
    CHECK(fleet.counters.Get("sched_look_without_wait") <= 48);
  }
}

}  // namespace
}  // namespace sassafras::sched

#include <catch2/catch.hpp>

#include "sassafras/sched/decision_pace.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

TEST_CASE("Pause after a decision leaves time for answers and lease renewals") {
  decision_pace pace;
  const instant began(1h);

  SECTION("the first decision is not delayed") {
    CHECK(pace.RemainingPause(began) == duration(0));
  }
  SECTION("a decision of 10 ms is followed by a pause of 30 ms") {
    pace.RecordDecision(began, began + 10ms);
    CHECK(pace.RemainingPause(began + 10ms) == 30ms);
    CHECK(pace.RemainingPause(began + 25ms) == 15ms);
    CHECK(pace.RemainingPause(began + 60ms) == duration(0));
  }
  SECTION("the pause is at most 100 ms, so that leases are renewed in time") {
    pace.RecordDecision(began, began + 2s);
    CHECK(pace.RemainingPause(began + 2s) == 100ms);
  }
  SECTION("under continuous load decisions use at most a quarter of the time") {
    instant now = began;
    duration deciding{0};
    while (now < began + 1s) {
      now += pace.RemainingPause(now);
      pace.RecordDecision(now, now + 4ms);
      now += 4ms;
      deciding += 4ms;
    }
    CHECK(deciding <= 260ms);
  }
}

}  // namespace
}  // namespace sassafras::sched

#include <catch2/catch.hpp>

#include "sassafras/sched/decision_pace.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

TEST_CASE("An owner's decisions leave time for everything else") {
  decision_pace pace;
  const instant began(1h);

  SECTION("the first one is not delayed") {
    CHECK(pace.RemainingPause(began) == duration(0));
  }
  SECTION("one that takes 10 ms of a slow processor is followed by 30 ms") {
    pace.RecordDecision(began, began + 10ms);
    CHECK(pace.RemainingPause(began + 10ms) == 30ms);
    CHECK(pace.RemainingPause(began + 25ms) == 15ms);
    CHECK(pace.RemainingPause(began + 60ms) == duration(0));
  }
  SECTION("a long one delays the next by no more than leases allow") {
    pace.RecordDecision(began, began + 2s);
    CHECK(pace.RemainingPause(began + 2s) == 100ms);
  }
  SECTION("under a flood of events they take a quarter of the time at most") {
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

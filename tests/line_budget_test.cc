#include "sassafras/telemetry/line_budget.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace sassafras {
namespace {

using namespace std::chrono_literals;

TEST_CASE("Lines beyond the budget of a second are counted, not written") {
  line_budget budget(2);
  const instant now{10s};
  CHECK(budget.Take(now));
  CHECK(budget.Take(now + 100ms));
  CHECK_FALSE(budget.Take(now + 200ms));
  CHECK_FALSE(budget.Take(now + 900ms));
  CHECK_FALSE(budget.TakeLeftOut(now + 900ms));

  SECTION("the next second has its own") {
    CHECK(budget.Take(now + 1s));
    CHECK(budget.TakeLeftOut(now + 1s) == 2);
    CHECK_FALSE(budget.TakeLeftOut(now + 1s));
  }
  SECTION("a budget of 0 writes none and counts all") {
    line_budget none(0);
    CHECK_FALSE(none.Take(now));
    CHECK(none.TakeLeftOut(now + 1s) == 1);
  }
}

}  // namespace
}  // namespace sassafras

#include "sassafras/telemetry/log_rate_limiter.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace sassafras {
namespace {

using namespace std::chrono_literals;

TEST_CASE("Lines above the limit of a second are suppressed and counted") {
  log_rate_limiter limiter(2);
  const instant now{10s};
  CHECK(limiter.TryAcquire(now));
  CHECK(limiter.TryAcquire(now + 100ms));
  CHECK_FALSE(limiter.TryAcquire(now + 200ms));
  CHECK_FALSE(limiter.TryAcquire(now + 900ms));
  CHECK_FALSE(limiter.TakeSuppressedCount(now + 900ms));

  SECTION(
      "the next second allows lines again and reports the suppressed ones "
      "once") {
    CHECK(limiter.TryAcquire(now + 1s));
    CHECK(limiter.TakeSuppressedCount(now + 1s) == 2);
    CHECK_FALSE(limiter.TakeSuppressedCount(now + 1s));
  }
  SECTION("routine lines leave half of the limit to the others") {
    log_rate_limiter busy_limiter(4);
    const line_weight routine = line_weight::kRoutine;
    CHECK(busy_limiter.TryAcquire(now, routine));
    CHECK(busy_limiter.TryAcquire(now, routine));
    CHECK_FALSE(busy_limiter.TryAcquire(now, routine));
    CHECK(busy_limiter.TryAcquire(now));
    CHECK(busy_limiter.TryAcquire(now));
    CHECK_FALSE(busy_limiter.TryAcquire(now));
  }
  SECTION("a limit of 0 suppresses and counts every line") {
    log_rate_limiter zero_limiter(0);
    CHECK_FALSE(zero_limiter.TryAcquire(now));
    CHECK(zero_limiter.TakeSuppressedCount(now + 1s) == 1);
  }
}

}  // namespace
}  // namespace sassafras

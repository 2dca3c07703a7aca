#include "sassafras/telemetry/log_rate_limiter.h"

#include <chrono>
#include <utility>

namespace sassafras {

log_rate_limiter::log_rate_limiter(int lines_per_second)
    : lines_per_second_(lines_per_second) {}

void log_rate_limiter::AdvanceTo(instant now) {
  const auto second = std::chrono::floor<std::chrono::seconds>(now);
  if (second == current_second_) {
    return;
  }
  current_second_ = second;
  lines_this_second_ = 0;
  routine_lines_this_second_ = 0;
  unreported_suppressed_ += std::exchange(suppressed_this_second_, 0);
}

bool log_rate_limiter::TryAcquire(instant now, line_weight weight) {
  AdvanceTo(now);
  const bool is_routine = weight == line_weight::kRoutine;
  if (lines_this_second_ >= lines_per_second_ ||
      (is_routine && routine_lines_this_second_ >= lines_per_second_ / 2)) {
    ++suppressed_this_second_;
    return false;
  }
  ++lines_this_second_;
  routine_lines_this_second_ += is_routine ? 1 : 0;
  return true;
}

std::optional<std::uint64_t> log_rate_limiter::TakeSuppressedCount(
    instant now) {
  AdvanceTo(now);
  if (unreported_suppressed_ == 0) {
    return std::nullopt;
  }
  return std::exchange(unreported_suppressed_, 0);
}

}  // namespace sassafras

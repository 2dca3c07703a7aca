#include "sassafras/telemetry/line_budget.h"

#include <chrono>
#include <utility>

namespace sassafras {

line_budget::line_budget(int lines_per_second)
    : lines_per_second_(lines_per_second) {}

void line_budget::Advance(instant now) {
  const auto second = std::chrono::floor<std::chrono::seconds>(now);
  if (second == second_) {
    return;
  }
  second_ = second;
  taken_ = 0;
  left_out_before_ += std::exchange(left_out_now_, 0);
}

bool line_budget::Take(instant now) {
  Advance(now);
  if (taken_ >= lines_per_second_) {
    ++left_out_now_;
    return false;
  }
  ++taken_;
  return true;
}

std::optional<std::uint64_t> line_budget::TakeLeftOut(instant now) {
  Advance(now);
  if (left_out_before_ == 0) {
    return std::nullopt;
  }
  return std::exchange(left_out_before_, 0);
}

}  // namespace sassafras

#ifndef SASSAFRAS_TELEMETRY_LINE_BUDGET_H_
#define SASSAFRAS_TELEMETRY_LINE_BUDGET_H_

#include <cstdint>
#include <optional>

#include "sassafras/core/time.h"

namespace sassafras {

/// Allows a number of lines in each second and counts the others. Not safe for
/// concurrent use.
class line_budget {
 public:
  explicit line_budget(int lines_per_second);

  /// Whether a line may be written at `now`.
  bool Take(instant now);

  /// How many lines were left out in the seconds before that of `now`, once:
  /// empty if none were.
  std::optional<std::uint64_t> TakeLeftOut(instant now);

 private:
  void Advance(instant now);

  int lines_per_second_;
  instant second_;
  int taken_ = 0;
  std::uint64_t left_out_now_ = 0;
  std::uint64_t left_out_before_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_TELEMETRY_LINE_BUDGET_H_

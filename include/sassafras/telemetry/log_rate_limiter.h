#ifndef SASSAFRAS_TELEMETRY_LOG_RATE_LIMITER_H_
#define SASSAFRAS_TELEMETRY_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "sassafras/core/time.h"

namespace sassafras {

/// Allows a number of lines in each second and counts the others. Not safe for
/// concurrent use.
class log_rate_limiter {
 public:
  explicit log_rate_limiter(int lines_per_second);

  /// Whether a line may be written at `now`.
  bool TryAcquire(instant now);

  /// How many lines were left out in the seconds before that of `now`, once:
  /// empty if none were.
  std::optional<std::uint64_t> TakeSuppressedCount(instant now);

 private:
  void AdvanceTo(instant now);

  int lines_per_second_;
  instant current_second_;
  int lines_this_second_ = 0;
  std::uint64_t suppressed_this_second_ = 0;
  std::uint64_t unreported_suppressed_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_TELEMETRY_LOG_RATE_LIMITER_H_

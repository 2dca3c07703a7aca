#ifndef SASSAFRAS_TELEMETRY_LOG_RATE_LIMITER_H_
#define SASSAFRAS_TELEMETRY_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "sassafras/core/time.h"

namespace sassafras {

/// Weight of a log line when there are too many.
enum class line_weight : std::uint8_t {
  kNormal,
  kRoutine,  ///< Suppressed first.
};

/// Limits the number of log lines in each second and counts the suppressed
/// ones. Routine lines use at most half of the limit. Not thread-safe.
class log_rate_limiter {
 public:
  /// Allows `lines_per_second` lines in each second of the clock.
  explicit log_rate_limiter(int lines_per_second);

  /// Returns whether a line may be written at `now`, and counts it as written
  /// or suppressed.
  bool TryAcquire(instant now, line_weight weight = line_weight::kNormal);

  /// Returns and resets the number of lines suppressed in the seconds before
  /// the one of `now`. Empty if there were none.
  std::optional<std::uint64_t> TakeSuppressedCount(instant now);

 private:
  // Starts the second of `now` if it differs from the current one.
  void AdvanceTo(instant now);

  int lines_per_second_;
  instant current_second_;  ///< Start of the second being counted.
  int lines_this_second_ = 0;
  int routine_lines_this_second_ = 0;
  std::uint64_t suppressed_this_second_ = 0;
  std::uint64_t unreported_suppressed_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_TELEMETRY_LOG_RATE_LIMITER_H_

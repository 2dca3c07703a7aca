#ifndef SASSAFRAS_CORE_TIME_H_
#define SASSAFRAS_CORE_TIME_H_

#include <chrono>

namespace sassafras {

/// Lengths of time, in microseconds.
using duration = std::chrono::microseconds;

/// A point in time of one process's monotonic clock. Never compared with the
/// clock of another process and never stored.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_TIME_H_

#ifndef SASSAFRAS_CORE_TIME_H_
#define SASSAFRAS_CORE_TIME_H_

#include <chrono>

namespace sassafras {

/// Lengths of time, in microseconds.
using duration = std::chrono::microseconds;

/// A reading of a process's monotonic clock. Never compared between processes
/// and never stored.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_TIME_H_

#ifndef SASSAFRAS_PROGRAMS_ENTRY_CLOCK_H_
#define SASSAFRAS_PROGRAMS_ENTRY_CLOCK_H_

#include <cstdint>

#include "sassafras/core/time.h"

namespace sassafras {

/// Returns the time since the machine booted, including time spent suspended
/// (CLOCK_BOOTTIME). The steady clock stops during a suspension, so that leases
/// that expired meanwhile would still look valid.
instant SuspendAwareNow();

/// Returns the wall-clock time in milliseconds since the Unix epoch.
std::int64_t WallUnixMs();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_CLOCK_H_

#ifndef SASSAFRAS_PROGRAMS_ENTRY_CLOCK_H_
#define SASSAFRAS_PROGRAMS_ENTRY_CLOCK_H_

#include <cstdint>

#include "sassafras/core/time.h"

namespace sassafras {

/// The time since the machine started, with the time that it was suspended:
/// the steady clock would not notice that leases have run out meanwhile.
instant SuspendAwareNow();

/// The time of day in milliseconds since 1970.
std::int64_t WallUnixMs();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_CLOCK_H_

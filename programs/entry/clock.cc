#include "programs/entry/clock.h"

#include <chrono>
#include <ctime>

namespace sassafras {

instant SuspendAwareNow() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t WallUnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace sassafras

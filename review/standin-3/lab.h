#ifndef SASSAFRAS_REVIEW_STANDIN_3_LAB_H_
#define SASSAFRAS_REVIEW_STANDIN_3_LAB_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "sassafras/core/time.h"

namespace sassafras::review {

inline instant Now() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns an unused loopback address.
std::string FreeAddress();

/// Appends a line with the time since the start of the case to record.txt.
void Record(const std::string& line);

}  // namespace sassafras::review

#endif  // SASSAFRAS_REVIEW_STANDIN_3_LAB_H_

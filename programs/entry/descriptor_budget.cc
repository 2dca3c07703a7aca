#include "programs/entry/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace sassafras {
namespace {

// Reserved for files, listening sockets and connections of the load balancer
// and operators. The users' platform reserves the same number.
constexpr int kReservedDescriptors = 200;
constexpr double kOutgoingShare = 0.75;
constexpr double kIdleShare = 0.15;
constexpr double kCallerShare = 0.2;
constexpr double kLongPollShare = 0.5;
constexpr double kReadinessShare = 0.01;
constexpr double kStatusShare = 0.04;
constexpr int kMinReadiness = 8;
constexpr int kMinStatus = 16;
// Used if the system states no limit or a higher one. The expected load never
// needs more.
constexpr int kMaxUsableDescriptors = 65'536;

int Scale(int whole, double share) {
  return static_cast<int>(whole * share);
}

}  // namespace

descriptor_budget DivideDescriptors(int descriptors) {
  const int sockets = std::max(0, descriptors - kReservedDescriptors);
  descriptor_budget budget;
  budget.outgoing = Scale(sockets, kOutgoingShare);
  budget.idle = Scale(sockets, kIdleShare);
  budget.callers = Scale(sockets, kCallerShare);
  budget.readiness = std::max(Scale(sockets, kReadinessShare), kMinReadiness);
  budget.status = std::max(Scale(sockets, kStatusShare), kMinStatus);
  budget.long_polls = Scale(sockets, kLongPollShare);
  return budget;
}

int GetDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur > static_cast<rlim_t>(kMaxUsableDescriptors)) {
    return kMaxUsableDescriptors;
  }
  return static_cast<int>(limit.rlim_cur);
}

}  // namespace sassafras

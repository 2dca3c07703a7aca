#include "sassafras/sched/decision_pace.h"

#include <algorithm>
#include <chrono>

namespace sassafras::sched {
namespace {

// The pause lasts three times as long as the decision, so that decisions use at
// most a quarter of the process's time.
constexpr int kPausePerDecisionTime = 3;
// Leases are renewed long before they expire and a stop takes 0.2 s, so that a
// delay of up to 100 ms makes an owner late for neither.
constexpr duration kMaxPause = std::chrono::milliseconds(100);

}  // namespace

void decision_pace::RecordDecision(instant began, instant ended) {
  next_decision_ =
      ended + std::min((ended - began) * kPausePerDecisionTime, kMaxPause);
}

duration decision_pace::RemainingPause(instant now) const {
  return std::max(next_decision_ - now, duration(0));
}

}  // namespace sassafras::sched

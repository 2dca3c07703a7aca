#include "sassafras/sched/decision_pace.h"

#include <algorithm>
#include <chrono>

namespace sassafras::sched {
namespace {

// Decisions take at most a quarter of the process's time.
constexpr int kPausePerDecisionTime = 3;
// Leases are extended long before their end and stops take 0.2 s: this delay
// does not make an owner miss either.
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

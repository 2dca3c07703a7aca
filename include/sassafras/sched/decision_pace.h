#ifndef SASSAFRAS_SCHED_DECISION_PACE_H_
#define SASSAFRAS_SCHED_DECISION_PACE_H_

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Limits the share of time that the owner of the jobs spends on decisions when
/// its processor does not keep up with the events. Each decision is followed by
/// a pause proportional to its duration, in which answers are processed and the
/// lease is renewed. The pause after a decision of a few microseconds is
/// negligible.
class decision_pace {
 public:
  /// Records when a decision began and when its orders had been sent.
  void RecordDecision(instant began, instant ended);

  /// Time from `now` until the next decision may begin; 0: immediately.
  duration RemainingPause(instant now) const;

 private:
  instant next_decision_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_DECISION_PACE_H_

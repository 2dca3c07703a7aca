#ifndef SASSAFRAS_SCHED_DECISION_PACE_H_
#define SASSAFRAS_SCHED_DECISION_PACE_H_

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Spaces out the decisions of an owner whose processor does not keep up with
/// its events: each decision is followed by a pause in proportion to the time
/// that it took, in which answers and the renewals of the lease are served. A
/// decision that takes microseconds is not delayed noticeably.
class decision_pace {
 public:
  /// A decision, with its orders, began and ended.
  void RecordDecision(instant began, instant ended);

  /// Pause from `now` until the next decision may begin; 0: at once.
  duration RemainingPause(instant now) const;

 private:
  instant next_decision_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_DECISION_PACE_H_

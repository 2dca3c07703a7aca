#ifndef SASSAFRAS_SRC_SCHED_STALL_RULE_H_
#define SASSAFRAS_SRC_SCHED_STALL_RULE_H_

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Observed progress of one member of a run.
struct member_progress {
  int percent = 0;
  duration progressing_for{0};  ///< From its start to its last progress.
  duration standing_for{0};     ///< From its last progress to the last poll.
  duration estimate{0};         ///< Run time, as the caller estimated it.
  /// How far the median of the other members is ahead of it, in percent; 0 for
  /// a run of one.
  int behind_peers = 0;
  bool has_alert = false;  ///< Runs stall on several minions at present.
};

/// Whether the member makes no progress. It is judged by its own speed until it
/// stopped, by its estimate if it has hardly begun; sooner if its peers have
/// gone ahead, or if several minions hang. A slow member is not stalled.
bool IsStalled(const member_progress& member);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_STALL_RULE_H_

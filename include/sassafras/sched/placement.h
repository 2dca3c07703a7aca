#ifndef SASSAFRAS_SCHED_PLACEMENT_H_
#define SASSAFRAS_SCHED_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// What placement sees of a minion that may take tasks.
struct minion_view {
  std::string id;
  std::string rack;
  std::vector<std::string> labels;
  room free;  ///< May be negative while evicted runs still stop.
  room capacity;
  room evictable;  ///< Held by runs that may be stopped for this request.
  double evict_cost = 0;       ///< Work lost if all of `evictable` is stopped.
  int rack_rank = 0;           ///< Place of its rack in a fixed order.
  int same_step = 0;           ///< Tasks of the same step that it runs already.
  bool has_failed_it = false;  ///< A run of this request failed here.
};

/// How far a request may deviate from its best places.
struct placement_limits {
  bool may_leave_rack = false;  ///< Give up one rack or the data's rack.
  bool may_evict = false;       ///< Count `evictable` as free.
  bool is_urgent = false;  ///< Fills racks from the other end of their order.
};

/// Chooses a minion for each of `count` tasks of `step`: all or none.
/// Returns indices into `minions`, one a task. Prefers, in this order: one
/// rack if the step wants it, the data's rack, the least eviction, the
/// tightest fit in accelerators.
std::optional<std::vector<std::size_t>> PlaceTasks(
    const step_spec& step,
    int count,
    const std::vector<minion_view>& minions,
    placement_limits limits);

/// Whether `count` tasks of `step` would fit on the minions if nothing ran.
bool CouldEverFit(const step_spec& step,
                  int count,
                  std::vector<minion_view> minions,
                  bool in_one_rack);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_PLACEMENT_H_

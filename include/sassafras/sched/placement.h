#ifndef SASSAFRAS_SCHED_PLACEMENT_H_
#define SASSAFRAS_SCHED_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// A run that may be stopped for a request, or ends already.
struct evictable_run {
  resource_amounts held;
  double loss = 0;  ///< Core-seconds that are thrown away; 0 if it ends.
};

/// What placement sees of a minion.
struct minion_view {
  std::string id;
  std::string rack;
  std::vector<std::string> labels;
  resource_amounts free;  ///< May be negative while evicted runs still stop.
  resource_amounts capacity;
  /// In the order in which they would be stopped. Filled before a placement
  /// that may evict.
  std::vector<evictable_run> evictable;
  bool is_evictable_current = false;  ///< Nothing changed since it was filled.
  int same_step_tasks = 0;  ///< Tasks of the same step that it runs already.
  bool is_usable = true;    ///< May take tasks.
  bool is_on_probation =
      false;  ///< Has ended no run well since it was avoided.
};

/// The minions of one rack, as a range of a fleet's, and what they have free
/// together.
struct rack_summary {
  std::size_t begin = 0;
  std::size_t end = 0;
  resource_amounts max_free;   ///< In each dimension, on one usable minion.
  resource_amounts free;       ///< Of all usable minions.
  resource_amounts evictable;  ///< Of all usable minions.
  bool is_current = false;
};

/// The minions of one service, by rack; the racks are in the order of their
/// names. Placement skips racks by their summaries.
class fleet_view {
 public:
  fleet_view() = default;
  explicit fleet_view(std::vector<minion_view> minions);

  const std::vector<minion_view>& Minions() const { return minions_; }

  /// A minion that is about to change.
  minion_view& MutableMinion(std::size_t index);

  std::size_t RackCount() const { return racks_.size(); }
  const rack_summary& Rack(std::size_t rank) const;

 private:
  std::vector<minion_view> minions_;
  std::vector<std::size_t> rack_of_;
  mutable std::vector<rack_summary> racks_;
};

/// How far a request may deviate from its best places.
struct placement_limits {
  bool may_leave_rack = false;  ///< Give up one rack or the data's rack.
  bool may_evict = false;       ///< Count `evictable` as free.
  bool is_urgent = false;  ///< Fills racks from the other end of their order.
  /// Minions on which the request has failed: taken last. May be null.
  const std::set<std::string>* failed_on = nullptr;
};

/// Chooses a minion for each of `count` tasks of `step`: all or none.
/// Returns indices of minions, one a task. Prefers, in this order: one
/// rack if the step wants it, the data's rack, the least work thrown away, the
/// tightest fit in accelerators. Urgent requests avoid minions on probation.
std::optional<std::vector<std::size_t>> PlaceTasks(const step_spec& step,
                                                   int count,
                                                   const fleet_view& fleet,
                                                   placement_limits limits);

/// Whether `count` tasks of `step` would fit on the usable minions if nothing
/// ran.
bool CouldEverFit(const step_spec& step,
                  int count,
                  const fleet_view& fleet,
                  bool in_one_rack);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_PLACEMENT_H_

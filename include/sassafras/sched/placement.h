#ifndef SASSAFRAS_SCHED_PLACEMENT_H_
#define SASSAFRAS_SCHED_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// A run that may be stopped to make room for a request, or is already
/// stopping.
struct evictable_run {
  resource_amounts held;  ///< Resources that its end frees.
  double loss = 0;        ///< Work lost, in core-seconds; 0 if it is stopping.
};

/// A minion as input to placement.
struct minion_view {
  std::string id;
  std::string rack;
  std::vector<std::string> labels;
  resource_amounts free;  ///< May be negative while evicted runs stop.
  resource_amounts capacity;
  /// Runs that may be evicted, in the order in which they would be stopped.
  /// Filled before a placement that may evict.
  std::vector<evictable_run> evictable;
  bool is_evictable_current = false;  ///< `evictable` is up to date.
  int same_step_tasks = 0;  ///< Tasks of the requested step that run here.
  bool is_usable = true;    ///< May be given tasks.
  /// No run has succeeded here since the minion was avoided, or it has just
  /// started and is still slow.
  bool is_on_probation = false;
  bool is_proven = false;      ///< A run has progressed here a moment ago.
  bool has_succeeded = false;  ///< A run has succeeded here seconds ago.
  /// Of the free resources, what gangs that come earlier in the order of
  /// placement need. The rest of what they need is released by then.
  resource_amounts held;
  resource_amounts reserved;  ///< All that these gangs need.
  instant held_until;         ///< When these gangs are expected to need it.
};

/// The minions of one rack, as the range [begin, end) of the fleet's minions,
/// and sums over them.
struct rack_summary {
  std::size_t begin = 0;
  std::size_t end = 0;
  /// Maximum, by dimension, over its usable minions.
  resource_amounts max_free;
  resource_amounts free;       ///< Sum over its usable minions.
  resource_amounts evictable;  ///< Sum over its usable minions.
  bool is_current = false;     ///< No minion has changed since it was computed.
};

/// The minions of one service, sorted by the name of their rack. Placement uses
/// the summaries of the racks to skip racks that cannot hold a task.
class fleet_view {
 public:
  fleet_view() = default;
  explicit fleet_view(std::vector<minion_view> minions);

  const std::vector<minion_view>& Minions() const { return minions_; }

  /// The minion at `index`, for modification. Marks the summary of its rack and
  /// its `evictable` as out of date.
  minion_view& MutableMinion(std::size_t index);

  /// Reserves `amount` of a minion, beyond what is reserved already, for a gang
  /// that is expected to need it at `until`, and withholds `held` of what is
  /// free now.
  void HoldOn(std::size_t index,
              const resource_amounts& amount,
              const resource_amounts& held,
              instant until);
  /// Ends all reservations.
  void ReturnHeld();
  bool IsHeld(std::size_t index) const { return held_.contains(index); }
  std::size_t HeldCount() const { return held_.size(); }
  /// The latest time at which a reservation is expected to be needed.
  instant LatestHeldUntil() const { return latest_held_until_; }

  std::size_t RackCount() const { return racks_.size(); }
  /// Summary of the rack at `rank` in the order of names; recomputed if it is
  /// out of date.
  const rack_summary& Rack(std::size_t rank) const;

 private:
  std::vector<minion_view> minions_;
  std::vector<std::size_t> rack_of_;
  std::set<std::size_t> held_;  // Indices of minions with reservations.
  instant latest_held_until_;
  mutable std::vector<rack_summary> racks_;
};

/// Constraints of one placement.
struct placement_limits {
  bool may_leave_rack = false;  ///< May ignore wants_one_rack and data_rack.
  bool may_evict = false;       ///< May use resources of `evictable` runs.
  bool is_urgent = false;       ///< Uses minions on probation last.
  bool fills_from_end = false;  ///< Tries racks in reverse order.
  bool requires_proof = false;  ///< Uses only minions that are proven.
  /// Uses only minions on which a run has succeeded lately.
  bool requires_success = false;
  /// Needs of the largest tasks of the fleet. Other tasks are placed where they
  /// do not take the room of one of these, if possible. Unset: none.
  std::optional<resource_amounts> large_task;
  /// When the tasks will have ended, as estimated. They may use resources that
  /// are reserved for a later time.
  instant expected_end = instant::max();
  /// Minions on which the request has failed; they are used last. May be null.
  const std::set<std::string>* failed_on = nullptr;
};

/// The amounts with those below 0 raised to 0.
resource_amounts PositivePart(const resource_amounts& of);

/// Number of tasks with these needs that `free` holds.
std::int64_t CountFitting(const resource_amounts& free,
                          const resource_amounts& needs);

/// Chooses a minion for each of `count` tasks of `step`, or for none of them.
/// Returns the index of a minion in fleet.Minions() for each task; empty if
/// they do not fit. Preferences, in decreasing order: one rack if the step
/// wants it, the rack of the data, the least work lost, room for large tasks
/// kept, the best fit in accelerators. Urgent requests use minions on probation
/// last.
std::optional<std::vector<std::size_t>> PlaceTasks(const step_spec& step,
                                                   int count,
                                                   const fleet_view& fleet,
                                                   placement_limits limits);

/// Whether `count` tasks of `step` would fit on the usable minions, or on those
/// of one rack if `in_one_rack`, if no task ran there.
bool CouldEverFit(const step_spec& step,
                  int count,
                  const fleet_view& fleet,
                  bool in_one_rack);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_PLACEMENT_H_

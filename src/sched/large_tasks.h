#ifndef SASSAFRAS_SRC_SCHED_LARGE_TASKS_H_
#define SASSAFRAS_SRC_SCHED_LARGE_TASKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sassafras/sched/job_model.h"
#include "sassafras/sched/placement.h"

namespace sassafras::sched {

/// Answers the load in which tasks of wide gangs need most of a minion, and
/// small tasks are spread over so many minions that hardly any can take one.
/// Learns the usual needs of the gangs of each queue.
class large_tasks {
 public:
  /// Tasks of which more fit on a minion count as small.
  static constexpr std::int64_t kMaxPerMinion = 3;
  /// Part of the rooms for large tasks below which free ones are scarce.
  static constexpr double kScarceShare = 0.25;

  /// A gang of `queue` with such tasks was accepted.
  void OnGang(const std::string& queue, const resource_amounts& needs);

  /// Usual needs of the largest gang tasks that queues run on `fleet`; nothing
  /// unless they are large for its minions, and free rooms for them are scarce.
  /// `capacity` is that of a usual minion.
  std::optional<resource_amounts> FindScarce(
      const fleet_view& fleet,
      const resource_amounts& capacity) const;

 private:
  struct mean_needs {
    double millicores = 0;
    double memory_mb = 0;
    double accelerators = 0;

    resource_amounts Rounded() const;
  };

  std::map<std::string, mean_needs> usual_needs_;  // By queue.
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_LARGE_TASKS_H_

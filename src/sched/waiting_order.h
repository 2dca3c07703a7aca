#ifndef SASSAFRAS_SRC_SCHED_WAITING_ORDER_H_
#define SASSAFRAS_SRC_SCHED_WAITING_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Answers the load in which jobs of one priority wait for longer than their
/// objectives allow. In order of acceptance all of them become late one after
/// the other, and one team's burst delays the jobs of every other team.

/// A job with waiting units, as the order sees it.
struct waiting_job {
  int priority = 0;
  bool is_guaranteed = false;  ///< Urgent, and within its team's guarantee.
  bool was_evicted = false;    ///< A gang of it was stopped for other work.
  std::string team;
  double demand = 0;  ///< Work of its waiting units, in minion-seconds.
  instant accepted_at;
  duration objective{0};  ///< From acceptance to its end; 0: it has none.
  /// Longest chain of work from its first waiting unit to its end.
  duration remaining{0};
};

/// Which rules apply, and the teams' accounts.
struct order_rules {
  bool by_objective = false;
  bool by_team = false;
  /// Minion-seconds that a team was given lately, divided by its weight.
  std::function<double(const std::string& team)> given_to;
  std::function<double(const std::string& team)> weight_of;
};

/// Part of the order within a priority, first to last.
enum class waiting_rank : std::uint8_t {
  kGuaranteed,
  kOverdue,  ///< Was evicted, or was passed over for long enough.
  kOnTime,   ///< Can still meet its objective.
  kLate,     ///< Cannot, and is passed over meanwhile.
};

waiting_rank RankOf(const waiting_job& job, instant now, bool by_objective);

/// Returns the indices of `jobs`, which are sorted by priority and acceptance,
/// in the order in which they are to be placed: by priority, then by rank. Jobs
/// that are on time, and those that are late, are taken from the teams in turn,
/// next from the team that was given the least for its weight.
std::vector<std::size_t> OrderWaiting(const std::vector<waiting_job>& jobs,
                                      instant now,
                                      const order_rules& rules);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_WAITING_ORDER_H_

#ifndef SASSAFRAS_SCHED_START_FORECAST_H_
#define SASSAFRAS_SCHED_START_FORECAST_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Answers the load in which more work is accepted than the minions can take:
/// states how long a new job would wait, so that one that is past hope is
/// refused at once. Work is counted in minion-seconds: a task takes the part of
/// a minion that follows from its scarcest resource.

/// A queue, and what of it waits.
struct queue_load {
  std::string name;
  int priority = 0;
  int waiting_jobs = 0;
  std::map<std::string, double> work_of_team;  ///< Minion-seconds that wait.
  /// Minion-seconds of its work that are placed per second while some waits.
  double rate = 1;
};

/// What decides between the teams of a queue.
struct forecast_terms {
  bool share_between_teams = false;
  std::function<double(const std::string& team)> weight_of;
  /// Whether the team may start urgent jobs within its guarantee.
  std::function<bool(const std::string& team)> has_unused_guarantee;
  std::vector<std::string> guaranteed_teams;  ///< All that have a guarantee.
};

/// Expected wait of a new job of one queue until its start.
struct queue_forecast {
  duration wait_of_others{0};  ///< Of teams that are not listed.
  std::map<std::string, duration> wait_of_team;

  duration WaitOf(const std::string& team) const;
  bool operator==(const queue_forecast&) const = default;
};

/// By name of the queue. Queues in which nothing waits for long are left out.
using queue_forecasts = std::map<std::string, queue_forecast>;

/// Waits below it are not stated: placement itself takes part of that time.
inline constexpr duration kMinForecastWait = std::chrono::milliseconds(500);
/// Longer waits are stated as this one.
inline constexpr duration kMaxForecastWait = std::chrono::hours(24);

queue_forecasts ForecastWaits(const std::vector<queue_load>& queues,
                              const forecast_terms& terms);

/// Observed rate at which room comes free for the work of one queue. More
/// urgent work, and what fits beside it, are part of the observation.
class placement_rate {
 public:
  /// Time that an observation counts.
  static constexpr duration kWindow = std::chrono::seconds(5);

  /// Adds work that was placed; a negative amount if its run was stopped.
  void OnPlaced(double minion_seconds) { placed_ += minion_seconds; }

  /// Ends a period of observation. It counts if work of the queue waited at its
  /// beginning and its end, and if anything could be placed meanwhile.
  void EndPeriod(instant now, bool has_waiting, bool could_place);

  /// Minion-seconds per second; of `usable_minions` if too little was observed.
  double Rate(instant now, double usable_minions) const;

 private:
  struct period {
    instant end;
    duration length{0};
    double placed = 0;
  };

  instant began_at_;  // Of the current period; default value: none yet.
  bool had_waiting_ = false;
  double placed_ = 0;
  std::deque<period> periods_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_START_FORECAST_H_

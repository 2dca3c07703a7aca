#ifndef SASSAFRAS_SCHED_WORK_CORE_H_
#define SASSAFRAS_SCHED_WORK_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"
#include "sassafras/net/table_port.h"
#include "sassafras/sched/job_codec.h"
#include "sassafras/sched/job_model.h"
#include "sassafras/sched/minion_orders.h"
#include "sassafras/sched/service_config.h"

namespace sassafras::sched {

/// Bounds that the platform states, and limits of the owner's own.
struct work_options {
  duration max_lease{6'000'000};            ///< A minion shortens longer ones.
  duration stop_time{400'000};              ///< Longest time a stop takes.
  duration checkpoint_interval{1'000'000};  ///< Of work, between checkpoints.
  duration restore_time{250'000};           ///< To resume from a checkpoint.
  /// Looks that wait for an end at one time: each holds a connection.
  int max_long_polls = 1'000'000;
  duration reclaim_time{2'900'000};       ///< Until a guaranteed job has begun.
  duration state_retention{150'000'000};  ///< Of rows of ended jobs.
};

/// Something that the core decided or learnt, for the log.
struct log_event {
  std::string_view event;
  std::string job;
  std::string task;  ///< "OCCURRENCE.STEP.INDEX#RUN", or empty.
  std::string minion;
  std::string detail;  ///< What decided it.
};

/// What the caller of work_core carries out, in this order.
struct work_actions {
  std::optional<table_transaction> commit;  ///< Answered by OnCommit().
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<look_order> polls;
  std::vector<pace_order> paces;
  std::optional<advice_request> advice;  ///< Answered by OnAdvice().
  std::vector<log_event> log_events;
};

/// What one minion looks like, for status pages.
struct minion_status {
  std::string id;
  std::string service;
  std::string health;  ///< "usable", or why it gets no tasks.
  room capacity;
  room used;
  int runs = 0;
};

/// What a team was promised and holds, in accelerators.
struct team_usage {
  std::int64_t guaranteed = 0;
  std::int64_t urgent = 0;  ///< Held by its jobs of priority 0.
  std::int64_t other = 0;   ///< Held by its other jobs.
};

/// Load and room at one moment, for status pages and metrics.
struct work_summary {
  std::map<int, int> waiting;  ///< Units that wait for room, by priority.
  int running = 0;             ///< Units whose starts have left.
  int closing = 0;             ///< Units that end.
  int minions_usable = 0;
  int minions_unusable = 0;
  std::int64_t free_accelerators = 0;  ///< Of usable minions.
  /// Of those, free on minions that are free as a whole: a task that takes all
  /// accelerators of a minion fits only there.
  std::int64_t free_on_idle_minions = 0;
  duration minion_list_age{0};  ///< Since the platform's list was last read.
  std::map<std::string, team_usage> teams;
};

/// An ended job whose rows may go.
struct expired_job {
  std::string id;
  std::uint64_t accepted_version = 0;
  std::uint64_t cancel_version = 0;  ///< 0: never cancelled.
  std::uint64_t record_version = 0;  ///< 0: none was written.
};

/// All decisions of the owner of the jobs: which task runs where, what is
/// recorded before an order leaves, when a run is certainly over. It holds no
/// clock, thread or socket; events come in, actions go out. Not safe for
/// concurrent use.
///
/// A start leaves only after the record that names its minion is durable. A
/// task is started again only when its earlier run is certainly over: its end
/// was listed, a minion that was told to stop it lists it no more, its minion
/// was reborn, or its lease has run out.
class work_core {
 public:
  /// `fence` is the token of this tenure, `now` the time of its beginning.
  work_core(work_options options,
            std::uint64_t fence,
            instant now,
            counter_table& counters);
  ~work_core();
  work_core(const work_core&) = delete;
  work_core& operator=(const work_core&) = delete;

  void OnConfig(service_config_ptr config);

  /// Takes in a job's row and, at the beginning of a tenure, its record.
  void OnJob(instant now,
             const accepted_job& job,
             std::uint64_t accepted_version,
             const std::optional<job_record>& record,
             std::uint64_t record_version);

  /// The caller of job `id` has cancelled it, by the row of this version.
  void OnCancel(instant now, const std::string& id, std::uint64_t version);

  /// Takes in the platform's list of minions, whole.
  void OnMinions(instant now, const std::vector<minion_report>& minions);

  void OnStarted(instant now, const start_order& order, order_answer answer);
  void OnStopped(instant now, const stop_order& order, order_answer answer);
  void OnPolled(instant now,
                instant sent,
                const look_order& order,
                const look_answer& answer);
  void OnCommit(instant now, const commit_answer& answer);
  void OnPaced(const pace_order& order, order_answer answer);
  void OnAdvice(instant now,
                const advice_request& asked,
                const advice_answer& answer);

  /// Keeps new tasks off a minion whose upkeep is due, or ends that.
  void SetCordoned(const std::string& minion, bool is_cordoned);

  /// Whether `minion` may go down now without ending a run that it should
  /// not. With `is_forced`, runs are stopped as far as they may be; asked
  /// again until it is true.
  bool TryDrain(instant now, const std::string& minion, bool is_forced);

  /// Decides what to do. `wall_unix_ms` is the time of day.
  work_actions Decide(instant now, std::int64_t wall_unix_ms);

  /// Accepted jobs without due times of which no task has started, by queue.
  std::map<std::string, int> WaitingByQueue() const;

  /// State of job `id`, empty if it is not known.
  std::optional<job_state> StateOf(const std::string& id) const;

  /// One sentence about job `id`, empty if it is not known.
  std::string Explain(const std::string& id) const;

  std::vector<minion_status> Minions() const;

  work_summary Summary(instant now) const;

  /// Up to `most` jobs that ended longer than the retention ago; forgets them.
  std::vector<expired_job> TakeExpired(instant now, std::size_t max_count);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_WORK_CORE_H_

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
#include "sassafras/sched/evacuations.h"
#include "sassafras/sched/job_codec.h"
#include "sassafras/sched/job_model.h"
#include "sassafras/sched/minion_orders.h"
#include "sassafras/sched/policy_switches.h"
#include "sassafras/sched/service_config.h"
#include "sassafras/sched/start_forecast.h"

namespace sassafras::sched {

/// Time bounds guaranteed by the platform, and limits set by this process.
/// Durations are in microseconds.
struct work_options {
  duration max_lease{6'000'000};  ///< Minions cap longer leases to it.
  duration stop_time{400'000};    ///< Upper bound on stopping a run.
  duration checkpoint_interval{1'000'000};  ///< Work between two checkpoints.
  duration restore_time{250'000};  ///< Time to resume from a checkpoint.
  /// Long polls that may be in flight at one time. Each holds a connection.
  int max_long_polls = 1'000'000;
  /// Time within which a job inside its team's guarantee must have started.
  duration reclaim_time{2'900'000};
  /// Time for which the rows of an ended job are kept.
  duration state_retention{150'000'000};
  /// Time since the evacuated data centres were last confirmed after which
  /// nothing is started, since any may have been evacuated meanwhile. 0: no
  /// limit.
  duration max_evacuation_age{0};
  policy_switches policy;
};

/// A decision or an observation of the core, for the log.
struct log_event {
  std::string_view event;
  std::string job;
  std::string task;  ///< "OCCURRENCE.STEP.INDEX#RUN", or empty.
  std::string minion;
  std::string detail;  ///< Reason or figures; free text.
  /// Start or success of a single task, of which there are many.
  bool is_routine = false;
};

/// Actions that the owner process carries out, in this order.
struct work_actions {
  std::optional<table_transaction> commit;  ///< Answered by OnCommit().
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<poll_order> polls;
  std::vector<pace_order> paces;
  std::optional<advice_request> advice;  ///< Answered by OnAdvice().
  std::vector<log_event> log_events;
};

/// State of one minion, for status pages.
struct minion_status {
  std::string id;
  std::string service;
  std::string health;  ///< "usable", or why no tasks are placed on it.
  resource_amounts capacity;
  resource_amounts used;
  int runs = 0;  ///< Runs that are not terminated.
};

/// Guarantee and current use of one team, in accelerators.
struct team_usage {
  std::int64_t guaranteed = 0;
  std::int64_t urgent = 0;  ///< Held by its jobs of priority 0.
  std::int64_t other = 0;   ///< Held by its other jobs.
};

/// Load and free capacity at one moment, for status pages and metrics.
struct work_summary {
  std::map<int, int> waiting;  ///< Units waiting for placement, by priority.
  int running = 0;             ///< Units whose starts were sent.
  int closing = 0;             ///< Units whose run is being stopped.
  int minions_usable = 0;
  int minions_unusable = 0;
  std::int64_t free_accelerators = 0;  ///< On usable minions.
  /// The part of `free_accelerators` on minions without runs. A task that needs
  /// all accelerators of a minion fits only there.
  std::int64_t free_on_idle_minions = 0;
  duration minion_list_age{0};  ///< Time since the minion list was read.
  std::map<std::string, team_usage> teams;  ///< By name.
};

/// An ended job whose rows are to be erased, with the versions of these rows.
struct expired_job {
  std::string id;
  std::uint64_t accepted_version = 0;
  std::uint64_t cancel_version = 0;  ///< 0: not cancelled.
  std::uint64_t record_version = 0;  ///< 0: no record was written.
};

/// Makes all decisions of the owner of the jobs: where each task runs, what is
/// recorded before an order is sent, and when a run is terminated, which means
/// that it cannot be running and can never start. A state machine without I/O,
/// clock or thread: the owner process passes events in and carries out the
/// returned actions. Not safe for concurrent use.
///
/// A start is sent only after the record that names its minion is durable. A
/// task is started again only after its previous run is terminated: the minion
/// listed its end, the minion has acknowledged a stop and no longer lists the
/// run, the minion has restarted, or the lease of the run has expired.
class work_core {
 public:
  /// `fence` is the fencing token of this tenure, which begins at `now`.
  work_core(work_options options,
            std::uint64_t fence,
            instant now,
            counter_table& counters);
  ~work_core();
  work_core(const work_core&) = delete;
  work_core& operator=(const work_core&) = delete;

  /// Sets the configuration of queues, services and teams.
  void OnConfig(service_config_ptr config);

  /// Adds the job of a row and, at the beginning of a tenure, restores its
  /// state from `record`. A known job is ignored.
  void OnJob(instant now,
             const accepted_job& job,
             std::uint64_t accepted_version,
             const std::optional<job_record>& record,
             std::uint64_t record_version);

  /// Cancels job `id` on behalf of its submitter; `version` is that of the
  /// cancellation's row. Unknown ids are ignored.
  void OnCancel(instant now, const std::string& id, std::uint64_t version);

  /// Sets the evacuated data centres, in which nothing is started. What runs
  /// there goes on.
  void OnEvacuations(const evacuations& evacuated);

  /// Processes the complete list of minions from the platform.
  void OnMinions(instant now, const std::vector<minion_report>& minions);

  /// Processes the answer to a start from Decide().
  void OnStarted(instant now, const start_order& order, order_answer answer);
  /// Processes the answer to a stop.
  void OnStopped(instant now, const stop_order& order, order_answer answer);
  /// Processes the answer to a poll that was sent at `sent`.
  void OnPolled(instant now,
                instant sent,
                const poll_order& order,
                const poll_answer& answer);
  /// Processes the answer to a commit.
  void OnCommit(instant now, const commit_answer& answer);
  /// Processes the answer to a pace order.
  void OnPaced(const pace_order& order, order_answer answer);
  /// Processes the answer of a queue's policy.
  void OnAdvice(instant now,
                const advice_request& request,
                const advice_answer& answer);

  /// Stops placing tasks on a minion whose upkeep is due, or allows it again.
  void SetCordoned(const std::string& minion, bool is_cordoned);

  /// Stops runs on `minion` for its upkeep: those of persistent steps, with
  /// `is_forced` all. Tasks of a persistent step are stopped only within its
  /// limit of unavailable tasks, so the owner process repeats the call. Returns
  /// whether no run is left and the minion may go down; true for unknown
  /// minions.
  bool TryDrain(instant now, const std::string& minion, bool is_forced);

  /// Returns the actions that are due at `now`. `wall_unix_ms` is the
  /// wall-clock time, for due times of jobs.
  work_actions Decide(instant now, std::int64_t wall_unix_ms);

  /// Number of jobs in state kQueued, by name of the queue.
  std::map<std::string, int> WaitingByQueue() const;

  /// State of job `id`; nullopt if it is unknown.
  std::optional<job_state> StateOf(const std::string& id) const;

  /// Describes the state of job `id` in one sentence; empty if it is unknown.
  std::string Explain(const std::string& id) const;

  /// State of all known minions, by id.
  std::vector<minion_status> Minions() const;

  /// Load and free capacity at `now`.
  work_summary Summary(instant now) const;

  /// Expected waits of new jobs, by queue; empty while nothing waits for long.
  /// They follow from what was placed since the last call.
  queue_forecasts Forecasts(instant now);

  /// What each team was given lately, in minion-seconds; see team_shares. The
  /// next owner restores the accounts, so that a change of owner settles no
  /// debt.
  std::map<std::string, double> TeamAccounts(instant now) const;
  void RestoreTeamAccounts(instant now,
                           const std::map<std::string, double>& accounts);

  /// Returns up to `max_count` jobs that ended more than `state_retention` ago,
  /// for the caller to erase their rows. They stay known until OnErased().
  std::vector<expired_job> BeginErasing(instant now, std::size_t max_count);

  /// Processes the outcome of erasing the rows of job `id`: the job is
  /// forgotten if they are gone, and returned again by a later BeginErasing()
  /// otherwise.
  void OnErased(const std::string& id, bool are_rows_gone);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_WORK_CORE_H_

#ifndef SASSAFRAS_JOB_TRACKED_JOB_H_
#define SASSAFRAS_JOB_TRACKED_JOB_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/job/job_row.h"
#include "sassafras/job/planner.h"
#include "sassafras/net/worker_port.h"

namespace sassafras::job {

/// State of one task of the recorded attempt, as known to the owner.
struct tracked_task {
  std::optional<task_state> state;  ///< As last reported.
  std::string checkpoint;           ///< Last complete checkpoint.
  std::optional<instant> sent;  ///< Last start, throttle or checkpoint call.
  std::optional<instant> stop_sent;  ///< Last stop call.
  std::optional<instant> answered;  ///< Sending time of the last answered call.
  bool is_checkpointed = false;  ///< Checkpointed since its stop was recorded.
  int throttle_percent = 0;      ///< As last confirmed.
  int sent_throttle_percent = 0;
  int desired_throttle_percent = 0;
  /// Last decrease of the desired one.
  std::optional<instant> throttle_lowered;
  instant lease_expiry;  ///< The lease has certainly expired by then
                         ///< unless it is renewed.

  /// Whether the task has ended, failed or stopped.
  bool IsFinal() const {
    return state == task_state::kEnded || state == task_state::kFailed ||
           state == task_state::kStopped;
  }
};

/// One job that has not ended: its recorded row and the changes to record next.
struct tracked_job {
  job_row row;
  std::uint64_t version = 0;
  instant submitted;  ///< Submission time by this process's clock.
  /// Tasks of the attempt; empty while waiting.
  std::vector<tracked_task> tasks;
  instant state_since;  ///< When this process recorded or read the state.
  /// First start call of this attempt by this process.
  std::optional<instant> first_start;
  std::optional<instant> run_start;  ///< When this process released the gang.
  /// A newer version of the row has cancel_requested.
  bool has_pending_cancel = false;
  stop_reason pending_stop = stop_reason::kNone;
  std::optional<planned_start> pending_start;
  std::vector<task_place> pending_placement;
  resources pending_need;
  std::string pending_reason;  ///< Reason of the wait, if it is to be recorded.

  bool AllTasks(task_state state) const;
  bool AnyTask(task_state state) const;

  /// Whether every task is final or its lease has certainly expired.
  bool IsSettled(instant now) const;
};

/// Whether every task that is not final has confirmed its desired throttle.
bool IsReleased(const tracked_job& job);

/// Limits that apply to state transitions.
struct transition_limits {
  duration first_lease{0};
  int max_losses = 0;
  std::function<bool(const worker_id&)> is_quarantined;
};

/// Whether a job holds workers in `state`.
bool HoldsWorkers(job_state state);

/// Returns the row to record next, if it differs from the recorded one.
std::optional<job_row> NextRow(const tracked_job& job,
                               const transition_limits& limits,
                               instant now);

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_TRACKED_JOB_H_

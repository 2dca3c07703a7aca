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

/// What the owner knows of one task of the recorded attempt.
struct tracked_task {
  std::optional<task_state> state;   ///< As last reported.
  std::string checkpoint;            ///< Last whole one.
  std::optional<instant> sent;       ///< Last start, throttle or checkpoint.
  std::optional<instant> stop_sent;  ///< Last stop.
  std::optional<instant> answered;  ///< Sending time of the last answered call.
  bool is_checkpointed = false;     ///< Since it was asked to stop.
  int throttle_percent = 0;         ///< As last confirmed.
  int sent_throttle_percent = 0;
  int desired_throttle_percent = 0;
  std::optional<instant> throttle_lowered;  ///< Last change of the wanted one.
  instant lease_expiry;  ///< By then its lease has surely ended unless it is
                         ///< renewed.

  /// Whether it can do no more work.
  bool IsFinal() const {
    return state == task_state::kEnded || state == task_state::kFailed ||
           state == task_state::kStopped;
  }
};

/// One job that has not ended: its row as recorded, and what is wanted next.
struct tracked_job {
  job_row row;
  std::uint64_t version = 0;
  instant submitted;                   ///< By this process's clock.
  std::vector<tracked_task> tasks;     ///< Of the attempt; empty while waiting.
  instant state_since;                 ///< The recorded state was taken in.
  std::optional<instant> first_start;  ///< Of this attempt by this process.
  std::optional<instant> run_start;    ///< When this process released it.
  bool has_pending_cancel =
      false;  ///< A later version of the row is cancelled.
  stop_reason pending_stop = stop_reason::kNone;
  std::optional<planned_start> pending_start;
  std::vector<task_place> pending_placement;
  resources pending_need;
  std::string pending_reason;  ///< Why it waits, if it should be recorded.

  bool AllTasks(task_state state) const;
  bool AnyTask(task_state state) const;

  /// Whether every task has ended, failed, stopped or surely lapsed.
  bool IsSettled(instant now) const;
};

/// Whether every task is known to have the throttle that it should have.
bool IsReleased(const tracked_job& job);

/// Limits of the transitions.
struct transition_limits {
  duration first_lease{0};
  int max_losses = 0;
  std::function<bool(const worker_id&)> is_quarantined;
};

/// Whether a job holds workers in `state`.
bool HoldsWorkers(job_state state);

/// The row that should be recorded next, if it differs from the recorded one.
std::optional<job_row> NextRow(const tracked_job& job,
                               const transition_limits& limits,
                               instant now);

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_TRACKED_JOB_H_

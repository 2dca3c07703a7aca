#include "src/job/tracked_job.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace sassafras::job {
namespace {

// Least number of failures allowed to a job if the latest attempt failed before
// its gang was released, so before any work of it, even if the job's class
// allows fewer restarts.
constexpr int kMinFailuresAllowedBeforeRelease = 3;

// Bound on failures that are not charged to the job, on top of the allowed
// ones.
constexpr int kMaxExcusedFailures = 5;

void End(job_row& row, job_outcome outcome, std::string_view reason) {
  row.state = job_state::kEnded;
  row.outcome = outcome;
  row.reason = reason;
}

void Requeue(job_row& row) {
  row.state = job_state::kWaiting;
  row.placement.clear();
  row.is_attempt_released = false;
  row.stopping_for = stop_reason::kNone;
  row.reason = "waits for its next attempt";
}

job_row Stopping(const job_row& recorded, stop_reason reason) {
  job_row row = recorded;
  row.state = job_state::kStopping;
  row.stopping_for = reason;
  return row;
}

// Number of failed attempts charged to the job: those that failed on a worker
// that is not quarantined and on which no earlier attempt failed.
int ChargedFailures(const job_row& row, const transition_limits& limits) {
  std::set<worker_id> seen;
  int charged = 0;
  for (const failed_attempt& failure : row.failures) {
    bool is_new = false;
    for (const worker_id& worker : failure.workers) {
      if (!limits.is_quarantined(worker)) {
        is_new |= seen.insert(worker).second;
      }
    }
    charged += is_new ? 1 : 0;
  }
  return charged;
}

void RecordFailures(const tracked_job& job, job_row& row) {
  failed_attempt failure{row.attempt, {}};
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].state == task_state::kFailed) {
      failure.workers.insert(row.placement[i].worker);
    }
  }
  if (!failure.workers.empty()) {
    row.failures.push_back(std::move(failure));
  }
}

// Records checkpoints only if every task has one: a gang resumes from all or
// none.
void RecordCheckpoints(const tracked_job& job, job_row& row) {
  std::vector<std::string> names;
  for (const tracked_task& task : job.tasks) {
    if (task.checkpoint.empty()) {
      return;
    }
    names.push_back(task.checkpoint);
  }
  row.checkpoints = std::move(names);
}

void FinishFailedAttempt(job_row& row, const transition_limits& limits) {
  const int charged = ChargedFailures(row, limits);
  const int allowed =
      row.is_attempt_released
          ? row.terms.max_restarts
          : std::max(row.terms.max_restarts, kMinFailuresAllowedBeforeRelease);
  const auto all = static_cast<int>(row.failures.size());
  if (charged > allowed || all > allowed + kMaxExcusedFailures) {
    End(row, row.was_released ? job_outcome::kFailed : job_outcome::kNotRun,
        "its tasks failed on several workers");
    return;
  }
  Requeue(row);
}

void FinishLostAttempt(job_row& row, const transition_limits& limits) {
  ++row.losses;
  if (row.losses > limits.max_losses) {
    End(row, row.was_released ? job_outcome::kFailed : job_outcome::kNotRun,
        "too many attempts were lost to workers");
    return;
  }
  if (row.is_attempt_released &&
      row.terms.on_loss == member_loss_policy::kEnd) {
    End(row, job_outcome::kFailed, "a worker of it was lost");
    return;
  }
  Requeue(row);
}

// Next row of a stopping job whose tasks are all settled. Implements a guard of
// models/gang.pml.
job_row NextOfStopping(const tracked_job& job,
                       const transition_limits& limits) {
  job_row row = job.row;
  if (row.is_attempt_released && job.AllTasks(task_state::kEnded)) {
    End(row, job_outcome::kSucceeded, "every task ended with success");
    return row;
  }
  RecordFailures(job, row);
  RecordCheckpoints(job, row);
  if (row.cancel_requested || job.has_pending_cancel) {
    End(row, job_outcome::kCancelled,
        row.was_released ? "cancelled after it had begun to run"
                         : "cancelled before it ran");
    return row;
  }
  const bool has_failed = job.AnyTask(task_state::kFailed);
  if (row.is_attempt_released && !row.terms.is_idempotent) {
    // It may have started work and must not run again.
    End(row, has_failed ? job_outcome::kFailed : job_outcome::kUnknown,
        has_failed ? "a task failed" : "it was stopped while it ran");
    return row;
  }
  if (has_failed) {
    FinishFailedAttempt(row, limits);
  } else if (row.stopping_for == stop_reason::kTaskLost ||
             row.stopping_for == stop_reason::kStartFailed) {
    FinishLostAttempt(row, limits);
  } else {
    Requeue(row);
  }
  return row;
}

std::optional<job_row> NextOfWaiting(const tracked_job& job) {
  job_row row = job.row;
  if (row.cancel_requested || job.has_pending_cancel) {
    row.cancel_requested = false;
    RequestCancel(row);
    return row;
  }
  if (job.pending_start) {
    row.state = job_state::kPlacing;
    ++row.attempt;
    row.placement = job.pending_placement;
    row.is_borrowed = job.pending_start->is_borrowed;
    row.is_attempt_released = false;
    row.terms.tasks = static_cast<int>(row.placement.size());
    row.terms.need = job.pending_need;
    row.reason = "its tasks are being started";
    if (row.checkpoints.size() != row.placement.size()) {
      row.checkpoints.clear();
    }
    return row;
  }
  if (!job.pending_reason.empty() && job.pending_reason != row.reason) {
    row.reason = job.pending_reason;
    return row;
  }
  return std::nullopt;
}

// Implements a guard of models/gang.pml.
std::optional<job_row> NextOfPlacing(const tracked_job& job,
                                     const transition_limits& limits,
                                     instant now) {
  if (job.has_pending_cancel || job.row.cancel_requested) {
    return Stopping(job.row, stop_reason::kCancelled);
  }
  if (job.pending_stop != stop_reason::kNone) {
    return Stopping(job.row, job.pending_stop);
  }
  if (!job.first_start || !job.AllTasks(task_state::kHeld)) {
    return std::nullopt;
  }
  if (now - *job.first_start > limits.first_lease / 2) {
    // The first leases could expire before the release.
    return Stopping(job.row, stop_reason::kStartFailed);
  }
  job_row row = job.row;
  row.state = job_state::kRunning;
  row.was_released = true;
  row.is_attempt_released = true;
  row.reason = "it runs";
  return row;
}

std::optional<job_row> NextOfRunning(const tracked_job& job) {
  if (job.AllTasks(task_state::kEnded)) {
    job_row row = job.row;
    End(row, job_outcome::kSucceeded, "every task ended with success");
    return row;
  }
  if (job.has_pending_cancel || job.row.cancel_requested) {
    return Stopping(job.row, stop_reason::kCancelled);
  }
  if (job.pending_stop != stop_reason::kNone) {
    return Stopping(job.row, job.pending_stop);
  }
  return std::nullopt;
}

}  // namespace

bool tracked_job::AllTasks(task_state state) const {
  return !tasks.empty() &&
         std::all_of(tasks.begin(), tasks.end(), [&](const tracked_task& task) {
           return task.state == state;
         });
}

bool tracked_job::AnyTask(task_state state) const {
  return std::any_of(tasks.begin(), tasks.end(), [&](const tracked_task& task) {
    return task.state == state;
  });
}

// Implements a guard of models/gang.pml.
bool tracked_job::IsSettled(instant now) const {
  return std::all_of(tasks.begin(), tasks.end(), [&](const tracked_task& task) {
    return task.IsFinal() || now >= task.lease_expiry;
  });
}

bool IsReleased(const tracked_job& job) {
  return std::all_of(
      job.tasks.begin(), job.tasks.end(), [](const tracked_task& task) {
        return task.IsFinal() ||
               task.throttle_percent == task.desired_throttle_percent;
      });
}

bool HoldsWorkers(job_state state) {
  return state == job_state::kPlacing || state == job_state::kRunning ||
         state == job_state::kStopping;
}

std::optional<job_row> NextRow(const tracked_job& job,
                               const transition_limits& limits,
                               instant now) {
  switch (job.row.state) {
    case job_state::kWaiting:
      return NextOfWaiting(job);
    case job_state::kPlacing:
      return NextOfPlacing(job, limits, now);
    case job_state::kRunning:
      return NextOfRunning(job);
    case job_state::kStopping:
      if (job.IsSettled(now)) {
        return NextOfStopping(job, limits);
      }
      return std::nullopt;
    case job_state::kEnded:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace sassafras::job

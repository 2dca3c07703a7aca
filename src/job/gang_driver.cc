#include "src/job/gang_driver.h"

#include <algorithm>

#include "sassafras/core/invariant.h"

namespace sassafras::job {
namespace {

constexpr int kFullPercent = 100;
constexpr int kMinThrottlePercent = 10;

// Maximum age of reported usage. The throttle is not lowered again within this
// time, since reports may still show usage from before the last change.
constexpr duration kUsageReportDelay = std::chrono::seconds(15);

bool IsDue(const std::optional<instant>& sent, instant now, duration interval) {
  return !sent || now - *sent >= interval;
}

task_id IdOf(const tracked_job& job, std::size_t index) {
  return MakeTaskId(job.row.id, job.row.attempt, static_cast<int>(index));
}

void SendStart(tracked_job& job,
               std::size_t index,
               instant now,
               const job_core_options& options,
               std::vector<job_action>& actions) {
  const task_place& place = job.row.placement[index];
  task_start start;
  start.task = IdOf(job, index);
  start.job = job.row.id;
  start.attempt = job.row.attempt;
  start.need = job.row.terms.need;
  start.lease = options.first_lease;
  start.throttle_percent = 0;
  start.payload = job.row.payload;
  if (!job.row.checkpoints.empty()) {
    start.checkpoint = job.row.checkpoints[index];
  }
  job.tasks[index].sent = now;
  job.tasks[index].lease_expiry =
      now + options.first_lease + options.lease_margin;
  if (!job.first_start) {
    job.first_start = now;
  }
  actions.emplace_back(
      start_task{place.worker, place.address, std::move(start)});
}

void DrivePlacing(tracked_job& job,
                  instant now,
                  const job_core_options& options,
                  std::vector<job_action>& actions) {
  if (job.pending_stop != stop_reason::kNone || job.has_pending_cancel) {
    return;
  }
  if (job.AnyTask(task_state::kFailed)) {
    job.pending_stop = stop_reason::kTaskFailed;
    return;
  }
  const bool is_late = now - job.state_since > options.first_lease / 2;
  if (is_late || job.AnyTask(task_state::kStopped) ||
      job.AnyTask(task_state::kEnded)) {
    job.pending_stop = stop_reason::kStartFailed;
    return;
  }
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const tracked_task& task = job.tasks[i];
    if (!task.state && IsDue(task.sent, now, options.resend_interval)) {
      SendStart(job, i, now, options, actions);
    }
  }
}

// Implements a guard of models/gang.pml.
void DriveRunning(tracked_job& job,
                  instant now,
                  const job_core_options& options,
                  std::vector<job_action>& actions) {
  CheckInvariant(job.row.is_attempt_released, "job_release_after_record");
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    tracked_task& task = job.tasks[i];
    const bool is_silent =
        !task.IsFinal() && task.answered &&
        now - *task.answered > options.lease + options.lease_margin;
    if (task.state == task_state::kFailed) {
      job.pending_stop = stop_reason::kTaskFailed;
    } else if (job.pending_stop == stop_reason::kNone &&
               (is_silent || task.state == task_state::kStopped)) {
      job.pending_stop = stop_reason::kTaskLost;
    }
    if (!task.IsFinal() &&
        task.throttle_percent != task.desired_throttle_percent &&
        IsDue(task.sent, now, options.resend_interval)) {
      task.sent = now;
      task.sent_throttle_percent = task.desired_throttle_percent;
      const task_place& place = job.row.placement[i];
      actions.emplace_back(throttle_task{place.worker, place.address,
                                         IdOf(job, i),
                                         task.desired_throttle_percent});
    }
  }
}

// Whether stops must wait for the checkpoint of an evicted gang.
bool IsCheckpointPending(const tracked_job& job, instant now) {
  const bool may = job.row.stopping_for == stop_reason::kEvicted &&
                   job.row.terms.can_checkpoint &&
                   job.row.is_attempt_released && !job.row.cancel_requested &&
                   !job.has_pending_cancel;
  if (!may || now - job.state_since >= job.row.terms.checkpoint_grace) {
    return false;
  }
  return std::any_of(job.tasks.begin(), job.tasks.end(),
                     [](const tracked_task& task) {
                       return !task.IsFinal() && !task.is_checkpointed;
                     });
}

// Implements a guard of models/gang.pml.
void DriveStopping(tracked_job& job,
                   instant now,
                   const job_core_options& options,
                   std::vector<job_action>& actions) {
  const bool is_checkpointing = IsCheckpointPending(job, now);
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    tracked_task& task = job.tasks[i];
    const task_place& place = job.row.placement[i];
    if (task.IsFinal()) {
      continue;
    }
    if (is_checkpointing) {
      if (!task.is_checkpointed &&
          IsDue(task.sent, now, options.resend_interval)) {
        task.sent = now;
        actions.emplace_back(
            checkpoint_task{place.worker, place.address, IdOf(job, i)});
      }
      continue;
    }
    if (IsDue(task.stop_sent, now, options.resend_interval)) {
      task.stop_sent = now;
      actions.emplace_back(
          stop_task{place.worker, place.address, IdOf(job, i)});
    }
  }
}

// Largest ratio of used to declared cores or accelerators, which a throttle can
// limit; at least 1.
double Excess(const resources& need, const resources& used) {
  double excess = 1;
  if (need.cores > 0) {
    excess = std::max(excess, static_cast<double>(used.cores) / need.cores);
  }
  if (need.accelerators > 0) {
    excess = std::max(
        excess, static_cast<double>(used.accelerators) / need.accelerators);
  }
  return excess;
}

void LowerThrottle(tracked_task& task,
                   const resources& need,
                   const resources& used,
                   instant now) {
  const double excess = Excess(need, used);
  const bool is_settling =
      task.throttle_percent != task.desired_throttle_percent ||
      (task.throttle_lowered &&
       now - *task.throttle_lowered < kUsageReportDelay);
  if (excess <= 1 || is_settling) {
    return;
  }
  task.desired_throttle_percent = std::max(
      kMinThrottlePercent, static_cast<int>(task.throttle_percent / excess));
  task.throttle_lowered = now;
}

}  // namespace

void TrackTasks(tracked_job& job,
                bool is_recorded_here,
                instant now,
                const job_core_options& options) {
  const duration lease =
      job.row.is_attempt_released ? options.lease : options.first_lease;
  if (!is_recorded_here || job.row.state == job_state::kPlacing) {
    job.tasks.assign(job.row.placement.size(), {});
    for (tracked_task& task : job.tasks) {
      task.lease_expiry = now + lease + options.lease_margin;
      task.answered = now;
    }
    job.first_start.reset();
    job.run_start.reset();
  }
  if (job.row.state == job_state::kRunning) {
    for (tracked_task& task : job.tasks) {
      task.desired_throttle_percent = kFullPercent;
      task.sent.reset();
    }
  }
  if (job.row.state == job_state::kStopping) {
    for (tracked_task& task : job.tasks) {
      task.sent.reset();
    }
  }
  job.state_since = now;
}

void DriveGang(tracked_job& job,
               instant now,
               const job_core_options& options,
               std::vector<job_action>& actions) {
  switch (job.row.state) {
    case job_state::kPlacing:
      DrivePlacing(job, now, options, actions);
      return;
    case job_state::kRunning:
      DriveRunning(job, now, options, actions);
      return;
    case job_state::kStopping:
      DriveStopping(job, now, options, actions);
      return;
    case job_state::kWaiting:
    case job_state::kEnded:
      return;
  }
}

void RecordRenewal(tracked_job& job,
                   const worker_id& worker,
                   instant now,
                   const job_core_options& options) {
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (job.row.placement[i].worker == worker) {
      job.tasks[i].lease_expiry = now + options.lease + options.lease_margin;
    }
  }
}

report_effect OnTaskReport(tracked_job& job,
                           int index,
                           instant sent,
                           const task_report& report) {
  tracked_task& task = job.tasks[static_cast<std::size_t>(index)];
  if (task.IsFinal()) {
    return report_effect::kNone;
  }
  task.answered = std::max(task.answered.value_or(sent), sent);
  if (!report.checkpoint.empty()) {
    task.checkpoint = report.checkpoint;
  }
  task.state = report.state;
  if (report.state == task_state::kHeld) {
    task.throttle_percent = 0;
  }
  if (report.state == task_state::kFailed) {
    return report_effect::kFailed;
  }
  if (report.state == task_state::kEnded) {
    return report_effect::kEnded;
  }
  if (report.state == task_state::kRunning) {
    LowerThrottle(task, job.row.terms.need, report.used, sent);
  }
  return report_effect::kNone;
}

}  // namespace sassafras::job

#include <algorithm>
#include <utility>

#include "sassafras/core/invariant.h"
#include "src/job/job_core_impl.h"

// The part of job_core that calls workers and handles their answers.

namespace sassafras::job {
namespace {

constexpr duration kWorkerCheckInterval = std::chrono::milliseconds(500);
constexpr duration kListRetryDelay = std::chrono::seconds(1);
constexpr std::string_view kProbePrefix = "probe-";

bool IsProbe(const task_id& task) {
  return task.value.rfind(kProbePrefix, 0) == 0;
}

bool IsLive(const task_report& report) {
  return report.state == task_state::kHeld ||
         report.state == task_state::kRunning;
}

}  // namespace

void job_core::impl::Drive(tracked_job& job) {
  const job_id id = job.row.id;
  DriveGang(job, now_, options_, actions_);
  if (job.row.state == job_state::kRunning && IsReleased(job)) {
    active_jobs_.erase(id);
  }
  writer_.MarkDue(id);
}

void job_core::impl::TickWorkers() {
  if (now_ < next_worker_check_ || !config_) {
    return;
  }
  next_worker_check_ = now_ + kWorkerCheckInterval;
  for (const auto& [id, worker] : config_->objects.workers) {
    instant& next = next_list_[id];
    if (now_ >= next) {
      next = now_ + (renewals_.Has(id) ? options_.busy_list_interval
                                       : options_.list_interval);
      actions_.emplace_back(list_tasks{id, worker.address, now_});
    }
  }
  for (const worker_id& worker : health_.DueProbes(now_)) {
    SendProbe(worker);
  }
  ReportAllUsability();
}

void job_core::impl::ReportAllUsability() {
  for (const auto& [id, worker] : config_->objects.workers) {
    ReportUsability(id);
  }
}

void job_core::impl::ReportUsability(const worker_id& worker) {
  if (!config_ || config_->objects.workers.count(worker) == 0) {
    return;
  }
  const bool is_usable = health_.IsUsable(worker, now_);
  const auto [it, is_new] = reported_usability_.try_emplace(worker, is_usable);
  if (!is_new && it->second == is_usable) {
    return;
  }
  it->second = is_usable;
  planner_->SetUsable(worker, is_usable);
  is_plan_due_ = true;
}

tracked_job* job_core::impl::FindTask(const worker_id& worker,
                                      const task_id& task,
                                      int& index) {
  const auto parts = ParseTaskId(task);
  if (!parts) {
    return nullptr;
  }
  const auto it = jobs_.find(parts->job);
  if (it == jobs_.end()) {
    return nullptr;
  }
  tracked_job& job = it->second;
  if (!HoldsWorkers(job.row.state) || job.row.attempt != parts->attempt ||
      parts->index < 0 || parts->index >= static_cast<int>(job.tasks.size()) ||
      job.row.placement[static_cast<std::size_t>(parts->index)].worker !=
          worker) {
    return nullptr;
  }
  index = parts->index;
  return &job;
}

void job_core::impl::On(const task_answered& event) {
  if (mode_ != mode::kOwner) {
    return;
  }
  if (IsProbe(event.task)) {
    OnProbe(event);
    return;
  }
  health_.OnAnswer(event.worker, event.answer.state == answer_state::kDone);
  int index = 0;
  tracked_job* const job = FindTask(event.worker, event.task, index);
  if (job == nullptr) {
    if (event.call == task_call::kStop &&
        event.answer.state == answer_state::kDone) {
      // A stray task has stopped; list the worker again to find others.
      next_list_[event.worker] = now_;
    }
    return;
  }
  if (event.answer.state != answer_state::kDone) {
    counters_.Add("job_call_unanswered");
    return;
  }
  OnTaskCall(*job, index, event);
}

void job_core::impl::OnTaskCall(tracked_job& job,
                                int index,
                                const task_answered& event) {
  tracked_task& task = job.tasks[static_cast<std::size_t>(index)];
  if (event.call == task_call::kThrottle &&
      event.answer.report.state == task_state::kRunning) {
    task.throttle_percent = task.sent_throttle_percent;
  }
  if (event.call == task_call::kCheckpoint) {
    task.is_checkpointed = true;
  }
  ProcessReport(event.worker, now_, event.answer.report);
}

void job_core::impl::ProcessReport(const worker_id& worker,
                                   instant sent,
                                   const task_report& report) {
  int index = 0;
  tracked_job* const job = FindTask(worker, report.task, index);
  if (job == nullptr) {
    return;
  }
  switch (OnTaskReport(*job, index, sent, report)) {
    case report_effect::kFailed:
      health_.OnTaskFailed(worker, job->row.id, now_);
      // Exclude the worker from the next plan if it became unusable.
      ReportUsability(worker);
      break;
    case report_effect::kEnded:
      health_.OnTaskSucceeded(worker);
      break;
    case report_effect::kNone:
      break;
  }
  Drive(*job);
}

void job_core::impl::On(const tasks_renewed& event) {
  renewals_.OnAnswer(event.worker, event.sent, event.answer);
  if (mode_ != mode::kOwner) {
    return;
  }
  const bool is_answered = event.answer.state == answer_state::kDone;
  health_.OnAnswer(event.worker, is_answered);
  if (!is_answered) {
    counters_.Add("job_renewal_unanswered");
    // List its tasks soon: an unreachable worker is not used before that.
    instant& next = next_list_[event.worker];
    next = std::min(next, now_ + kListRetryDelay);
    for (const job_id& id : renewals_.JobsOn(event.worker)) {
      Drive(jobs_.at(id));
    }
    return;
  }
  for (const task_report& report : event.answer.tasks) {
    ProcessReport(event.worker, event.sent, report);
  }
}

bool job_core::impl::IsExpected(const worker_id& worker,
                                const task_report& report) {
  int index = 0;
  return IsProbe(report.task) ||
         FindTask(worker, report.task, index) != nullptr;
}

void job_core::impl::On(const tasks_listed& event) {
  if (mode_ != mode::kOwner) {
    return;
  }
  const bool is_answered = event.answer.state == answer_state::kDone;
  health_.OnAnswer(event.worker, is_answered);
  if (!is_answered) {
    next_list_[event.worker] = now_ + kListRetryDelay;
    return;
  }
  bool is_clean = true;
  for (const task_report& report : event.answer.tasks) {
    if (IsExpected(event.worker, report)) {
      ProcessReport(event.worker, event.sent, report);
    } else if (IsLive(report)) {
      is_clean = false;
      StopStrayTask(event.worker, report.task);
    }
  }
  health_.OnTasksListed(event.worker, is_clean);
  if (!is_clean) {
    next_list_[event.worker] = now_ + kListRetryDelay;
  }
}

// Stops a task that belongs to no recorded attempt on this worker.
void job_core::impl::StopStrayTask(const worker_id& worker,
                                   const task_id& task) {
  const auto known = config_->objects.workers.find(worker);
  if (known == config_->objects.workers.end()) {
    return;
  }
  counters_.Add("job_stray_task_stopped");
  actions_.emplace_back(stop_task{worker, known->second.address, task});
}

void job_core::impl::SendProbe(const worker_id& worker) {
  const auto known = config_->objects.workers.find(worker);
  if (known == config_->objects.workers.end() || probes_.count(worker) > 0) {
    return;
  }
  probes_.emplace(worker, now_);
  const job_id job{std::string(kProbePrefix) + worker.value};
  const int number = static_cast<int>(++last_number_);
  task_start start;
  start.job = job;
  start.attempt = number;
  start.task =
      MakeTaskId(job_id{job.value + "-" + std::to_string(epoch_)}, number, 0);
  start.lease = options_.first_lease;
  counters_.Add("worker_probed");
  actions_.emplace_back(
      start_task{worker, known->second.address, std::move(start)});
}

void job_core::impl::OnProbe(const task_answered& event) {
  if (event.call != task_call::kStart) {
    return;
  }
  probes_.erase(event.worker);
  const bool is_answered = event.answer.state == answer_state::kDone;
  const bool is_good =
      is_answered && event.answer.report.state != task_state::kFailed;
  health_.OnProbe(event.worker, is_good, now_);
  const auto known = config_->objects.workers.find(event.worker);
  if (known != config_->objects.workers.end()) {
    actions_.emplace_back(
        stop_task{event.worker, known->second.address, event.task});
  }
}

}  // namespace sassafras::job

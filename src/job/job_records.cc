#include <algorithm>
#include <utility>

#include "sassafras/core/invariant.h"
#include "src/job/job_core_impl.h"

// The part of job_core that reads and writes rows.

namespace sassafras::job {
namespace {

std::vector<worker_id> WorkersOf(const job_row& row) {
  std::vector<worker_id> workers;
  for (const task_place& place : row.placement) {
    workers.push_back(place.worker);
  }
  return workers;
}

job_phase PhaseOf(job_state state) {
  switch (state) {
    case job_state::kPlacing:
      return job_phase::kStarting;
    case job_state::kRunning:
      return job_phase::kRunning;
    case job_state::kStopping:
      return job_phase::kStopping;
    case job_state::kWaiting:
    case job_state::kEnded:
      return job_phase::kWaiting;
  }
  return job_phase::kWaiting;
}

}  // namespace

void job_core::impl::On(const rows_scanned& event) {
  if (marker_scanner_.Owns(event)) {
    RecordStoreResult(marker_scan_sent_, event.answer);
    OnMarkers(event);
    return;
  }
  if (!scanner_.Owns(event)) {
    return;
  }
  RecordStoreResult(scan_sent_, event.answer);
  if (auto next = scanner_.OnPage(event)) {
    scan_sent_ = now_;
    actions_.emplace_back(std::move(*next));
    return;
  }
  if (scanner_.IsComplete()) {
    TrackAllRows(scanner_.TakeRows(), event.wall_ms);
  } else {
    counters_.Add("job_scan_failed");
    next_scan_ = now_ + std::chrono::milliseconds(500);
  }
}

void job_core::impl::RecordStoreResult(instant sent,
                                       const read_answer& answer) {
  last_store_answer_ = sent;
  if (answer.state == answer_state::kDone) {
    last_store_success_ = sent;
  }
}

void job_core::impl::TrackAllRows(const std::vector<table_row>& rows,
                                  std::int64_t wall_ms) {
  jobs_.clear();
  active_jobs_.clear();
  rejected_jobs_.clear();
  renewals_.Clear();
  ledger_ = {};
  if (mode_ == mode::kLoading) {
    mode_ = mode::kOwner;
    planner_ = std::make_unique<planner>(options_.planner, counters_);
    reported_usability_.clear();
    next_list_.clear();
    // Workers may hold tasks of the previous owner, so each is usable only
    // after its tasks are listed.
    health_.ResetReachable();
    if (config_) {
      planner_->SetConfig(config_);
      ReportAllUsability();
    }
  }
  for (const table_row& row : rows) {
    TrackRow(row, wall_ms);
  }
  is_plan_due_ = true;
}

void job_core::impl::TrackRow(const table_row& row, std::int64_t wall_ms) {
  auto decoded = DecodeJobRow(row.key, row.value);
  if (!decoded) {
    counters_.Add("job_row_malformed");
    return;
  }
  job_row& known = decoded.value();
  const job_id id = known.id;
  StopTracking(id);
  if (known.state == job_state::kEnded) {
    return;
  }
  tracked_job job;
  job.version = row.version;
  job.submitted = now_ - std::chrono::milliseconds(std::max<std::int64_t>(
                             0, wall_ms - known.submitted_ms));
  job.row = std::move(known);
  TrackTasks(job, false, now_, options_);
  tracked_job& kept = jobs_[id] = std::move(job);
  if (kept.row.state == job_state::kRunning) {
    renewals_.Add(kept.row);
  }
  if (mode_ != mode::kOwner) {
    return;
  }
  if (HoldsWorkers(kept.row.state)) {
    ledger_.Book(id, WorkersOf(kept.row), kept.row.terms.need);
    active_jobs_.insert(id);
  }
  if (kept.row.state == job_state::kPlacing) {
    kept.pending_stop = stop_reason::kTakenOver;
  }
  AddToPlanner(kept);
  writer_.MarkDue(id);
}

void job_core::impl::AddToPlanner(tracked_job& job) {
  const planned_job planned{job.row.id,           job.row.team,
                            job.row.job_class,    job.row.shape,
                            job.row.declared_run, job.submitted};
  if (job.row.state != job_state::kWaiting) {
    planner_->AddPlaced(planned, WorkersOf(job.row), job.row.is_borrowed,
                        PhaseOf(job.row.state), now_);
    return;
  }
  const auto refusal = planner_->Add(planned);
  if (refusal) {
    counters_.AddError(refusal->kind);
    rejected_jobs_[job.row.id] =
        "it cannot be placed in the configuration in force: " +
        (refusal->detail.empty() ? std::string(GetErrorInfo(refusal->kind).text)
                                 : refusal->detail);
    return;
  }
  is_plan_due_ = true;
}

void job_core::impl::StopTracking(const job_id& job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) {
    return;
  }
  if (mode_ == mode::kOwner && rejected_jobs_.erase(job) == 0) {
    planner_->Remove(job, std::nullopt);
  }
  renewals_.Remove(it->second.row);
  ledger_.Free(job);
  active_jobs_.erase(job);
  jobs_.erase(it);
  is_plan_due_ = true;
}

void job_core::impl::OnMarkers(const rows_scanned& event) {
  if (event.answer.state != answer_state::kDone) {
    counters_.Add("job_scan_failed");
  }
  // One page per scan: the next scan starts after these markers are erased.
  marker_scanner_.OnPage(event);
  marker_scanner_.Stop();
  if (mode_ != mode::kOwner) {
    return;
  }
  marker_versions_.clear();
  read_rows read{++last_number_, {}};
  for (const table_row& marker : event.answer.rows) {
    const job_id job{marker.key.substr(kJobMarkerPrefix.size())};
    if (!writer_.IsErasing(job, marker.version)) {
      marker_versions_[job] = marker.version;
      read.keys.push_back(JobKey(job));
    }
  }
  if (!read.keys.empty()) {
    marker_read_ = read.read;
    actions_.emplace_back(std::move(read));
  }
}

void job_core::impl::On(const rows_read& event) {
  if (event.read != marker_read_) {
    return;
  }
  marker_read_ = 0;
  if (mode_ != mode::kOwner || event.answer.state != answer_state::kDone) {
    return;
  }
  for (const table_row& row : event.answer.rows) {
    if (row.version != 0) {
      ProcessMarkedRow(row, event.wall_ms);
    }
  }
}

void job_core::impl::ProcessMarkedRow(const table_row& row,
                                      std::int64_t wall_ms) {
  const job_id id{row.key.substr(kJobPrefix.size())};
  writer_.EraseMarker(id, marker_versions_[id]);
  const auto known = jobs_.find(id);
  if (known == jobs_.end()) {
    TrackRow(row, wall_ms);
    return;
  }
  if (known->second.version == row.version) {
    return;
  }
  // Reads may be stale, so the row is not applied here: the next write
  // conflicts and returns the current version.
  const auto decoded = DecodeJobRow(row.key, row.value);
  if (!decoded) {
    counters_.Add("job_row_malformed");
    return;
  }
  if (decoded.value().cancel_requested) {
    known->second.has_pending_cancel = true;
    writer_.MarkDue(id);
  }
}

std::optional<row_change> job_core::impl::NextChange(const job_id& job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) {
    return std::nullopt;
  }
  const transition_limits limits{options_.first_lease, options_.max_losses,
                                 [this](const worker_id& worker) {
                                   return health_.IsQuarantined(worker);
                                 }};
  auto next = NextRow(it->second, limits, now_);
  if (!next) {
    return std::nullopt;
  }
  CheckInvariant(it->second.row.state != job_state::kEnded,
                 "job_ended_is_final");
  return row_change{std::move(*next), it->second.version};
}

void job_core::impl::On(const rows_committed& event) {
  if (mode_ != mode::kOwner) {
    return;
  }
  write_result result = writer_.OnAnswer(now_, event);
  for (auto& recorded : result.recorded) {
    OnRecorded(std::move(recorded.row), recorded.version);
  }
  for (const table_row& row : result.superseded) {
    const auto it = jobs_.find(job_id{row.key.substr(kJobPrefix.size())});
    if (it == jobs_.end()) {
      continue;
    }
    counters_.Add("job_row_superseded");
    Supersede(it->second, row);
  }
}

// Applies a row that another writer changed. A cancellation changes no other
// field, so the task state of the gang is kept.
void job_core::impl::Supersede(tracked_job& job, const table_row& row) {
  auto decoded = DecodeJobRow(row.key, row.value);
  if (decoded && decoded.value().state == job.row.state &&
      decoded.value().attempt == job.row.attempt &&
      job.row.state != job_state::kWaiting) {
    job.row = std::move(decoded.value());
    job.version = row.version;
    job.has_pending_cancel = job.row.cancel_requested;
    writer_.MarkDue(job.row.id);
    return;
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now_ - job.submitted);
  TrackRow(row, job.row.submitted_ms + age.count());
}

void job_core::impl::OnRecorded(job_row row, std::uint64_t version) {
  tracked_job& job = jobs_.at(row.id);
  const job_state before = job.row.state;
  job.row = std::move(row);
  job.version = version;
  if (job.row.state == before) {
    return;
  }
  LogStateChange(job.row);
  counters_.Add("job_" + std::string(GetName(job.row.state)));
  EnterState(job, before);
}

void job_core::impl::EnterState(tracked_job& job, job_state before) {
  const job_id id = job.row.id;
  switch (job.row.state) {
    case job_state::kWaiting:
      ledger_.Free(id);
      active_jobs_.erase(id);
      job.tasks.clear();
      planner_->SetPhase(id, job_phase::kWaiting, now_);
      is_plan_due_ = true;
      return;
    case job_state::kPlacing:
      CheckInvariant(
          static_cast<int>(job.row.placement.size()) == job.row.terms.tasks,
          "job_gang_is_whole");
      job.pending_start.reset();
      job.pending_stop = stop_reason::kNone;
      job.pending_reason.clear();
      break;
    case job_state::kRunning:
      planner_->SetPhase(id, job_phase::kRunning, now_);
      renewals_.Add(job.row);
      break;
    case job_state::kStopping:
      planner_->SetPhase(id, job_phase::kStopping, now_);
      renewals_.Remove(job.row);
      job.pending_stop = stop_reason::kNone;
      break;
    case job_state::kEnded:
      End(job, before);
      return;
  }
  TrackTasks(job, true, now_, options_);
  if (job.row.state == job_state::kRunning) {
    job.run_start = now_;
  }
  active_jobs_.insert(id);
  Drive(job);
}

void job_core::impl::End(tracked_job& job, job_state before) {
  const job_row& row = job.row;
  counters_.Add("job_ended_" + std::string(GetName(row.outcome)));
  if (before == job_state::kStopping && !row.failures.empty() &&
      (row.outcome == job_outcome::kFailed ||
       row.outcome == job_outcome::kNotRun)) {
    health_.OnJobAtFault(row.id);
  }
  std::optional<duration> run;
  if (row.outcome == job_outcome::kSucceeded && job.run_start) {
    run = now_ - *job.run_start;
  }
  const job_id id = row.id;
  if (rejected_jobs_.erase(id) == 0) {
    planner_->Remove(id, run);
  }
  renewals_.Remove(row);
  ledger_.Free(id);
  active_jobs_.erase(id);
  jobs_.erase(id);
  is_plan_due_ = true;
}

void job_core::impl::LogStateChange(const job_row& row) {
  std::string reason = row.reason;
  if (row.state == job_state::kStopping) {
    reason = GetName(row.stopping_for);
  }
  actions_.emplace_back(
      state_changed{row.id.value, std::string(GetName(row.state)), reason});
}

}  // namespace sassafras::job

#include "sassafras/job/job_core.h"

#include <algorithm>
#include <utility>

#include "sassafras/core/invariant.h"
#include "src/job/job_core_impl.h"

namespace sassafras::job {
namespace {

constexpr duration kPlanInterval = std::chrono::seconds(1);
constexpr duration kScanRetry = std::chrono::milliseconds(500);
constexpr duration kExplainInterval = std::chrono::seconds(1);
constexpr int kMaxExplainedPerTick = 4;

}  // namespace

job_core::job_core(job_core_options options, counter_table& counters)
    : impl_(std::make_unique<impl>(options, counters)) {}

job_core::~job_core() = default;

std::vector<job_action> job_core::Handle(instant now,
                                         const job_ownership& ownership,
                                         const job_event& event) {
  return impl_->Handle(now, ownership, event);
}

bool job_core::IsReady() const {
  return impl_->IsReady();
}

std::size_t job_core::Count(job_state state) const {
  return impl_->Count(state);
}

std::vector<team_id> job_core::BrokenGuarantees() const {
  return impl_->BrokenGuarantees();
}

std::vector<worker_id> job_core::Quarantined() const {
  return impl_->Quarantined();
}

job_core::impl::impl(job_core_options options, counter_table& counters)
    : options_(options),
      counters_(counters),
      health_(options_.health, counters),
      writer_(options_.max_rows_per_commit, counters),
      scanner_(std::string(kJobPrefix), options_.scan_limit),
      marker_scanner_(std::string(kJobMarkerPrefix), options_.scan_limit) {}

std::vector<job_action> job_core::impl::Handle(instant now,
                                               const job_ownership& ownership,
                                               const job_event& event) {
  now_ = now;
  UpdateMode(ownership);
  std::visit([this](const auto& one) { On(one); }, event);
  if (mode_ == mode::kOwner) {
    FlushWrites();
  }
  return std::exchange(actions_, {});
}

std::size_t job_core::impl::Count(job_state state) const {
  return static_cast<std::size_t>(std::count_if(
      jobs_.begin(), jobs_.end(),
      [&](const auto& entry) { return entry.second.row.state == state; }));
}

std::vector<team_id> job_core::impl::BrokenGuarantees() const {
  return planner_ ? planner_->BrokenGuarantees() : std::vector<team_id>();
}

void job_core::impl::UpdateMode(const job_ownership& ownership) {
  ownership_ = ownership;
  if (!ownership.may_act) {
    if (mode_ != mode::kStandby) {
      mode_ = mode::kStandby;
      counters_.Add("job_ownership_lost");
      // The jobs are kept, since a standby renews gangs recorded as running.
      writer_.Clear();
      active_jobs_.clear();
      next_scan_ = now_;
    }
    return;
  }
  if (mode_ == mode::kStandby || epoch_ != ownership.epoch) {
    epoch_ = ownership.epoch;
    BecomeOwner();
  }
}

void job_core::impl::BecomeOwner() {
  mode_ = mode::kLoading;
  counters_.Add("job_ownership_gained");
  writer_.Clear();
  active_jobs_.clear();
  marker_read_ = 0;
  probes_.clear();
  StartScan();
}

void job_core::impl::StartScan() {
  scan_sent_ = now_;
  actions_.emplace_back(scanner_.Start(++last_number_));
}

void job_core::impl::On(const config_changed& event) {
  config_ = event.config;
  std::set<worker_id> workers;
  for (const auto& [id, worker] : config_->objects.workers) {
    workers.insert(id);
  }
  health_.SetWorkers(workers);
  if (mode_ != mode::kOwner) {
    return;
  }
  planner_->SetConfig(config_);
  // The planner takes a new worker as usable until SetUsable() is called.
  reported_usability_.clear();
  ReportAllUsability();
  for (const auto& [id, reason] : std::exchange(rejected_jobs_, {})) {
    AddToPlanner(jobs_.at(id));
  }
  is_plan_due_ = true;
}

void job_core::impl::On(const tick& /*event*/) {
  TickScan();
  SendRenewals();
  if (mode_ == mode::kOwner) {
    TickOwner();
  }
}

void job_core::impl::TickScan() {
  if (mode_ != mode::kOwner) {
    if (!scanner_.IsActive() && now_ >= next_scan_) {
      next_scan_ =
          now_ + (mode_ == mode::kLoading ? kScanRetry
                                          : options_.standby_scan_interval);
      StartScan();
    }
    return;
  }
  if (!marker_scanner_.IsActive() && marker_read_ == 0 &&
      now_ >= next_marker_scan_) {
    next_marker_scan_ = now_ + options_.marker_interval;
    marker_scan_sent_ = now_;
    actions_.emplace_back(marker_scanner_.Start(++last_number_));
  }
}

void job_core::impl::TickOwner() {
  TickWorkers();
  for (const job_id& id : std::set<job_id>(active_jobs_)) {
    Drive(jobs_.at(id));
  }
  if (is_plan_due_ || now_ >= next_plan_) {
    RunPlanner();
  }
  if (now_ >= next_explain_) {
    next_explain_ = now_ + kExplainInterval;
    ExplainSome();
  }
}

void job_core::impl::RunPlanner() {
  if (!config_) {
    return;
  }
  is_plan_due_ = false;
  next_plan_ = now_ + kPlanInterval;
  const plan decided = planner_->Decide(now_);
  for (const planned_stop& stop : decided.stops) {
    ApplyStop(stop);
  }
  for (const planned_start& start : decided.starts) {
    ApplyStart(start);
  }
}

void job_core::impl::ApplyStart(const planned_start& start) {
  const auto it = jobs_.find(start.job);
  if (it == jobs_.end()) {
    CheckInvariant(false, "job_start_of_unknown");
    return;
  }
  tracked_job& job = it->second;
  const bool may_start =
      job.row.state == job_state::kWaiting && !job.pending_start;
  CheckInvariant(may_start, "job_start_while_waiting");
  const auto shape = config_->objects.shapes.find(job.row.shape);
  if (!may_start || shape == config_->objects.shapes.end()) {
    return;
  }
  const resources& need = shape->second.per_worker;
  CheckInvariant(
      static_cast<int>(start.workers.size()) == shape->second.workers,
      "job_gang_is_whole");
  CheckInvariant(ledger_.Fits(config_->objects, start.workers, need),
                 "job_no_overcommit");
  CheckInvariant(job.row.terms.is_idempotent || !job.row.was_released,
                 "job_at_most_once");
  ledger_.Book(start.job, start.workers, need);
  job.pending_start = start;
  job.pending_need = need;
  job.pending_placement.clear();
  for (const worker_id& worker : start.workers) {
    job.pending_placement.push_back(
        {worker, config_->objects.workers.at(worker).address});
  }
  writer_.MarkDue(start.job);
}

void job_core::impl::ApplyStop(const planned_stop& stop) {
  const auto it = jobs_.find(stop.job);
  if (it == jobs_.end() || !HoldsWorkers(it->second.row.state)) {
    return;
  }
  tracked_job& job = it->second;
  if (job.row.state == job_state::kStopping ||
      job.pending_stop != stop_reason::kNone) {
    return;
  }
  if (job.row.is_attempt_released && !job.row.terms.is_idempotent) {
    // A released non-idempotent job cannot run again and is never evicted.
    counters_.Add("job_eviction_refused");
    return;
  }
  counters_.Add("job_evicted");
  job.pending_stop = stop_reason::kEvicted;
  writer_.MarkDue(stop.job);
}

void job_core::impl::ExplainSome() {
  int explained = 0;
  for (std::size_t seen = 0; seen < jobs_.size(); ++seen) {
    auto it = jobs_.upper_bound(explain_cursor_);
    if (it == jobs_.end()) {
      it = jobs_.begin();
    }
    explain_cursor_ = it->first;
    tracked_job& job = it->second;
    if (job.row.state != job_state::kWaiting || job.pending_start) {
      continue;
    }
    const auto refused = rejected_jobs_.find(it->first);
    job.pending_reason = refused == rejected_jobs_.end()
                             ? planner_->Explain(it->first)
                             : refused->second;
    writer_.MarkDue(it->first);
    ++explained;
    if (explained == kMaxExplainedPerTick) {
      return;
    }
  }
}

// Grows with the number of workers to bound the rate of calls, but not beyond a
// third of the lease, so that two lost renewals do not expire it.
duration job_core::impl::RenewInterval() const {
  const duration bounded = std::chrono::seconds(1) *
                           static_cast<std::int64_t>(renewals_.Workers()) /
                           options_.renewals_per_second;
  return std::clamp(bounded, options_.renew_interval,
                    std::max(options_.renew_interval, options_.lease / 3));
}

void job_core::impl::SendRenewals() {
  // An owner that can still reach the store may have stopped gangs that this
  // process read too long ago.
  const bool is_fresh =
      last_store_answer_ && last_store_success_ &&
      now_ - *last_store_answer_ <=
          options_.standby_scan_interval + options_.lease_margin &&
      now_ - *last_store_success_ <= options_.max_store_outage;
  const bool is_renewing_as_standby =
      mode_ == mode::kStandby && !ownership_.is_other_alive && is_fresh;
  if (is_renewing_as_standby && !was_renewing_as_standby_) {
    renewals_.ConfirmAll(now_);
  }
  was_renewing_as_standby_ = is_renewing_as_standby;
  if (mode_ == mode::kStandby && !is_renewing_as_standby) {
    return;
  }
  const auto scope = mode_ == mode::kOwner ? renewal_table::scope::kAll
                                           : renewal_table::scope::kWholeGangs;
  for (renew_tasks& call :
       renewals_.Due(now_, RenewInterval(), options_.lease, scope)) {
    if (mode_ == mode::kOwner) {
      for (const job_id& id : renewals_.JobsOn(call.worker)) {
        RecordRenewal(jobs_.at(id), call.worker, now_, options_);
      }
    } else {
      counters_.Add("job_renewal_stood_in");
    }
    actions_.emplace_back(std::move(call));
  }
}

void job_core::impl::FlushWrites() {
  auto commit =
      writer_.Next(now_, [this](const job_id& job) { return NextChange(job); });
  if (commit) {
    actions_.emplace_back(std::move(*commit));
  }
}

}  // namespace sassafras::job

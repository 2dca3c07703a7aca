#include "sassafras/sched/work_core.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "sassafras/core/invariant.h"
#include "sassafras/sched/job_objective.h"
#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Interval at which ended jobs are removed from the open jobs. Only summaries
// iterate over these.
constexpr duration kJobCleanupInterval = std::chrono::milliseconds(500);
// Speed limit of inherited fillers beside serving tasks. The limit that the
// former owner set is not known; full speed could harm the serving tasks, and a
// low limit is raised within seconds.
constexpr int kInheritedFillerPercent = 25;

}  // namespace

work_core::impl::impl(work_options options,
                      std::uint64_t fence,
                      instant now,
                      counter_table& counters)
    : options_(options),
      fence_(fence),
      tenure_began_at_(now),
      counters_(counters) {}

void work_core::impl::SetConfig(service_config_ptr config) {
  config_ = std::move(config);
  should_place_ = true;
}

// Units that `record` shows with a run keep its run number and members. These
// are confirmed once their minions list them, and terminated otherwise.
void work_core::impl::AddJob(instant now,
                             const accepted_job& job,
                             std::uint64_t accepted_version,
                             const std::optional<job_record>& record,
                             std::uint64_t record_version) {
  if (jobs_.contains(job.id)) {
    return;
  }
  job_entry& entry = jobs_[job.id];
  open_jobs_[job.id] = &entry;
  entry.accepted = job;
  entry.accepted_version = accepted_version;
  entry.first_seen_at = now;
  entry.record_version = record_version;
  entry.chains = LongestChains(job.spec.steps);
  entry.waiting_units_of_step.resize(job.spec.steps.size());
  if (!entry.chains.empty()) {
    entry.objective = ObjectiveOf(
        job, *std::max_element(entry.chains.begin(), entry.chains.end()));
  }
  for (const step_spec& step : job.spec.steps) {
    if (step.is_gang && step.count > 1) {
      large_tasks_[ServiceOf(entry)].OnGang(job.queue, step.Reserved());
    }
  }
  AddUnits(entry);
  if (record) {
    Restore(entry, *record);
    if (entry.IsEnded()) {
      entry.ended_at = now;
      LogEndedJobWithRuns(entry);
    }
    CloseNeedlessRuns(now, entry);
    ForgetSettledUnits();
  } else {
    LogEvent("job_taken", job.id, "", "", "queue " + job.queue);
  }
  should_place_ = true;
}

// Logs a restored job that has ended and whose record names runs. The former
// owner did not know that they were over.
void work_core::impl::LogEndedJobWithRuns(const job_entry& entry) {
  std::size_t runs = 0;
  for (const auto& [position, unit] : entry.units) {
    runs += unit.members.size();
  }
  if (runs > 0) {
    counters_.Add("sched_restored_runs_of_ended_jobs", runs);
    LogEvent("ended_job_restored", entry.accepted.id, "", "",
             std::string(GetName(entry.state)) + " with runs " +
                 std::to_string(runs));
  }
}

// All units of the job wait at first.
void work_core::impl::AddUnits(job_entry& entry) {
  const job_spec& spec = entry.accepted.spec;
  entry.layout = unit_layout(spec);
  entry.waiting_units = position_set::Below(entry.layout.Size());
  entry.CountOf(unit_phase::kWaiting) = static_cast<int>(entry.layout.Size());
  const int occurrences = std::max(1, spec.occurrences);
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    entry.task_count += occurrences * spec.steps[step].count;
    entry.waiting_units_of_step.at(step) =
        occurrences *
        static_cast<int>(entry.layout.UnitsOf(static_cast<int>(step)));
  }
  AddToWaitingJobs(entry);
}

void work_core::impl::AddToWaitingJobs(job_entry& job) {
  waiting_jobs_[{job.accepted.priority, job.accepted_version,
                 job.accepted.id}] = &job;
}

std::set<unit_ref>* work_core::impl::UnitsIn(unit_phase phase) {
  switch (phase) {
    case unit_phase::kClaimed:
      return &claimed_units_;
    case unit_phase::kRecorded:
      return &recorded_units_;
    case unit_phase::kClosing:
      return &closing_units_;
    case unit_phase::kDone:
      return &settled_units_;
    default:
      return nullptr;
  }
}

void work_core::impl::SetPhase(job_entry& job,
                               work_unit& unit,
                               unit_phase phase) {
  LeavePhase(job, unit);
  job.SetPhase(unit, phase);
  EnterPhase(job, unit);
}

// Adds the unit to the indexes of its phase.
void work_core::impl::EnterPhase(job_entry& job, work_unit& unit) {
  if (std::set<unit_ref>* units = UnitsIn(unit.phase)) {
    units->insert({&job, &unit});
  }
  if (unit.phase == unit_phase::kWaiting) {
    job.waiting_units.Insert(unit.position);
    ++job.waiting_units_of_step.at(static_cast<std::size_t>(unit.step));
    AddToWaitingJobs(job);
  }
  if (CountsAgainstGuarantee(job, unit)) {
    urgent_accelerators_[job.accepted.team] += AcceleratorsOf(job, unit);
  }
}

void work_core::impl::LeavePhase(job_entry& job, work_unit& unit) {
  if (std::set<unit_ref>* units = UnitsIn(unit.phase)) {
    units->erase({&job, &unit});
  }
  if (unit.phase == unit_phase::kWaiting) {
    job.waiting_units.Erase(unit.position);
    --job.waiting_units_of_step.at(static_cast<std::size_t>(unit.step));
  }
  if (CountsAgainstGuarantee(job, unit)) {
    urgent_accelerators_[job.accepted.team] -= AcceleratorsOf(job, unit);
  }
}

// Returns whether the unit's accelerators count against its team's guarantee.
bool work_core::impl::CountsAgainstGuarantee(const job_entry& job,
                                             const work_unit& unit) {
  return job.accepted.priority == 0 && (unit.phase == unit_phase::kClaimed ||
                                        unit.phase == unit_phase::kRecorded ||
                                        unit.phase == unit_phase::kActive);
}

// Releases the objects of units that are done.
void work_core::impl::ForgetSettledUnits() {
  const std::set<unit_ref> settled = std::exchange(settled_units_, {});
  for (const unit_ref& ref : settled) {
    unconfirmed_units_.erase(ref);
    unresolved_units_.erase(ref);
    ref.job->units.erase(ref.unit->position);
  }
}

// The jobs stay in `jobs_` until their rows are erased.
void work_core::impl::RemoveSettledFromOpenJobs(instant now) {
  if (now < next_job_cleanup_) {
    return;
  }
  next_job_cleanup_ = now + kJobCleanupInterval;
  std::erase_if(open_jobs_, [](const auto& item) {
    const job_entry& job = *item.second;
    return job.IsEnded() && !job.HoldsRoom() &&
           job.change == job.last_durable_change;
  });
}

void work_core::impl::Restore(job_entry& entry, const job_record& record) {
  entry.state = record.state;
  entry.is_cancelled = record.state == job_state::kCancelled;
  RestoreDone(entry, record.done);
  for (const recorded_unit& recorded : record.units) {
    const auto position =
        entry.layout.Find({recorded.occurrence, recorded.step, recorded.index});
    if (!position || !entry.waiting_units.Contains(*position)) {
      counters_.Add("sched_record_unit_unknown");
      continue;
    }
    work_unit& unit = entry.HoldUnit(*position);
    unit.run = recorded.run;
    unit.failed_runs = recorded.failed_runs;
    unit.has_run_failed = recorded.has_run_failed;
    unit.crashes = recorded.crashes;
    RestoreUnresolved(entry, unit, recorded);
    unit.is_suspect = !unit.crashes.empty() || !unit.unresolved.empty();
    unit.is_isolated = unit.is_suspect && !recorded.members.empty();
    if (recorded.is_done) {
      entry.SetDone(unit);
    }
    // A run may have been recorded and not started.
    unit.has_started = recorded.is_done ||
                       (recorded.run > 0 && record.state != job_state::kQueued);
    unit.checkpoint = recorded.checkpoint;
    if (unit.is_done) {
      SetPhase(entry, unit, unit_phase::kDone);
    }
    RestoreMembers(entry, unit, recorded);
  }
}

// Marks units of the job, all of which wait, as done. Takes time by their
// number, whatever their order.
void work_core::impl::RestoreDone(job_entry& entry,
                                  const std::vector<done_units>& recorded) {
  const unit_layout& layout = entry.layout;
  std::vector<bool> is_done(layout.Size());           // By rank.
  std::vector<bool> is_waiting(layout.Size(), true);  // By position.
  for (const done_units& done : recorded) {
    const unit_place first{done.first_occurrence, done.step, done.first_index};
    const unit_place last{done.last_occurrence, done.step, done.last_index};
    if (!layout.Find(first) || !layout.Find(last)) {
      counters_.Add("sched_record_unit_unknown");
      continue;
    }
    for (std::size_t rank = layout.RankOf(first); rank <= layout.RankOf(last);
         ++rank) {
      is_done[rank] = true;
      is_waiting[layout.Find(layout.PlaceOfRank(rank)).value()] = false;
    }
  }
  entry.done_units = position_set::Of(is_done);
  entry.waiting_units = position_set::Of(is_waiting);
  const auto count = static_cast<int>(entry.done_units.Size());
  entry.CountOf(unit_phase::kDone) = count;
  entry.CountOf(unit_phase::kWaiting) -= count;
  for (int step = 0; step < layout.Steps(); ++step) {
    entry.waiting_units_of_step.at(static_cast<std::size_t>(step)) -=
        static_cast<int>(entry.done_units.CountBetween(
            layout.FirstRankOf(step), layout.FirstRankOf(step + 1)));
  }
}

void work_core::impl::RestoreMembers(job_entry& entry,
                                     work_unit& unit,
                                     const recorded_unit& recorded) {
  unit.members.reserve(recorded.members.size());
  for (const recorded_member& placed : recorded.members) {
    unit_member member;
    member.index = placed.index;
    member.incarnation = {placed.minion, placed.incarnation_unix_ms,
                          placed.address};
    member.phase = member_phase::kInherited;
    member.pace_percent.reset();
    unit.members.push_back(member);
    minion_entry& minion = MinionOf(placed.minion);
    if (entry.accepted.spec.steps.at(unit.step).is_filler) {
      minion.filler_percent = kInheritedFillerPercent;
    }
    if (minion.report.incarnation_unix_ms == 0) {
      minion.report.incarnation_unix_ms = placed.incarnation_unix_ms;
      minion.report.address = placed.address;
    }
    minion.last_lease_grant =
        std::max(minion.last_lease_grant, tenure_began_at_);
    AddMember(minion, {&entry, &unit, &unit.members.back()});
  }
  if (!unit.members.empty()) {
    SetPhase(entry, unit, unit_phase::kActive);
  }
}

void work_core::impl::CancelJob(instant now,
                                const std::string& id,
                                std::uint64_t version) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  job_entry& job = it->second;
  job.cancel_version = version;
  if (job.IsEnded()) {
    return;
  }
  job.is_cancelled = true;
  LogEvent("job_cancelled", id, "", "", "by its caller");
  CloseNeedlessRuns(now, job);
  UpdateState(now, job);
}

std::map<std::string, int> work_core::impl::WaitingByQueue() const {
  std::map<std::string, int> waiting;
  for (const auto& [id, job] : open_jobs_) {
    if (job->state == job_state::kQueued) {
      ++waiting[job->accepted.queue];
    }
  }
  return waiting;
}

std::string work_core::impl::Explain(const std::string& id) const {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return {};
  }
  const job_entry& job = it->second;
  int crashes = 0;
  std::string minion_ids;
  for (const auto& [position, unit] : job.units) {
    crashes = std::max(crashes, MostCrashes(unit));
    for (const unit_member& member : unit.members) {
      if (member.phase != member_phase::kTerminated &&
          minion_ids.size() < 200) {
        minion_ids += " " + member.incarnation.id;
      }
    }
  }
  const int held = CountHeldMinions(job);
  return "The job is " + std::string(GetName(job.state)) + ": " +
         std::to_string(job.done_units.Size()) + " of " +
         std::to_string(job.layout.Size()) + " units are done, " +
         std::to_string(job.CountOf(unit_phase::kActive)) + " run, " +
         std::to_string(job.CountOf(unit_phase::kWaiting)) + " wait for room" +
         (minion_ids.empty() ? std::string()
                             : "; it holds room on" + minion_ids) +
         (held == 0 ? std::string()
                    : "; room is held on " + std::to_string(held) +
                          " minions for its gang") +
         (crashes == 0 ? std::string()
                       : "; minions crashed under " + std::to_string(crashes) +
                             " runs of one of its tasks") +
         ".";
}

std::vector<expired_job> work_core::impl::BeginErasing(instant now,
                                                       std::size_t max_count) {
  std::vector<expired_job> expired;
  for (auto& [id, job] : jobs_) {
    if (expired.size() >= max_count) {
      break;
    }
    const bool is_settled =
        job.IsEnded() && job.change == job.last_durable_change &&
        std::all_of(job.units.begin(), job.units.end(), [](const auto& item) {
          return item.second.members.empty();
        });
    if (is_settled && !job.is_erasing &&
        now - job.ended_at > options_.state_retention) {
      job.is_erasing = true;
      expired.push_back(
          {id, job.accepted_version, job.cancel_version, job.record_version});
    }
  }
  return expired;
}

// A job is forgotten only once its rows are gone: a row of a job that is not
// known is taken for a new job.
void work_core::impl::FinishErasing(const std::string& id, bool are_rows_gone) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  const job_entry& job = it->second;
  if (!are_rows_gone) {
    it->second.is_erasing = false;
    return;
  }
  ForgetSettledUnits();
  waiting_jobs_.erase(
      {job.accepted.priority, job.accepted_version, job.accepted.id});
  open_jobs_.erase(id);
  changed_jobs_.erase(id);
  std::erase_if(unresolved_units_,
                [&](const unit_ref& ref) { return ref.job == &job; });
  jobs_.erase(it);
}

void work_core::impl::LogEvent(std::string_view event,
                               const std::string& job,
                               const std::string& task,
                               const std::string& minion,
                               std::string detail,
                               bool is_routine) {
  actions_.log_events.push_back(
      {event, job, task, minion, std::move(detail), is_routine});
}

const std::string& work_core::impl::ServiceOf(const job_entry& entry) const {
  if (config_) {
    const job_queue* queue = config_->FindQueueByName(entry.accepted.queue);
    if (queue != nullptr) {
      return queue->service;
    }
  }
  return entry.accepted.service;
}

std::string FormatRun(const run_key& run) {
  return std::to_string(run.task.occurrence) + "." +
         std::to_string(run.task.step) + "." + std::to_string(run.task.index) +
         "#" + std::to_string(run.run);
}

work_core::work_core(work_options options,
                     std::uint64_t fence,
                     instant now,
                     counter_table& counters)
    : impl_(std::make_unique<impl>(options, fence, now, counters)) {}

work_core::~work_core() = default;

void work_core::OnConfig(service_config_ptr config) {
  impl_->SetConfig(std::move(config));
}

void work_core::OnJob(instant now,
                      const accepted_job& job,
                      std::uint64_t accepted_version,
                      const std::optional<job_record>& record,
                      std::uint64_t record_version) {
  impl_->AddJob(now, job, accepted_version, record, record_version);
}

void work_core::OnCancel(instant now,
                         const std::string& id,
                         std::uint64_t version) {
  impl_->CancelJob(now, id, version);
}

void work_core::OnEvacuations(const evacuations& evacuated) {
  impl_->SetEvacuations(evacuated);
}

void work_core::OnMinions(instant now,
                          const std::vector<minion_report>& minions) {
  impl_->HandleMinionList(now, minions);
}

void work_core::OnStarted(instant now,
                          const start_order& order,
                          order_answer answer) {
  impl_->HandleStartAnswer(now, order, answer.outcome);
}

void work_core::OnStopped(instant now,
                          const stop_order& order,
                          order_answer answer) {
  impl_->HandleStopAnswer(now, order, answer.outcome);
}

void work_core::OnPolled(instant now,
                         instant sent,
                         const poll_order& order,
                         const poll_answer& answer) {
  impl_->HandlePollAnswer(now, sent, order, answer);
}

void work_core::OnCommit(instant now, const commit_answer& answer) {
  impl_->HandleCommitAnswer(now, answer);
}

void work_core::OnPaced(const pace_order& order, order_answer answer) {
  impl_->HandlePaceAnswer(order, answer.outcome);
}

void work_core::OnAdvice(instant now,
                         const advice_request& request,
                         const advice_answer& answer) {
  impl_->HandleAdvice(now, request, answer);
}

void work_core::SetCordoned(const std::string& minion, bool is_cordoned) {
  impl_->SetCordoned(minion, is_cordoned);
}

bool work_core::TryDrain(instant now,
                         const std::string& minion,
                         bool is_forced) {
  return impl_->TryDrain(now, minion, is_forced);
}

work_actions work_core::Decide(instant now, std::int64_t wall_unix_ms) {
  impl_->ForgetSettledUnits();
  impl_->RemoveSettledFromOpenJobs(now);
  impl_->EndSucceededLives(now);
  impl_->PrepareDirtyMinions(now);
  impl_->CheckProgress(now);
  impl_->PlaceAll(now, wall_unix_ms);
  impl_->EmitStarts(now);
  impl_->EmitStops(now);
  impl_->FinishDirtyMinions(now);
  impl_->EmitCommit(now);
  return impl_->TakeActions();
}

std::map<std::string, int> work_core::WaitingByQueue() const {
  return impl_->WaitingByQueue();
}

std::optional<job_state> work_core::StateOf(const std::string& id) const {
  const auto it = impl_->Jobs().find(id);
  if (it == impl_->Jobs().end()) {
    return std::nullopt;
  }
  return it->second.state;
}

std::string work_core::Explain(const std::string& id) const {
  return impl_->Explain(id);
}

std::vector<minion_status> work_core::Minions() const {
  return impl_->Minions();
}

work_summary work_core::Summary(instant now) const {
  return impl_->Summary(now);
}

queue_forecasts work_core::Forecasts(instant now) {
  return impl_->Forecasts(now);
}

std::map<std::string, double> work_core::TeamAccounts(instant now) const {
  return impl_->TeamAccounts(now);
}

void work_core::RestoreTeamAccounts(
    instant now,
    const std::map<std::string, double>& accounts) {
  impl_->RestoreTeamAccounts(now, accounts);
}

std::vector<expired_job> work_core::BeginErasing(instant now,
                                                 std::size_t max_count) {
  return impl_->BeginErasing(now, max_count);
}

void work_core::OnErased(const std::string& id, bool are_rows_gone) {
  impl_->FinishErasing(id, are_rows_gone);
}

}  // namespace sassafras::sched

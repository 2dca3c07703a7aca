#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Interval between placement passes without an event, for due times and for
// steps that may no longer wait for one rack.
constexpr duration kPlacementInterval = std::chrono::milliseconds(100);
// Minimum interval between placement passes while units wait for capacity.
// Events are frequent then, so that one pass serves several of them.
constexpr duration kCrowdedPlacementInterval = std::chrono::milliseconds(15);
// Share of its estimate for which a step waits for one rack before it is spread
// over several: a spread step takes a multiple of its time.
constexpr double kOneRackWaitShare = 1.0;
// Wait after which a task of a persistent step is placed on an avoided minion.
// Such a task must run again within seconds, and has no attempts to lose.
constexpr duration kAvoidedMinionDelay = std::chrono::seconds(2);

}  // namespace

// Returns whether the steps before that of the unit are done.
bool work_core::impl::IsStepReady(const job_entry& job, const work_unit& unit) {
  const job_spec& spec = job.accepted.spec;
  const std::vector<int>& after = spec.steps.at(unit.step).after;
  const auto count = static_cast<int>(spec.steps.size());
  return std::all_of(after.begin(), after.end(), [&](int earlier) {
    // A row may name a step that does not exist; it is ignored.
    return earlier < 0 || earlier >= count ||
           job.UnfinishedUnitsOf(unit.occurrence, earlier) == 0;
  });
}

void work_core::impl::CountSameStep(const job_entry& job,
                                    const work_unit& unit,
                                    fleet_view& fleet) const {
  std::map<std::string, int> counts;
  const std::size_t first = job.layout.FirstOf(unit.occurrence, unit.step);
  const std::size_t end = first + job.layout.UnitsOf(unit.step);
  for (auto it = job.units.lower_bound(first);
       it != job.units.end() && it->first < end; ++it) {
    for (const unit_member& member : it->second.members) {
      counts[member.incarnation.id] +=
          member.phase == member_phase::kTerminated ? 0 : 1;
    }
  }
  for (std::size_t index = 0; index < fleet.Minions().size(); ++index) {
    const auto it = counts.find(fleet.Minions()[index].id);
    fleet.MutableMinion(index).same_step_tasks =
        it == counts.end() ? 0 : it->second;
  }
}

void work_core::impl::PlaceAll(instant now, std::int64_t wall_unix_ms) {
  ProcessClaims(now);
  if (!MayStartAnything(now)) {
    counters_.Add("sched_placement_held_back");
    return;
  }
  if (now < placement_not_before_ ||
      (!should_place_ && now < next_placement_)) {
    return;
  }
  should_place_ = false;
  next_placement_ = now + kPlacementInterval;
  std::vector<unit_ref> unplaced;
  BeginPass(now);
  has_had_pass_ = true;
  for (job_entry* job : WaitingJobs(now)) {
    PlaceWaiting(now, wall_unix_ms, *job, unplaced);
  }
  placement_not_before_ =
      unplaced.empty() ? now : now + kCrowdedPlacementInterval;
  for (const unit_ref& ref : unplaced) {
    if (ref.unit->run == 0) {
      ref.job->units.erase(ref.unit->position);
    }
  }
}

// Places the job's waiting units. If a step is not ready or a unit of it cannot
// be placed, its remaining units are skipped: they have the same requirements.
void work_core::impl::PlaceWaiting(instant now,
                                   std::int64_t wall_ms,
                                   job_entry& job,
                                   std::vector<unit_ref>& unplaced) {
  const bool is_wide_job = job.task_count > job.max_tasks_in_progress;
  int tasks_in_progress = is_wide_job ? job.TasksInProgress() : 0;
  const std::size_t end = EndOfDue(wall_ms, job);
  auto position = job.waiting_units.NextFrom(0);
  while (position && *position < end) {
    work_unit untouched;
    work_unit* known = job.FindUnit(*position);
    if (known == nullptr) {
      untouched = job.MakeUnit(*position);
      known = &untouched;
    }
    const work_unit& unit = *known;
    const unit_ref waiting{&job, known};
    const bool has_run_before = unit.run > 0;
    const int width = unit.width;
    const bool is_deferred =
        now < unit.not_before ||
        (is_wide_job && !has_run_before && tasks_in_progress > 0 &&
         tasks_in_progress + width > job.max_tasks_in_progress);
    std::size_t next = *position + 1;
    if (!IsStepReady(job, unit) ||
        (!is_deferred && !PlaceOrSkip(now, waiting, unplaced))) {
      // A suspect that waits for isolation does not hold up the others.
      next = unit.is_suspect ? next : PositionAfterStep(waiting, *position);
    } else if (!is_deferred && !has_run_before) {
      tasks_in_progress += width;
    }
    position = job.waiting_units.NextFrom(next);
  }
}

// Returns the position after the last unit whose due time has passed.
std::size_t work_core::impl::EndOfDue(std::int64_t wall_ms,
                                      const job_entry& job) {
  const job_spec& spec = job.accepted.spec;
  if (spec.occurrences == 0) {
    return job.layout.Size();
  }
  const std::int64_t since_first = wall_ms - spec.first_due_unix_ms;
  if (since_first < 0) {
    return 0;
  }
  const std::int64_t due =
      spec.interval_ms == 0
          ? spec.occurrences
          : std::min<std::int64_t>(since_first / spec.interval_ms + 1,
                                   spec.occurrences);
  return static_cast<std::size_t>(due) * job.layout.UnitsPerOccurrence();
}

// Returns the position after the last unit of the step and occurrence.
std::size_t work_core::impl::PositionAfterStep(const unit_ref& unit,
                                               std::size_t position) {
  return position - static_cast<std::size_t>(unit.unit->index) +
         unit.job->layout.UnitsOf(unit.unit->step);
}

bool work_core::impl::PlaceOrSkip(instant now,
                                  const unit_ref& waiting,
                                  std::vector<unit_ref>& unplaced) {
  const bool is_known_to_fail =
      std::any_of(unplaced.begin(), unplaced.end(), [&](const unit_ref& other) {
        return IsAtLeastAsHardToPlace(now, waiting, other);
      });
  if (!is_known_to_fail) {
    work_unit& unit = waiting.job->HoldUnit(waiting.unit->position);
    if (TryPlace(now, *waiting.job, unit)) {
      return true;
    }
    unplaced.push_back({waiting.job, &unit});
  }
  HoldRoomFor(now, waiting);
  return false;
}

bool work_core::impl::CanSpreadOverRacks(instant now,
                                         const unit_ref& waiting) const {
  if (!options_.policy.wait_for_one_rack) {
    return true;
  }
  const auto max_wait = std::chrono::duration_cast<duration>(
      waiting.Step().estimate * kOneRackWaitShare);
  return now - waiting.unit->waiting_since > max_wait;
}

// Returns whether `unit` cannot be placed because placing `unplaced` failed in
// this pass: it belongs to the same step, or needs at least as much under the
// same constraints.
bool work_core::impl::IsAtLeastAsHardToPlace(instant now,
                                             const unit_ref& unit,
                                             const unit_ref& unplaced) const {
  if (unplaced.unit->is_suspect && !unit.unit->is_suspect) {
    return false;
  }
  const bool is_same_step =
      unit.job == unplaced.job &&
      unit.unit->occurrence == unplaced.unit->occurrence &&
      unit.unit->step == unplaced.unit->step;
  if (is_same_step) {
    return true;
  }
  const step_spec& step = unit.Step();
  const step_spec& other = unplaced.Step();
  if (CanUseAvoidedMinions(now, unit) && !CanUseAvoidedMinions(now, unplaced)) {
    return false;
  }
  if (MayUseHeldRoom(now, unit) &&
      ExpectedEnd(now, step) < ExpectedEnd(now, other)) {
    return false;
  }
  const bool has_same_constraints =
      (unit.job->accepted.priority == 0) ==
          (unplaced.job->accepted.priority == 0) &&
      !IsWithinGuarantee(*unit.job, *unit.unit) &&
      ServiceOf(*unit.job) == ServiceOf(*unplaced.job) &&
      step.required_label == other.required_label &&
      step.wants_one_rack == other.wants_one_rack &&
      step.data_rack == other.data_rack && step.max_per_minion == 0 &&
      other.max_per_minion == 0 && !NeedsAdvice(*unit.job) &&
      !NeedsAdvice(*unplaced.job);
  if (!has_same_constraints || !step.Reserved().Holds(other.Reserved()) ||
      unit.unit->width < unplaced.unit->width) {
    return false;
  }
  // A wider gang may be spread over racks earlier if it could never fit in one.
  const bool is_rack_bound = step.wants_one_rack || !step.data_rack.empty();
  return !is_rack_bound || CanSpreadOverRacks(now, unplaced) ||
         (!CanSpreadOverRacks(now, unit) &&
          step.Reserved() == other.Reserved() &&
          unit.unit->width == unplaced.unit->width);
}

bool work_core::impl::TryPlace(instant now, job_entry& job, work_unit& unit) {
  const auto fleet = fleets_.find(ServiceOf(job));
  if (fleet == fleets_.end()) {
    return false;
  }
  if (unit.is_suspect) {
    return TryPlaceIsolated(now, job, unit);
  }
  if (!NeedsAdvice(job)) {
    return TryPlaceAmong(now, job, unit, fleet->second) ||
           TryPlaceOnAvoided(now, job, unit, fleet->second);
  }
  const std::vector<minion_view>& views = fleet->second.Minions();
  fleet_view advised(AdvisedViews(now, job, unit, views));
  if (TryPlaceAmong(now, job, unit, advised)) {
    return true;
  }
  RequestAdvice(now, job, unit, views);
  return false;
}

bool work_core::impl::CanUseAvoidedMinions(instant now, const unit_ref& unit) {
  return unit.Step().is_persistent &&
         now - unit.unit->waiting_since >= kAvoidedMinionDelay;
}

// Places a unit that has waited too long for another minion on avoided ones.
bool work_core::impl::TryPlaceOnAvoided(instant now,
                                        job_entry& job,
                                        work_unit& unit,
                                        const fleet_view& fleet) {
  if (!CanUseAvoidedMinions(now, {&job, &unit})) {
    return false;
  }
  std::vector<minion_view> views = fleet.Minions();
  bool is_any_avoided = false;
  for (minion_view& view : views) {
    view.is_evictable_current = false;
    if (HealthOf(now, minions_.at(view.id)) == kAvoided) {
      view.is_usable = true;
      is_any_avoided = true;
    }
  }
  if (!is_any_avoided) {
    return false;
  }
  fleet_view relaxed(std::move(views));
  if (!TryPlaceAmong(now, job, unit, relaxed)) {
    return false;
  }
  counters_.Add("sched_placed_on_avoided");
  return true;
}

bool work_core::impl::CouldFitInOneRack(const std::string& service,
                                        const fleet_view& fleet,
                                        const unit_ref& unit) {
  const step_spec& step = unit.Step();
  if (NeedsAdvice(*unit.job)) {
    return CouldEverFit(step, unit.unit->width, fleet, true);
  }
  const auto [it, is_new] = fits_in_one_rack_.try_emplace(
      {service,
       step_shape{step.Reserved(), unit.unit->width, step.max_per_minion,
                  step.required_label, step.data_rack}});
  if (is_new) {
    // `fleet` may be a part of the service's minions.
    it->second =
        CouldEverFit(step, unit.unit->width, fleets_.at(service), true);
  }
  return it->second;
}

// Sets which minions are proven. This passes with time, so that it cannot be
// kept with the views.
void work_core::impl::MarkProvenMinions(instant now, fleet_view& fleet) {
  for (std::size_t index = 0; index < fleet.Minions().size(); ++index) {
    const minion_view& view = fleet.Minions()[index];
    const bool is_proven = minions_.at(view.id).trust.IsProven(now);
    if (view.is_proven != is_proven) {
      fleet.MutableMinion(index).is_proven = is_proven;
    }
  }
}

// While several minions hang, an urgent unit is first placed on minions where
// runs progress, even if less urgent ones must be evicted there. Returns
// nothing if they do not hold it, or if no minions hang.
std::optional<std::vector<std::size_t>> work_core::impl::FindProvenMinions(
    instant now,
    const job_entry& job,
    const work_unit& unit,
    fleet_view& fleet,
    placement_limits limits) {
  if (job.accepted.priority != 0 || !stall_alert_.IsRaised(now) ||
      !options_.policy.prefer_proven_minions) {
    return std::nullopt;
  }
  MarkProvenMinions(now, fleet);
  const step_spec& step = job.accepted.spec.steps.at(unit.step);
  limits.requires_proof = true;
  auto found = PlaceTasks(step, unit.width, fleet, limits);
  if (!found) {
    CollectEvictable(now, {job.accepted.priority, job.accepted.team, false},
                     fleet);
    limits.may_evict = true;
    found = PlaceTasks(step, unit.width, fleet, limits);
  }
  counters_.Add(found ? "sched_placed_on_proven" : "sched_no_proven_room");
  return found;
}

// A unit that has failed before and whose next failure ends its job is first
// placed on minions on which runs succeed: on two minions that fail whatever
// they start, one after the other, it would use up its attempts without a fault
// of its own.
std::optional<std::vector<std::size_t>> work_core::impl::FindTrustedMinions(
    instant now,
    const unit_ref& unit,
    fleet_view& fleet,
    placement_limits limits) {
  const accepted_job& job = unit.job->accepted;
  const bool is_last_attempt = unit.unit->failed_runs > 0 &&
                               unit.unit->failed_runs + 1 >= job.max_attempts;
  if (!options_.policy.protect_last_attempt || !is_last_attempt ||
      unit.Step().is_persistent) {
    return std::nullopt;
  }
  const std::pair<instant, const fleet_view*> key(now, &fleet);
  const bool is_marked = successes_key_ == key;
  successes_key_ = key;
  for (std::size_t index = 0; !is_marked && index < fleet.Minions().size();
       ++index) {
    const minion_view& view = fleet.Minions()[index];
    const bool has_succeeded = minions_.at(view.id).trust.HasSucceeded(now);
    if (view.has_succeeded != has_succeeded) {
      fleet.MutableMinion(index).has_succeeded = has_succeeded;
    }
  }
  limits.requires_success = true;
  auto found = PlaceTasks(unit.Step(), unit.unit->width, fleet, limits);
  counters_.Add("sched_last_attempts_protected", found ? 1 : 0);
  return found;
}

bool work_core::impl::TryPlaceAmong(instant now,
                                    job_entry& job,
                                    work_unit& unit,
                                    fleet_view& fleet) {
  const step_spec& step = job.accepted.spec.steps.at(unit.step);
  if (step.max_per_minion > 0) {
    CountSameStep(job, unit, fleet);
  }
  placement_limits limits;
  limits.is_urgent = job.accepted.priority == 0;
  limits.fills_from_end =
      limits.is_urgent && options_.policy.separate_urgent_racks;
  limits.may_leave_rack = CanSpreadOverRacks(now, {&job, &unit});
  limits.failed_on = &unit.failed_on;
  limits.expected_end = ExpectedEnd(now, step);
  limits.large_task = LargeTaskBeside(ServiceOf(job), step);
  auto minion_indices = FindProvenMinions(now, job, unit, fleet, limits);
  if (!minion_indices) {
    minion_indices = FindTrustedMinions(now, {&job, &unit}, fleet, limits);
  }
  if (!minion_indices) {
    minion_indices = PlaceTasks(step, unit.width, fleet, limits);
  }
  const bool is_rack_bound = step.wants_one_rack || !step.data_rack.empty();
  if (!minion_indices && is_rack_bound && !limits.may_leave_rack &&
      !CouldFitInOneRack(ServiceOf(job), fleet, {&job, &unit})) {
    limits.may_leave_rack = true;
    minion_indices = PlaceTasks(step, unit.width, fleet, limits);
  }
  eviction_claim claim{job.accepted.priority, job.accepted.team, false};
  if (!minion_indices && job.accepted.priority == 0) {
    CollectEvictable(now, claim, fleet);
    limits.may_evict = true;
    minion_indices = PlaceTasks(step, unit.width, fleet, limits);
  }
  if (!minion_indices && CanTakeBorrowed(now, job, unit)) {
    claim.can_take_borrowed = true;
    limits.may_leave_rack = true;
    CollectEvictable(now, claim, fleet);
    minion_indices = PlaceTasks(step, unit.width, fleet, limits);
  }
  if (!minion_indices) {
    return false;
  }
  Reserve(now, job, unit, *minion_indices, fleet.Minions());
  Evict(now, claim, job, unit);
  RecordIfFree({&job, &unit});
  return true;
}

void work_core::impl::Reserve(instant now,
                              job_entry& job,
                              work_unit& unit,
                              const std::vector<std::size_t>& minion_indices,
                              const std::vector<minion_view>& views) {
  ++unit.run;
  unit.has_run_failed = false;
  unit.is_isolated = unit.is_suspect && CanIsolate(fleets_.at(ServiceOf(job)));
  unit.claimed_at = now;
  unit.members.clear();
  unit.members.reserve(minion_indices.size());
  for (std::size_t task = 0; task < minion_indices.size(); ++task) {
    minion_entry& minion = MinionOf(views[minion_indices[task]].id);
    unit_member member;
    member.index = unit.width > 1 ? static_cast<int>(task) : unit.index;
    member.incarnation = {minion.report.id, minion.report.incarnation_unix_ms,
                          minion.report.address};
    unit.members.push_back(member);
    AddMember(minion, {&job, &unit, &unit.members.back()});
  }
  SetPhase(job, unit, unit_phase::kClaimed);
  const double demand = DemandOf(job, unit);
  team_shares_.Add(now, job.accepted.team, demand);
  placement_rates_[job.accepted.queue].OnPlaced(demand);
  LogEvent("run_placed", job.accepted.id,
           std::to_string(unit.occurrence) + "." + std::to_string(unit.step) +
               "." + std::to_string(unit.index) + "#" +
               std::to_string(unit.run),
           unit.members.front().incarnation.id,
           "tasks " + std::to_string(unit.width) + " waited_ms " +
               std::to_string((now - unit.waiting_since).count() / 1000),
           unit.width == 1);
}

void work_core::impl::RecordRun(job_entry& job, work_unit& unit) {
  SetPhase(job, unit, unit_phase::kRecorded);
  MarkChanged(job);
  unit.record_change = job.change;
}

}  // namespace sassafras::sched

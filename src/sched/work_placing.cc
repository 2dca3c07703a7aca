#include <algorithm>
#include <chrono>
#include <tuple>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Waiting units are looked at so often without an event, for due times and
// for waits that have become too long.
constexpr duration kPlaceInterval = std::chrono::milliseconds(100);
// While units wait for room, events are so frequent that each pass serves those
// of this time together.
constexpr duration kCrowdedPause = std::chrono::milliseconds(15);
// Share of its estimate that a step waits for one rack before it is spread: a
// spread step takes a multiple of its time.
constexpr double kRackPatience = 1.0;

// Tasks whose record takes a place of its own in the job's row.
int TasksUnderWay(const job_entry& job) {
  int tasks = 0;
  for (const work_unit& unit : job.units) {
    const bool is_over = unit.is_done && unit.members.empty();
    tasks += unit.run > 0 && !is_over ? unit.width : 0;
  }
  return tasks;
}

}  // namespace

bool work_core::impl::IsReady(instant now,
                              std::int64_t wall_ms,
                              const job_entry& job,
                              const work_unit& unit) const {
  if (unit.phase != unit_phase::kWaiting || now < unit.not_before) {
    return false;
  }
  const job_spec& spec = job.job.spec;
  if (spec.occurrences > 0 &&
      wall_ms < spec.first_due_unix_ms + unit.occurrence * spec.interval_ms) {
    return false;
  }
  const std::vector<int>& after = spec.steps.at(unit.step).after;
  if (after.empty()) {
    return true;
  }
  return std::all_of(
      job.units.begin(), job.units.end(), [&](const work_unit& other) {
        return other.is_done || other.occurrence != unit.occurrence ||
               std::find(after.begin(), after.end(), other.step) == after.end();
      });
}

std::vector<work_core::impl::waiting_unit> work_core::impl::WaitingUnits(
    instant now,
    std::int64_t wall_ms) {
  std::vector<waiting_unit> waiting;
  for (auto& [id, job] : open_jobs_) {
    if (job->IsEnded() || job->CountOf(unit_phase::kWaiting) == 0) {
      continue;
    }
    int under_way = TasksUnderWay(*job);
    for (work_unit& unit : job->units) {
      if (!IsReady(now, wall_ms, *job, unit)) {
        continue;
      }
      const bool is_begun = unit.run > 0;
      if (is_begun || under_way == 0 ||
          under_way + unit.width <= kMaxTasksUnderWay) {
        waiting.push_back({job, &unit});
        under_way += is_begun ? 0 : unit.width;
      }
    }
  }
  const auto rank = [this](const waiting_unit& item) {
    return std::tuple(item.job->job.priority,
                      !IsWithinGuarantee(*item.job, *item.unit),
                      item.job->accepted_version);
  };
  std::stable_sort(waiting.begin(), waiting.end(),
                   [&](const waiting_unit& left, const waiting_unit& right) {
                     return rank(left) < rank(right);
                   });
  return waiting;
}

std::vector<minion_view> work_core::impl::ViewsOf(instant now,
                                                  const std::string& service) {
  std::vector<minion_view> views;
  for (const auto& [id, minion] : minions_) {
    if (minion.report.service != service || HealthOf(now, minion) != "usable") {
      continue;
    }
    minion_view view;
    view.id = id;
    view.rack = minion.report.rack;
    view.labels = minion.report.labels;
    view.capacity = minion.report.capacity;
    view.free = minion.report.capacity - minion.used;
    views.push_back(std::move(view));
  }
  std::map<std::string, int> ranks;
  for (const minion_view& view : views) {
    ranks.emplace(view.rack, 0);
  }
  int rank = 0;
  for (auto& [rack, place] : ranks) {
    place = rank++;
  }
  for (minion_view& view : views) {
    view.rack_rank = ranks[view.rack];
  }
  return views;
}

void work_core::impl::CountSameStep(const job_entry& job,
                                    const work_unit& unit,
                                    std::vector<minion_view>& views) const {
  std::map<std::string, int> counts;
  for (const work_unit& other : job.units) {
    if (other.step != unit.step || other.occurrence != unit.occurrence) {
      continue;
    }
    for (const unit_member& member : other.members) {
      counts[member.life.id] += member.phase == member_phase::kOver ? 0 : 1;
    }
  }
  for (minion_view& view : views) {
    const auto it = counts.find(view.id);
    view.same_step = it == counts.end() ? 0 : it->second;
  }
}

void work_core::impl::PlaceAll(instant now, std::int64_t wall_unix_ms) {
  CheckClaims(now);
  if (now < place_after_ || (!should_place_ && now < next_place_)) {
    return;
  }
  should_place_ = false;
  next_place_ = now + kPlaceInterval;
  CountUrgentUse();
  std::map<std::string, std::vector<minion_view>> views;
  std::vector<waiting_unit> unplaced;
  for (const waiting_unit& waiting : WaitingUnits(now, wall_unix_ms)) {
    job_entry& job = *waiting.job;
    work_unit& unit = *waiting.unit;
    const bool is_hopeless = std::any_of(
        unplaced.begin(), unplaced.end(), [&](const waiting_unit& other) {
          return IsNoEasier(now, waiting, other);
        });
    if (is_hopeless || unit.phase != unit_phase::kWaiting) {
      continue;
    }
    const std::string& service = ServiceOf(job);
    auto it = views.find(service);
    if (it == views.end()) {
      it = views.emplace(service, ViewsOf(now, service)).first;
    }
    if (!TryPlace(now, job, unit, it->second)) {
      unplaced.push_back(waiting);
    }
  }
  place_after_ = unplaced.empty() ? now : now + kCrowdedPause;
}

bool work_core::impl::MaySpread(instant now, const waiting_unit& waiting) {
  const auto patience = std::chrono::duration_cast<duration>(
      waiting.Step().estimate * kRackPatience);
  return now - waiting.unit->waiting_since > patience;
}

// Whether `unit` cannot be placed because `unplaced`, tried a moment before,
// could not: it is of the same step, or needs as much under the same terms.
bool work_core::impl::IsNoEasier(instant now,
                                 const waiting_unit& unit,
                                 const waiting_unit& unplaced) const {
  const bool is_same_step =
      unit.job == unplaced.job &&
      unit.unit->occurrence == unplaced.unit->occurrence &&
      unit.unit->step == unplaced.unit->step;
  if (is_same_step) {
    return true;
  }
  const step_spec& step = unit.Step();
  const step_spec& other = unplaced.Step();
  const bool has_same_terms =
      (unit.job->job.priority == 0) == (unplaced.job->job.priority == 0) &&
      !IsWithinGuarantee(*unit.job, *unit.unit) &&
      ServiceOf(*unit.job) == ServiceOf(*unplaced.job) &&
      step.required_label == other.required_label &&
      step.wants_one_rack == other.wants_one_rack &&
      step.data_rack == other.data_rack && step.max_per_minion == 0 &&
      other.max_per_minion == 0 && !NeedsAdvice(*unit.job) &&
      !NeedsAdvice(*unplaced.job);
  if (!has_same_terms || !step.Reserved().Holds(other.Reserved()) ||
      unit.unit->width < unplaced.unit->width) {
    return false;
  }
  // A wider gang may be spread sooner, if no rack could ever hold it.
  const bool is_bound = step.wants_one_rack || !step.data_rack.empty();
  return !is_bound || MaySpread(now, unplaced) ||
         (!MaySpread(now, unit) && step.Reserved() == other.Reserved() &&
          unit.unit->width == unplaced.unit->width);
}

bool work_core::impl::TryPlace(instant now,
                               job_entry& job,
                               work_unit& unit,
                               std::vector<minion_view>& views) {
  if (NeedsAdvice(job)) {
    std::vector<minion_view> advised = AdvisedViews(now, job, unit, views);
    const bool is_placed = TryPlaceAmong(now, job, unit, advised);
    if (is_placed) {
      views = ViewsOf(now, ServiceOf(job));
    } else {
      AskAdvice(now, job, unit, views);
    }
    return is_placed;
  }
  return TryPlaceAmong(now, job, unit, views);
}

bool work_core::impl::TryPlaceAmong(instant now,
                                    job_entry& job,
                                    work_unit& unit,
                                    std::vector<minion_view>& views) {
  const step_spec& step = job.job.spec.steps.at(unit.step);
  if (step.max_per_minion > 0) {
    CountSameStep(job, unit, views);
  }
  for (minion_view& view : views) {
    // Urgent work does not try out minions that were avoided and have not
    // ended a run well since.
    const bool is_suspect =
        job.job.priority == 0 && minions_.at(view.id).penalties > 0;
    view.has_failed_it = is_suspect || unit.failed_on.contains(view.id);
  }
  placement_limits limits;
  limits.is_urgent = job.job.priority == 0;
  limits.may_leave_rack = MaySpread(now, {&job, &unit});
  auto places = PlaceTasks(step, unit.width, views, limits);
  const bool is_bound = step.wants_one_rack || !step.data_rack.empty();
  if (!places && is_bound && !limits.may_leave_rack &&
      !CouldEverFit(step, unit.width, views, true)) {
    limits.may_leave_rack = true;
    places = PlaceTasks(step, unit.width, views, limits);
  }
  eviction_claim claim{job.job.priority, job.job.team, false};
  if (!places && job.job.priority == 0) {
    AddEvictable(now, claim, views);
    limits.may_evict = true;
    places = PlaceTasks(step, unit.width, views, limits);
  }
  if (!places && MayTakeBorrowed(now, job, unit)) {
    claim.takes_borrowed = true;
    limits.may_leave_rack = true;
    AddEvictable(now, claim, views);
    places = PlaceTasks(step, unit.width, views, limits);
  }
  if (!places) {
    return false;
  }
  Reserve(now, job, unit, *places, views);
  if (job.job.priority == 0) {
    urgent_use_[job.job.team] += AcceleratorsOf(job, unit);
  }
  Evict(now, claim, job, unit);
  CheckClaims(now);
  return true;
}

void work_core::impl::Reserve(instant now,
                              job_entry& job,
                              work_unit& unit,
                              const std::vector<std::size_t>& places,
                              std::vector<minion_view>& views) {
  const room needs = job.job.spec.steps.at(unit.step).Reserved();
  ++unit.run;
  unit.has_run_failed = false;
  unit.claimed_at = now;
  unit.members.clear();
  unit.members.reserve(places.size());
  for (std::size_t task = 0; task < places.size(); ++task) {
    minion_view& view = views[places[task]];
    minion_entry& minion = MinionOf(view.id);
    unit_member member;
    member.index = unit.width > 1 ? static_cast<int>(task) : unit.index;
    member.life = {view.id, minion.report.born_unix_ms, minion.report.address};
    unit.members.push_back(member);
    view.free -= needs;
    AddMember(minion, {&job, &unit, &unit.members.back()});
  }
  job.SetPhase(unit, unit_phase::kClaimed);
  Note("run_placed", job.job.id,
       std::to_string(unit.occurrence) + "." + std::to_string(unit.step) + "." +
           std::to_string(unit.index) + "#" + std::to_string(unit.run),
       unit.members.front().life.id,
       "tasks " + std::to_string(unit.width) + " waited_ms " +
           std::to_string((now - unit.waiting_since).count() / 1000));
}

void work_core::impl::Record(job_entry& job, work_unit& unit) {
  job.SetPhase(unit, unit_phase::kRecorded);
  MarkChanged(job);
  unit.record_change = job.change;
}

}  // namespace sassafras::sched

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
// A claim whose evicted runs do not end is given up after it.
constexpr duration kClaimTimeout = std::chrono::milliseconds(1500);
// A pause before a given-up claim is placed anew.
constexpr duration kClaimPause = std::chrono::milliseconds(100);
// Share of its estimate that a step waits for one rack before it is spread: a
// spread step takes a multiple of its time.
constexpr double kRackPatience = 1.0;
// Accelerators weigh in lost work like so many cores, as the users price them.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMillicores = 1000;
// Work after the last checkpoint, at most, when a step saves progress.
constexpr duration kCheckpointLoss = std::chrono::seconds(1);
constexpr std::size_t kMaxEvictionsPerMinion = 64;
// A persistent task that has started up states this progress.
constexpr int kAtWorkPercent = 100;

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
    for (work_unit& unit : job->units) {
      if (IsReady(now, wall_ms, *job, unit)) {
        waiting.push_back({job, &unit});
      }
    }
  }
  std::stable_sort(
      waiting.begin(), waiting.end(),
      [](const waiting_unit& left, const waiting_unit& right) {
        return std::tuple(left.job->job.priority, left.job->accepted_version) <
               std::tuple(right.job->job.priority, right.job->accepted_version);
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

// Work in core-seconds that stopping the unit now would throw away.
double work_core::impl::LossOf(instant now,
                               const job_entry& job,
                               const work_unit& unit) const {
  const step_spec& step = job.job.spec.steps.at(unit.step);
  duration ran{0};
  for (const unit_member& member : unit.members) {
    if (member.phase == member_phase::kRunning) {
      ran = std::max(ran, now - member.confirmed_at);
    }
  }
  if (step.saves_progress) {
    ran = std::min(ran, kCheckpointLoss);
  }
  const double cores =
      static_cast<double>(step.needs.millicores) / kMillicores +
      static_cast<double>(step.needs.accelerators) * kCoresPerAccelerator;
  return std::chrono::duration<double>(ran).count() * cores * unit.width;
}

// Room of less urgent runs may be taken; room of runs that stop already costs
// nothing more.
void work_core::impl::AddEvictable(instant now,
                                   int priority,
                                   std::vector<minion_view>& views) {
  std::map<std::string, minion_view*> by_id;
  for (minion_view& view : views) {
    view.evictable = {};
    view.evict_cost = 0;
    by_id[view.id] = &view;
  }
  for (auto& [id, job] : open_jobs_) {
    if (!job->HoldsRoom()) {
      continue;
    }
    for (work_unit& unit : job->units) {
      const bool is_closing = unit.phase == unit_phase::kClosing;
      if (!is_closing &&
          (job->job.priority <= priority ||
           unit.phase == unit_phase::kWaiting ||
           unit.phase == unit_phase::kDone || !MayStop(now, *job, unit))) {
        continue;
      }
      const double loss = is_closing ? 0 : LossOf(now, *job, unit);
      const room needs = job->job.spec.steps.at(unit.step).Reserved();
      for (const unit_member& member : unit.members) {
        const auto it = by_id.find(member.life.id);
        if (member.phase != member_phase::kOver && it != by_id.end()) {
          it->second->evictable += needs;
          it->second->evict_cost += loss;
        }
      }
    }
  }
}

// Whether an order of ours may end the unit's run: of a persistent step only
// so many tasks may be away at once.
bool work_core::impl::MayStop(instant /*now*/,
                              const job_entry& job,
                              const work_unit& unit) const {
  const step_spec& step = job.job.spec.steps.at(unit.step);
  if (!step.is_persistent) {
    return true;
  }
  int away = 0;
  for (const work_unit& other : job.units) {
    if (&other == &unit || other.step != unit.step ||
        other.occurrence != unit.occurrence) {
      continue;
    }
    const bool is_at_work =
        other.phase == unit_phase::kActive &&
        std::all_of(other.members.begin(), other.members.end(),
                    [](const unit_member& member) {
                      return member.phase == member_phase::kRunning &&
                             member.percent == kAtWorkPercent;
                    });
    away += is_at_work ? 0 : other.width;
  }
  return away + unit.width <= step.may_miss;
}

void work_core::impl::PlaceAll(instant now, std::int64_t wall_unix_ms) {
  CheckClaims(now);
  if (now < place_after_ || (!should_place_ && now < next_place_)) {
    return;
  }
  should_place_ = false;
  next_place_ = now + kPlaceInterval;
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
  if (!places && job.job.priority == 0) {
    AddEvictable(now, job.job.priority, views);
    limits.may_evict = true;
    places = PlaceTasks(step, unit.width, views, limits);
  }
  if (!places) {
    return false;
  }
  Reserve(now, job, unit, *places, views);
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
  Evict(now, job, unit);
  CheckClaims(now);
}

// Stops the least urgent runs with the least loss until the claimed room will
// be free.
void work_core::impl::Evict(instant now,
                            const job_entry& job,
                            const work_unit& unit) {
  struct victim {
    member_ref ref;
    double loss = 0;
  };
  for (const unit_member& member : unit.members) {
    minion_entry& minion = MinionOf(member.life.id);
    for (std::size_t round = 0; round < kMaxEvictionsPerMinion; ++round) {
      room staying = minion.used;
      std::optional<victim> best;
      for (const auto& [run, ref] : minion.members) {
        if (ref.unit->phase == unit_phase::kClosing) {
          staying -= ref.Step().Reserved();
          continue;
        }
        if (ref.job->job.priority <= job.job.priority ||
            !MayStop(now, *ref.job, *ref.unit)) {
          continue;
        }
        const victim candidate{ref, LossOf(now, *ref.job, *ref.unit)};
        const auto rank = [](const victim& item) {
          return std::pair(-item.ref.job->job.priority, item.loss);
        };
        if (!best || rank(candidate) < rank(*best)) {
          best = candidate;
        }
      }
      if (minion.report.capacity.Holds(staying) || !best) {
        break;
      }
      counters_.Add("sched_evictions");
      CloseUnit(now, *best->ref.job, *best->ref.unit,
                "evicted for " + job.job.id);
    }
  }
}

// A claim becomes a run once what it was given has become free.
void work_core::impl::CheckClaims(instant now) {
  for (auto& [id, job] : open_jobs_) {
    if (job->IsEnded() || job->CountOf(unit_phase::kClaimed) == 0) {
      continue;
    }
    for (work_unit& unit : job->units) {
      if (unit.phase != unit_phase::kClaimed) {
        continue;
      }
      const bool is_free =
          std::all_of(unit.members.begin(), unit.members.end(),
                      [&](const unit_member& member) {
                        const minion_entry& minion = MinionOf(member.life.id);
                        return minion.report.capacity.Holds(minion.used);
                      });
      if (is_free) {
        Record(*job, unit);
      } else if (now - unit.claimed_at > kClaimTimeout) {
        counters_.Add("sched_claims_given_up");
        unit.not_before = now + kClaimPause;
        CloseUnit(now, *job, unit, "claimed room did not become free");
      }
    }
  }
}

void work_core::impl::Record(job_entry& job, work_unit& unit) {
  job.SetPhase(unit, unit_phase::kRecorded);
  MarkChanged(job);
  unit.record_change = job.change;
}

}  // namespace sassafras::sched

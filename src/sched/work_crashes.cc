#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Minimum interval between two comparisons of lives by address.
constexpr duration kLifeCheckInterval = std::chrono::milliseconds(100);
// Time at work after which a run is unlikely to crash its minion, by the number
// of crashes that it has met.
constexpr std::array<duration, 4> kSettleTimes = {
    std::chrono::seconds(2), std::chrono::seconds(2), std::chrono::seconds(10),
    std::chrono::seconds(60)};
// Time at work after which earlier crashes no longer count against a unit.
// Machines also crash by themselves, and lasting tasks meet many such crashes.
constexpr duration kForgiveTime = std::chrono::minutes(10);
// Crashes after which a task is given up, by how many of them it alone can have
// caused: none, one, two or more.
constexpr std::array<int, 3> kMaxCrashes = {5, 4, 3};
// Minions that fall silent within this time of each other, and their number and
// share of all from which the cause is taken to be outside of them, such as a
// loss of power.
constexpr duration kCommonCauseWindow = std::chrono::milliseconds(400);
constexpr std::size_t kCommonCauseMinions = 6;
constexpr std::size_t kCommonCauseShare = 16;
constexpr duration kSilenceAge = std::chrono::minutes(1);
// Time after which a lost minion is taken to be gone for good.
constexpr duration kMaxUnresolvedTime = std::chrono::minutes(1);
// Part of a service's minions that isolated runs may hold at the same time.
constexpr std::size_t kMaxIsolatingShare = 4;
// Wait after which a suspect is placed beside runs that have settled, by
// whether it was the sole suspect of a crash.
constexpr duration kIdleMinionWait = std::chrono::milliseconds(300);
constexpr duration kIdleMinionWaitIfBlamed = std::chrono::seconds(2);
// Wait after which a suspect is placed like any other unit.
constexpr duration kMaxIsolationWait = std::chrono::milliseconds(2500);

// Whether a start of the member may have been executed.
bool MayHaveStarted(const unit_member& member) {
  return member.phase != member_phase::kPlanned &&
         member.phase != member_phase::kTerminated;
}

duration SettleTimeOf(const work_unit& unit) {
  const auto crashes = static_cast<std::size_t>(MostCrashes(unit));
  return kSettleTimes.at(std::min(crashes, kSettleTimes.size() - 1));
}

duration TimeAtWork(const unit_member& member) {
  return member.was_listed ? member.listed_at - member.confirmed_at
                           : duration(0);
}

bool IsSettled(const work_unit& unit, const unit_member& member) {
  return TimeAtWork(member) >= SettleTimeOf(unit);
}

// Returns the crashes under one task of the unit, which may be none so far.
task_crashes& CrashesOf(work_unit& unit, int index) {
  const auto known = std::find_if(
      unit.crashes.begin(), unit.crashes.end(),
      [&](const task_crashes& task) { return task.index == index; });
  return known != unit.crashes.end()
             ? *known
             : unit.crashes.emplace_back(task_crashes{index, 0, 0});
}

// Whether one more crash under a task of the unit would be beyond its limit, if
// its lost minions have crashed.
bool MustAwaitResolution(const work_unit& unit) {
  std::map<int, int> losses;
  for (const task_crashes& task : unit.crashes) {
    losses[task.index] += task.crashes;
  }
  for (const crash_evidence& lost : unit.unresolved) {
    ++losses[lost.index];
  }
  return std::any_of(losses.begin(), losses.end(), [](const auto& task) {
    return task.second >= kMaxCrashes.front();
  });
}

bool IsBlamed(const work_unit& unit) {
  return std::any_of(unit.crashes.begin(), unit.crashes.end(),
                     [](const task_crashes& task) { return task.blamed > 0; });
}

}  // namespace

std::string_view GetName(crash_role role) {
  constexpr std::array<std::string_view, 4> kNames = {
      "one of many", "bystander", "suspect", "sole suspect"};
  return kNames.at(static_cast<std::size_t>(role));
}

// Ends the lives of silent minions at whose address a later incarnation has
// answered, under whatever id: an address is served by one process at a time.
// Without this proof, only the end of the lease shows that a run is over.
void work_core::impl::EndSucceededLives(instant now) {
  if (!has_new_answers_ || now < next_life_check_) {
    return;
  }
  has_new_answers_ = false;
  next_life_check_ = now + kLifeCheckInterval;
  std::vector<minion_entry*> silent;
  for (auto& [id, minion] : minions_) {
    if (!minion.members.empty() && !minion.is_responsive &&
        !minion.report.address.empty() &&
        minion.report.incarnation_unix_ms > 0) {
      silent.push_back(&minion);
    }
  }
  if (silent.empty() && unresolved_units_.empty()) {
    return;
  }
  incarnations_by_address latest;
  for (const auto& [id, minion] : minions_) {
    if (minion.is_responsive) {
      std::int64_t& incarnation = latest[minion.report.address];
      incarnation = std::max(incarnation, minion.report.incarnation_unix_ms);
    }
  }
  for (minion_entry* minion : silent) {
    const auto next = latest.find(minion->report.address);
    if (next != latest.end() &&
        next->second > minion->report.incarnation_unix_ms) {
      EndLife(now, *minion);
    }
  }
  ResolveLosses(now, latest);
}

// Keeps a run whose lease has expired in mind, since a later incarnation may
// still show that its minion had crashed.
void work_core::impl::KeepUnresolved(instant now,
                                     const member_ref& ref,
                                     crash_role role) {
  if (ref.unit->is_done || ref.job->IsEnded()) {
    return;
  }
  ref.unit->unresolved.push_back(EvidenceOf(now, ref, role));
  if (role != crash_role::kNone && role != crash_role::kBystander &&
      !IsSettled(*ref.unit, *ref.member)) {
    ref.unit->is_suspect = true;
  }
  unresolved_units_.insert({ref.job, ref.unit});
  MarkChanged(*ref.job);
}

void work_core::impl::RestoreUnresolved(job_entry& job,
                                        work_unit& unit,
                                        const recorded_unit& recorded) {
  for (const recorded_member& lost : recorded.unresolved) {
    unit.unresolved.push_back(
        {lost.index,
         {lost.minion, lost.incarnation_unix_ms, lost.address},
         crash_role::kSuspect,
         duration(0),
         true,
         tenure_began_at_});
    unresolved_units_.insert({&job, &unit});
  }
}

// Returns whether the lost incarnation has crashed, or was only unreachable;
// empty if neither is known.
std::optional<bool> work_core::impl::HasCrashed(
    const minion_incarnation& lost,
    const incarnations_by_address& latest) const {
  const auto same_id = minions_.find(lost.id);
  if (same_id != minions_.end() && same_id->second.is_responsive) {
    return same_id->second.report.incarnation_unix_ms >
           lost.incarnation_unix_ms;
  }
  const auto next = latest.find(lost.address);
  if (next != latest.end() && next->second > lost.incarnation_unix_ms) {
    return true;
  }
  return std::nullopt;
}

void work_core::impl::ResolveLosses(instant now,
                                    const incarnations_by_address& latest) {
  const std::vector<unit_ref> unresolved(unresolved_units_.begin(),
                                         unresolved_units_.end());
  for (const unit_ref& ref : unresolved) {
    if (ref.unit->is_done || ref.job->IsEnded()) {
      ref.unit->unresolved.clear();
      unresolved_units_.erase(ref);
      continue;
    }
    for (const crash_evidence& lost : std::exchange(ref.unit->unresolved, {})) {
      const std::optional<bool> has_crashed = HasCrashed(lost.minion, latest);
      if (!has_crashed && now - lost.lost_at < kMaxUnresolvedTime) {
        ref.unit->unresolved.push_back(lost);
        continue;
      }
      if (!has_crashed) {
        counters_.Add("sched_losses_unresolved");
        MarkChanged(*ref.job);
        continue;
      }
      counters_.Add(*has_crashed ? "sched_losses_crashed"
                                 : "sched_losses_unreachable");
      MarkChanged(*ref.job);
      if (*has_crashed) {
        CountCrash(now, *ref.job, *ref.unit, lost);
      }
    }
    if (ref.unit->unresolved.empty()) {
      unresolved_units_.erase(ref);
    }
  }
}

void work_core::impl::RecordSilence(instant now, minion_entry& minion) {
  minion.silent_since = now;
  if (!minion.members.empty()) {
    silences_.push_back(now);
  }
  while (!silences_.empty() && now - silences_.front() > kSilenceAge) {
    silences_.pop_front();
  }
}

// Whether so many minions fell silent together with `minion` that no task on it
// is the cause.
bool work_core::impl::HasCommonCause(const minion_entry& minion) const {
  const auto together = static_cast<std::size_t>(
      std::count_if(silences_.begin(), silences_.end(), [&](instant silence) {
        return silence >= minion.silent_since - kCommonCauseWindow &&
               silence <= minion.silent_since + kCommonCauseWindow;
      }));
  return together >=
         std::max(kCommonCauseMinions, minions_.size() / kCommonCauseShare);
}

// Returns the part that each run of a crashed minion may have had. A crash is
// most likely due to what was started last, so that runs which had been at work
// for some time are suspects only if there are no others.
std::map<run_key, crash_role> work_core::impl::RolesInCrash(
    const minion_entry& minion) const {
  const bool has_common_cause = HasCommonCause(minion);
  std::set<const work_unit*> started;
  std::set<const work_unit*> unsettled;
  for (const auto& [run, ref] : minion.members) {
    if (MayHaveStarted(*ref.member)) {
      started.insert(ref.unit);
      if (!IsSettled(*ref.unit, *ref.member)) {
        unsettled.insert(ref.unit);
      }
    }
  }
  const std::set<const work_unit*>& suspects =
      unsettled.empty() ? started : unsettled;
  std::map<run_key, crash_role> roles;
  for (const auto& [run, ref] : minion.members) {
    if (!started.contains(ref.unit)) {
      continue;
    }
    if (has_common_cause) {
      roles[run] = crash_role::kNone;
    } else if (!suspects.contains(ref.unit)) {
      roles[run] = crash_role::kBystander;
    } else {
      roles[run] = suspects.size() == 1 ? crash_role::kSoleSuspect
                                        : crash_role::kSuspect;
    }
  }
  return roles;
}

crash_evidence work_core::impl::EvidenceOf(instant now,
                                           const member_ref& ref,
                                           crash_role role) {
  return {ref.member->index,       ref.member->incarnation,      role,
          TimeAtWork(*ref.member), ref.member->starts_sent == 0, now};
}

void work_core::impl::CountCrash(instant now,
                                 const member_ref& ref,
                                 std::optional<crash_role> role) {
  if (role) {
    CountCrash(now, *ref.job, *ref.unit, EvidenceOf(now, ref, *role));
  }
}

// Counts the crash of a minion against a task that ran there. The count goes
// into the record that names the minions of the next run. Gives the job up when
// the task has reached its limit.
void work_core::impl::CountCrash(instant now,
                                 job_entry& job,
                                 work_unit& unit,
                                 const crash_evidence& lost) {
  if (unit.is_done || job.IsEnded()) {
    return;
  }
  const bool has_crashed_before = !unit.crashes.empty();
  if (lost.role != crash_role::kNone) {
    unit.is_suspect = unit.is_suspect || has_crashed_before ||
                      (lost.role != crash_role::kBystander &&
                       lost.time_at_work < SettleTimeOf(unit));
  }
  task_crashes& task = CrashesOf(unit, lost.index);
  ++task.crashes;
  // How long an inherited run had been at work is not known.
  const bool is_to_blame = lost.role == crash_role::kSoleSuspect &&
                           lost.time_at_work < kSettleTimes.front() &&
                           (has_crashed_before || !lost.is_inherited);
  task.blamed += is_to_blame ? 1 : 0;
  counters_.Add("sched_crashes");
  const std::string figures = "crashes " + std::to_string(task.crashes) +
                              ", blamed for " + std::to_string(task.blamed);
  LogEvent("crash_counted", job.accepted.id,
           std::to_string(unit.occurrence) + "." + std::to_string(unit.step) +
               "." + std::to_string(lost.index),
           lost.minion.id, std::string(GetName(lost.role)) + ", " + figures);
  MarkChanged(job);
  const auto blamed = static_cast<std::size_t>(task.blamed);
  if (task.crashes >=
      kMaxCrashes.at(std::min(blamed, kMaxCrashes.size() - 1))) {
    counters_.Add("sched_given_up_after_crashes");
    FailJob(now, job, unit, "minions crashed under a task: " + figures);
  }
}

void work_core::impl::ForgiveCrashes(const member_ref& ref) {
  if (!ref.unit->crashes.empty() && TimeAtWork(*ref.member) >= kForgiveTime) {
    ref.unit->crashes.clear();
    ref.unit->unresolved.clear();
    unresolved_units_.erase({ref.job, ref.unit});
    ref.unit->is_suspect = false;
    MarkChanged(*ref.job);
  }
}

void work_core::impl::AddToIsolated(minion_entry& minion, int delta) {
  const bool was_isolating = minion.counts.isolated > 0;
  minion.counts.isolated += delta;
  const bool is_isolating = minion.counts.isolated > 0;
  isolating_minions_ +=
      static_cast<int>(is_isolating) - static_cast<int>(was_isolating);
}

// Opens the minions of an isolated run to others once all its members have
// settled. A task that crashes its minion upon each start would have done so.
void work_core::impl::EndIsolationIfSettled(work_unit& unit) {
  const auto is_settled = [&unit](const unit_member& member) {
    return IsSettled(unit, member);
  };
  if (!unit.is_isolated ||
      !std::all_of(unit.members.begin(), unit.members.end(), is_settled)) {
    return;
  }
  unit.is_isolated = false;
  unit.is_suspect = false;
  should_place_ = true;
  for (const unit_member& member : unit.members) {
    if (member.phase != member_phase::kTerminated) {
      minion_entry& minion = MinionOf(member.incarnation.id);
      AddToIsolated(minion, -1);
      MarkDirty(minion);
    }
  }
}

// Whether the next run of a suspect keeps others off its minions. Isolated runs
// hold a part of the fleet only, and none of a fleet of few minions.
bool work_core::impl::CanIsolate(const fleet_view& fleet) const {
  return static_cast<std::size_t>(isolating_minions_) <
         fleet.Minions().size() / kMaxIsolatingShare;
}

bool work_core::impl::HasUnsettledRuns(const minion_entry& minion) {
  return std::any_of(
      minion.members.begin(), minion.members.end(), [](const auto& item) {
        return !IsSettled(*item.second.unit, *item.second.member);
      });
}

// Returns the usable minions on which a suspect may be placed.
fleet_view work_core::impl::IsolatedView(instant now,
                                         const unit_ref& unit,
                                         const std::vector<minion_view>& views,
                                         isolation_place place) const {
  const bool can_use_avoided = CanUseAvoidedMinions(now, unit);
  std::vector<minion_view> chosen;
  for (const minion_view& view : views) {
    const minion_entry& minion = minions_.at(view.id);
    const bool is_usable =
        view.is_usable ||
        (can_use_avoided && HealthOf(now, minion) == kAvoided);
    const bool is_free =
        place == isolation_place::kIdle
            ? minion.members.empty()
            : place == isolation_place::kAny || !HasUnsettledRuns(minion);
    if (is_usable && is_free) {
      chosen.push_back(view);
      chosen.back().is_usable = true;
      chosen.back().is_evictable_current = false;
    }
  }
  return fleet_view(std::move(chosen));
}

// Places a unit under which a minion may have crashed. A deadly one costs least
// on an idle minion; a sound one should not wait long for that, nor longer than
// its job may stand still for settled neighbours.
bool work_core::impl::TryPlaceIsolated(instant now,
                                       job_entry& job,
                                       work_unit& unit) {
  if (MustAwaitResolution(unit)) {
    counters_.Add("sched_suspect_awaits_resolution");
    return false;
  }
  const fleet_view& fleet = fleets_.at(ServiceOf(job));
  const bool is_overdue = now - unit.waiting_since >= kMaxIsolationWait;
  if (!is_overdue && isolating_minions_ > 0 && !CanIsolate(fleet)) {
    counters_.Add("sched_isolation_limit_reached");
    return false;
  }
  const std::vector<minion_view> views =
      NeedsAdvice(job) ? AdvisedViews(now, job, unit, fleet.Minions())
                       : fleet.Minions();
  const duration wait =
      IsBlamed(unit) ? kIdleMinionWaitIfBlamed : kIdleMinionWait;
  const auto try_among = [&](isolation_place place, std::string_view counter) {
    fleet_view chosen = IsolatedView(now, {&job, &unit}, views, place);
    const bool is_placed = TryPlaceAmong(now, job, unit, chosen);
    counters_.Add(std::string(counter), is_placed ? 1 : 0);
    return is_placed;
  };
  if (try_among(isolation_place::kIdle, "sched_isolated_on_idle") ||
      (now - unit.waiting_since >= wait &&
       try_among(isolation_place::kSettled, "sched_isolated_beside_settled")) ||
      (is_overdue &&
       try_among(isolation_place::kAny, "sched_isolation_overdue"))) {
    return true;
  }
  if (NeedsAdvice(job)) {
    RequestAdvice(now, job, unit, fleet.Minions());
  }
  return false;
}

// Terminates all runs of a minion that is known to run no more.
void work_core::impl::EndLife(instant now, minion_entry& minion) {
  counters_.Add("sched_lives_succeeded");
  LogEvent("minion_succeeded", "", "", minion.report.id,
           "another life answers at " + minion.report.address);
  const auto select_all = [](const run_key&, const member_ref&) {
    return true;
  };
  const bool has_left = minion.report.is_draining || minion.is_cordoned;
  const std::map<run_key, crash_role> roles = RolesInCrash(minion);
  for (const run_key& run : RunsWhere(minion, select_all)) {
    const member_ref ref = FindMember(run, minion.report.id);
    if (ref.member == nullptr) {
      continue;
    }
    const auto role = roles.find(run);
    if (!has_left && role != roles.end()) {
      CountCrash(now, ref, role->second);
    }
    HandleTerminatedMember(now, ref, close_cause::kRestarted);
  }
}

}  // namespace sassafras::sched

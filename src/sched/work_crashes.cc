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
// Part of a service's minions that isolated runs may hold at the same time.
constexpr std::size_t kMaxIsolatingShare = 4;
// Wait after which a suspect is placed beside runs that have settled, by
// whether it was the sole suspect of a crash.
constexpr duration kIdleMinionWait = std::chrono::milliseconds(300);
constexpr duration kIdleMinionWaitIfBlamed = std::chrono::seconds(2);

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
  if (silent.empty()) {
    return;
  }
  std::map<std::string, std::int64_t> latest_by_address;
  for (const auto& [id, minion] : minions_) {
    if (minion.is_responsive) {
      std::int64_t& latest = latest_by_address[minion.report.address];
      latest = std::max(latest, minion.report.incarnation_unix_ms);
    }
  }
  for (minion_entry* minion : silent) {
    const auto latest = latest_by_address.find(minion->report.address);
    if (latest != latest_by_address.end() &&
        latest->second > minion->report.incarnation_unix_ms) {
      EndLife(now, *minion);
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

// Counts the crash of a member's minion against its task. The count goes into
// the record that names the minions of the next run. Gives the job up when a
// task has reached its limit.
void work_core::impl::CountCrash(instant now,
                                 const member_ref& ref,
                                 std::optional<crash_role> role) {
  work_unit& unit = *ref.unit;
  if (!role || unit.is_done || ref.job->IsEnded()) {
    return;
  }
  const bool has_settled = IsSettled(unit, *ref.member);
  if (*role != crash_role::kNone) {
    unit.is_suspect = !unit.crashes.empty() ||
                      (*role != crash_role::kBystander && !has_settled);
  }
  task_crashes& task = CrashesOf(unit, ref.member->index);
  ++task.crashes;
  task.blamed += *role == crash_role::kSoleSuspect &&
                         TimeAtWork(*ref.member) < kSettleTimes.front()
                     ? 1
                     : 0;
  counters_.Add("sched_crashes");
  const std::string figures = "crashes " + std::to_string(task.crashes) +
                              ", blamed for " + std::to_string(task.blamed);
  LogEvent("crash_counted", ref.job->accepted.id,
           FormatRun(KeyOf(*ref.job, unit, *ref.member)),
           ref.member->incarnation.id,
           std::string(GetName(*role)) + ", " + figures);
  MarkChanged(*ref.job);
  const auto blamed = static_cast<std::size_t>(task.blamed);
  if (task.crashes >=
      kMaxCrashes.at(std::min(blamed, kMaxCrashes.size() - 1))) {
    counters_.Add("sched_given_up_after_crashes");
    FailJob(now, *ref.job, unit, "minions crashed under a task: " + figures);
  }
}

void work_core::impl::ForgiveCrashes(const member_ref& ref) {
  if (!ref.unit->crashes.empty() && TimeAtWork(*ref.member) >= kForgiveTime) {
    ref.unit->crashes.clear();
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
// settled.
void work_core::impl::EndIsolationIfSettled(work_unit& unit) {
  const bool is_settled = std::all_of(
      unit.members.begin(), unit.members.end(),
      [&](const unit_member& member) { return IsSettled(unit, member); });
  if (!unit.is_isolated || !is_settled) {
    return;
  }
  unit.is_isolated = false;
  should_place_ = true;
  for (const unit_member& member : unit.members) {
    if (member.phase != member_phase::kTerminated) {
      minion_entry& minion = MinionOf(member.incarnation.id);
      AddToIsolated(minion, -1);
      MarkDirty(minion);
    }
  }
}

// Whether isolated runs may hold as many minions more as the unit needs. A gang
// that is wider than their share is isolated alone.
bool work_core::impl::CanIsolate(const work_unit& unit,
                                 const fleet_view& fleet) const {
  const auto held = static_cast<std::size_t>(isolating_minions_);
  const auto width = static_cast<std::size_t>(unit.width);
  return held == 0 ||
         held + width <= fleet.Minions().size() / kMaxIsolatingShare;
}

// Whether the unit's next run keeps others off its minions. In a fleet of few
// minions that would hold up everything.
bool work_core::impl::IsIsolated(const job_entry& job,
                                 const work_unit& unit) const {
  const auto fleet = fleets_.find(ServiceOf(job));
  return unit.is_suspect && fleet != fleets_.end() &&
         fleet->second.Minions().size() >= kMaxIsolatingShare;
}

bool work_core::impl::HasUnsettledRuns(const minion_entry& minion) {
  return std::any_of(
      minion.members.begin(), minion.members.end(), [](const auto& item) {
        return !IsSettled(*item.second.unit, *item.second.member);
      });
}

// Returns the minions on which the unit's run can be isolated: idle ones or,
// unless `is_idle_only`, those with settled runs only, so that a crash is due
// to the unit.
fleet_view work_core::impl::IsolatedView(instant now,
                                         const unit_ref& unit,
                                         const std::vector<minion_view>& views,
                                         bool is_idle_only) const {
  const bool can_use_avoided = CanUseAvoidedMinions(now, unit);
  std::vector<minion_view> chosen;
  for (const minion_view& view : views) {
    const minion_entry& minion = minions_.at(view.id);
    const bool is_usable =
        view.is_usable ||
        (can_use_avoided && HealthOf(now, minion) == kAvoided);
    const bool is_free =
        is_idle_only ? minion.members.empty() : !HasUnsettledRuns(minion);
    if (is_usable && is_free) {
      chosen.push_back(view);
      chosen.back().is_usable = true;
      chosen.back().is_evictable_current = false;
    }
  }
  return fleet_view(std::move(chosen));
}

// Places a unit under which a minion may have crashed. A deadly one costs least
// on an idle minion; a sound one should not wait long for that.
bool work_core::impl::TryPlaceIsolated(instant now,
                                       job_entry& job,
                                       work_unit& unit) {
  const fleet_view& fleet = fleets_.at(ServiceOf(job));
  if (!CanIsolate(unit, fleet)) {
    counters_.Add("sched_isolation_limit_reached");
    return false;
  }
  const std::vector<minion_view> views =
      NeedsAdvice(job) ? AdvisedViews(now, job, unit, fleet.Minions())
                       : fleet.Minions();
  fleet_view idle = IsolatedView(now, {&job, &unit}, views, true);
  if (TryPlaceAmong(now, job, unit, idle)) {
    counters_.Add("sched_isolated_on_idle");
    return true;
  }
  const duration wait =
      IsBlamed(unit) ? kIdleMinionWaitIfBlamed : kIdleMinionWait;
  if (now - unit.waiting_since >= wait) {
    fleet_view settled = IsolatedView(now, {&job, &unit}, views, false);
    if (TryPlaceAmong(now, job, unit, settled)) {
      counters_.Add("sched_isolated_beside_settled");
      return true;
    }
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

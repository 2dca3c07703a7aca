#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// A run is stopped early unless it is expected to end at least this long before
// its minion leaves.
constexpr duration kDrainMargin = std::chrono::milliseconds(300);
constexpr double kWholePercent = 100;
// Age of the list of minions from which nothing is started: any of them may
// have shrunk or begun to drain since.
constexpr duration kMaxMinionListAge = std::chrono::milliseconds(3500);
// Minimum progress from which a run's speed is estimated; whole percents are
// too coarse below it.
constexpr int kMinPercent = 5;

}  // namespace

// Returns the expected time until the unit's run ends: extrapolated from the
// progress of its slowest member, or from the submitter's estimate while the
// progress is too small.
duration work_core::impl::RemainingTimeOf(instant now,
                                          const job_entry& job,
                                          const work_unit& unit) const {
  const step_spec& step = job.accepted.spec.steps.at(unit.step);
  duration remaining{0};
  for (const unit_member& member : unit.members) {
    if (member.phase != member_phase::kRunning) {
      remaining = std::max(remaining, step.estimate);
      continue;
    }
    const duration run_time = now - member.confirmed_at;
    if (member.percent < kMinPercent) {
      remaining =
          std::max(remaining, std::max(step.estimate - run_time, duration(0)));
      continue;
    }
    const duration since = member.progressed_at - member.confirmed_at;
    const double remaining_ratio =
        (kWholePercent - member.percent) / member.percent;
    remaining =
        std::max(remaining,
                 std::chrono::duration_cast<duration>(since * remaining_ratio));
  }
  return remaining;
}

// Stops the runs that cannot end before their minion leaves, so that they
// resume elsewhere sooner, from their checkpoint if they have one.
void work_core::impl::EvacuateDrainingMinion(instant now,
                                             minion_entry& minion) {
  const auto must_stop = [&](const run_key&, const member_ref& ref) {
    if (ref.unit->phase == unit_phase::kClosing || ref.unit->is_done) {
      return false;
    }
    const bool ends_in_time =
        RemainingTimeOf(now, *ref.job, *ref.unit) + kDrainMargin <
        minion.drain_deadline - now;
    return ref.Step().is_persistent ||
           (!ends_in_time && options_.policy.leave_draining_minions);
  };
  for (const run_key& run : RunsWhere(minion, must_stop)) {
    const member_ref ref = FindMember(run, minion.report.id);
    if (ref.member != nullptr && ref.unit->phase != unit_phase::kClosing) {
      counters_.Add("sched_evacuations");
      CloseRun(now, *ref.job, *ref.unit, close_cause::kDraining);
    }
  }
}

// Minions of data centres whose evacuation begins or ends are handled anew, and
// waiting jobs are placed again.
void work_core::impl::SetEvacuations(const evacuations& evacuated) {
  const std::set<std::string> before = evacuations_.Places();
  evacuations_ = evacuated;
  const std::set<std::string>& places = evacuations_.Places();
  if (places == before) {
    return;
  }
  should_place_ = true;
  std::set<std::string> without_minions = places;
  for (auto& [id, minion] : minions_) {
    const std::string& place = minion.report.zone;
    without_minions.erase(place);
    if (before.contains(place) != places.contains(place)) {
      MarkDirty(minion);
    }
  }
  for (const std::string& place : without_minions) {
    LogEvent("evacuated_without_minions", "", "", "", place);
  }
}

// Returns whether the minions and the evacuated data centres are known well
// enough to start anything.
bool work_core::impl::MayStartAnything(instant now) const {
  if (now - minion_list_read_at_ > kMaxMinionListAge) {
    return false;
  }
  return options_.max_evacuation_age == duration(0) ||
         (evacuations_.ConfirmedAt() != instant() &&
          now - evacuations_.ConfirmedAt() <= options_.max_evacuation_age);
}

void work_core::impl::SetCordoned(const std::string& minion, bool is_cordoned) {
  minion_entry* entry = FindMinion(minion);
  if (entry != nullptr && entry->is_cordoned != is_cordoned) {
    entry->is_cordoned = is_cordoned;
    MarkDirty(*entry);
    should_place_ = true;
  }
}

bool work_core::impl::TryDrain(instant now,
                               const std::string& minion,
                               bool is_forced) {
  minion_entry* entry = FindMinion(minion);
  if (entry == nullptr || entry->members.empty()) {
    return true;
  }
  const auto should_stop = [&](const run_key&, const member_ref& ref) {
    return is_forced || ref.Step().is_persistent;
  };
  for (const run_key& run : RunsWhere(*entry, should_stop)) {
    const member_ref ref = FindMember(run, minion);
    if (ref.member != nullptr && ref.unit->phase != unit_phase::kClosing &&
        CanStop(now, *ref.job, *ref.unit)) {
      CloseRun(now, *ref.job, *ref.unit, close_cause::kUpkeep);
    }
  }
  return entry->members.empty();
}

}  // namespace sassafras::sched

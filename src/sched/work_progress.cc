#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/stall_rule.h"
#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Minimum duration of a speed sample. Polls report progress in whole percent,
// which is too coarse over a shorter time.
constexpr duration kSpeedSampleInterval = std::chrono::milliseconds(700);
constexpr int kWholePercent = 100;
// Time without progress after which the other members of a stalled gang count
// as stalled too. They would be detected shortly afterwards.
constexpr duration kGangStallTime = std::chrono::milliseconds(900);
// Interval between progress checks: a fraction of the shortest stall time.
constexpr duration kProgressCheckInterval = std::chrono::milliseconds(40);
// First avoidance period of a minion with stalled or slow runs: such a problem
// is detected late and lasts for seconds.
constexpr duration kSlowMinionPause = std::chrono::seconds(6);

// Formats each member's progress, the time since its last change and its minion
// for the log.
std::string DescribeProgress(instant now, const work_unit& unit) {
  std::string text;
  for (const unit_member& member : unit.members) {
    text += std::to_string(member.percent) + "% for " +
            std::to_string((now - member.progressed_at).count() / 1000) +
            " ms on " + member.incarnation.id + "; ";
  }
  return text;
}

}  // namespace

// Adds a sample of a run's progress, relative to its estimate, to the speed of
// its minion.
void work_core::impl::UpdateSpeed(instant now,
                                  minion_entry& minion,
                                  const member_ref& ref) {
  unit_member& member = *ref.member;
  const step_spec& step = ref.job->accepted.spec.steps.at(ref.unit->step);
  const bool is_measured = member.phase == member_phase::kRunning &&
                           !step.is_persistent && !step.is_filler &&
                           member.percent < kWholePercent;
  if (!is_measured || member.speed_sample_at == instant() ||
      member.percent == 0) {
    member.speed_sample_at = now;
    member.speed_sample_percent = member.percent;
    return;
  }
  const duration elapsed = now - member.speed_sample_at;
  if (elapsed < kSpeedSampleInterval) {
    return;
  }
  const double done = (member.percent - member.speed_sample_percent) /
                      static_cast<double>(kWholePercent);
  const double speed = done * static_cast<double>(step.estimate.count()) /
                       static_cast<double>(elapsed.count());
  minion.trust.AddSpeedSample(speed);
  member.speed_sample_at = now;
  member.speed_sample_percent = member.percent;
}

// Returns how far the median of the other members is ahead of `member`.
int work_core::impl::LeadOfPeers(const work_unit& unit,
                                 const unit_member& member) {
  std::vector<int> percents;
  for (const unit_member& other : unit.members) {
    if (&other != &member) {
      percents.push_back(other.percent);
    }
  }
  if (percents.empty()) {
    return 0;
  }
  const auto middle =
      percents.begin() + static_cast<std::ptrdiff_t>(percents.size() / 2);
  std::nth_element(percents.begin(), middle, percents.end());
  return std::max(0, *middle - member.percent);
}

// Returns whether the member's run makes no progress. A slow run is not moved:
// moving discards its work, which cost more than it gained.
bool work_core::impl::IsMemberStalled(const unit_ref& ref,
                                      const unit_member& member,
                                      bool has_alert) const {
  const step_spec& step = ref.Step();
  if (member.phase != member_phase::kRunning || step.is_persistent ||
      step.is_filler) {
    return false;
  }
  // A gang makes progress only after all its members have started.
  instant began = member.confirmed_at;
  for (const unit_member& other : ref.unit->members) {
    if (other.phase != member_phase::kRunning) {
      return false;
    }
    began = std::max(began, other.confirmed_at);
  }
  const instant stands_since = std::max(member.progressed_at, began);
  member_progress progress;
  progress.percent = member.percent;
  progress.progressing_for = stands_since - began;
  progress.standing_for = member.load_at - stands_since;
  progress.estimate = step.estimate;
  if (options_.policy.detect_stalls_early) {
    progress.behind_peers = LeadOfPeers(*ref.unit, member);
    progress.has_alert = has_alert;
  }
  return IsStalled(progress);
}

// Avoids slow minions and moves stalled runs, among the minions polled since
// the last check. All stalled runs are collected before the first is moved,
// because moving one ends its whole gang, which may be stalled on several
// minions.
void work_core::impl::CheckProgress(instant now) {
  if (now < next_progress_check_) {
    return;
  }
  next_progress_check_ = now + kProgressCheckInterval;
  const bool has_alert = stall_alert_.IsRaised(now);
  std::vector<std::pair<std::string, run_key>> stalled_runs;
  for (const std::string& id : std::exchange(polled_minions_, {})) {
    const auto found = minions_.find(id);
    if (found == minions_.end() || !found->second.is_responsive) {
      continue;
    }
    minion_entry& minion = found->second;
    if (minion.trust.IsSlow() && options_.policy.avoid_slow_minions) {
      AvoidMinion(now, minion,
                  "its runs progress much more slowly than estimated",
                  kSlowMinionPause);
      minion.trust.ResetSpeed();
    }
    for (const auto& [run, ref] : minion.members) {
      if (options_.policy.move_stalled_runs &&
          ref.unit->phase == unit_phase::kActive &&
          IsMemberStalled({ref.job, ref.unit}, *ref.member, has_alert)) {
        stalled_runs.emplace_back(id, run);
      }
    }
  }
  for (const auto& [id, run] : stalled_runs) {
    const member_ref ref = FindMember(run, id);
    if (ref.member != nullptr) {
      MoveStalledRun(now, id, ref);
    }
  }
}

void work_core::impl::MoveStalledRun(instant now,
                                     const std::string& minion,
                                     const member_ref& ref) {
  AvoidMinion(now, minions_.at(minion), "a run on it makes no progress",
              kSlowMinionPause);
  stall_alert_.OnStall(now, minion);
  ref.unit->failed_on.insert(minion);
  if (ref.unit->phase != unit_phase::kActive) {
    return;  // Already moved for another member.
  }
  counters_.Add("sched_runs_moved");
  LogEvent("run_stands_still", ref.job->accepted.id,
           FormatRun(KeyOf(*ref.job, *ref.unit, *ref.member)), minion,
           DescribeProgress(now, *ref.unit));
  for (const unit_member& other : ref.unit->members) {
    if (other.percent < kWholePercent &&
        now - other.progressed_at > kGangStallTime) {
      AvoidMinion(now, MinionOf(other.incarnation.id),
                  "a member of a stalled gang on it makes no progress",
                  kSlowMinionPause);
      ref.unit->failed_on.insert(other.incarnation.id);
    }
  }
  CloseRun(now, *ref.job, *ref.unit, close_cause::kStalled);
}

}  // namespace sassafras::sched

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Progress comes in whole percents with each look: over less time the figure
// says little.
constexpr duration kSpeedSampleInterval = std::chrono::milliseconds(700);
// Weight of one measurement in a minion's speed.
constexpr double kSpeedSampleWeight = 0.4;
// Estimates are off by half and sound minions differ by a fifth: below it, the
// minion is slow.
constexpr double kSlowMinionSpeed = 0.33;
// A run without any progress for so long, and for this share of its estimate,
// stands still.
constexpr duration kMinStallTime = std::chrono::milliseconds(1200);
constexpr double kStallShare = 0.2;
constexpr int kWholePercent = 100;
// Share of the stall time after which other members of a gang that stands
// still are taken to stand still too: they are about to be noticed.
constexpr double kGangStallShare = 0.75;
// Between checks of all runs: a fraction of the shortest time after which a
// run is taken to stand still.
constexpr duration kProgressCheckInterval = std::chrono::milliseconds(40);
// First pause of a minion on which runs stand still or crawl: its trouble is
// seen late and lasts for seconds.
constexpr duration kSlowMinionPause = std::chrono::seconds(6);

// Percent of each member, since when, and on which minion, for the log.
std::string DescribeProgress(instant now, const work_unit& unit) {
  std::string text;
  for (const unit_member& member : unit.members) {
    text += std::to_string(member.percent) + "% for " +
            std::to_string((now - member.progressed_at).count() / 1000) +
            " ms on " + member.life.id + "; ";
  }
  return text;
}

}  // namespace

// Compares the progress since the last measurement with the estimate.
void work_core::impl::UpdateSpeed(instant now,
                                  minion_entry& minion,
                                  const member_ref& ref) {
  unit_member& member = *ref.member;
  const step_spec& step = ref.job->job.spec.steps.at(ref.unit->step);
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
  minion.speed = minion.speed * (1 - kSpeedSampleWeight) +
                 std::min(speed, 2.0) * kSpeedSampleWeight;
  member.speed_sample_at = now;
  member.speed_sample_percent = member.percent;
}

// Whether the member's run makes no progress. A run that crawls is left: moving
// it throws its work away, and cost more than it gained.
bool work_core::impl::IsStalled(const member_ref& ref) {
  const unit_member& member = *ref.member;
  const step_spec& step = ref.job->job.spec.steps.at(ref.unit->step);
  if (member.phase != member_phase::kRunning || step.is_persistent ||
      step.is_filler || member.percent >= kWholePercent) {
    return false;
  }
  // A gang works from when all its members are there.
  instant since = member.progressed_at;
  for (const unit_member& other : ref.unit->members) {
    if (other.phase != member_phase::kRunning) {
      return false;
    }
    since = std::max(since, other.confirmed_at);
  }
  const duration stalled_for = member.load_at - since;
  const auto share =
      std::chrono::duration_cast<duration>(step.estimate * kStallShare);
  return stalled_for > std::max(kMinStallTime, share);
}

// Keeps new tasks off slow minions, and moves runs off those on which they
// stand still, of the minions that were looked at since the last check. All are
// found before the first is moved: that ends its whole gang, which may stand
// still on several minions.
void work_core::impl::CheckProgress(instant now) {
  if (now < next_progress_check_) {
    return;
  }
  next_progress_check_ = now + kProgressCheckInterval;
  std::vector<std::pair<std::string, run_key>> stalled_runs;
  for (const std::string& id : std::exchange(polled_minions_, {})) {
    const auto found = minions_.find(id);
    if (found == minions_.end() || !found->second.is_responsive) {
      continue;
    }
    minion_entry& minion = found->second;
    if (minion.speed < kSlowMinionSpeed) {
      AvoidMinion(now, minion, "its runs crawl", kSlowMinionPause);
      minion.speed = 1;
    }
    for (const auto& [run, ref] : minion.members) {
      if (ref.unit->phase == unit_phase::kActive && IsStalled(ref)) {
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
  AvoidMinion(now, minions_.at(minion), "a run stands still", kSlowMinionPause);
  ref.unit->failed_on.insert(minion);
  if (ref.unit->phase != unit_phase::kActive) {
    return;  // Moved already, for another member.
  }
  counters_.Add("sched_runs_moved");
  LogEvent("run_stands_still", ref.job->job.id,
           FormatRun(KeyOf(*ref.job, *ref.unit, *ref.member)), minion,
           DescribeProgress(now, *ref.unit));
  for (const unit_member& other : ref.unit->members) {
    if (other.percent < kWholePercent &&
        now - other.progressed_at > kMinStallTime * kGangStallShare) {
      AvoidMinion(now, MinionOf(other.life.id), "a gang stands still there",
                  kSlowMinionPause);
      ref.unit->failed_on.insert(other.life.id);
    }
  }
  CloseUnit(now, *ref.job, *ref.unit, close_cause::kStalled);
}

}  // namespace sassafras::sched

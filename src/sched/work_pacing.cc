#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Delay after a change of pace before the reported tail latency is used again.
// The report covers half a second, and applying the pace takes a tenth.
constexpr duration kPaceInterval = std::chrono::milliseconds(700);
// Fillers are slowed down if the tail latency exceeds the first share of its
// target, which is before the target is missed. They are sped up below the
// second share.
constexpr double kSlowDownShare = 0.85;
constexpr double kSpeedUpShare = 0.6;
// The pace is halved on the way down and set to 0 below the minimum. It is
// raised in small steps.
constexpr int kMinPercent = 12;
constexpr int kPercentIncrease = 15;
constexpr int kWholePercent = 100;
constexpr int kMicrosecondsPerMillisecond = 1000;

}  // namespace

// Slows fillers down at once if a serving task approaches its target for tail
// latency, and restores their speed gradually; at once if no task serves.
void work_core::impl::PaceFillers(instant now, minion_entry& minion) {
  double worst_tail_ratio = 0;
  bool has_sample = false;
  for (const auto& [run, ref] : minion.members) {
    if (ref.member->load_at < minion.paced_at + kPaceInterval) {
      continue;
    }
    const duration target = ref.Step().tail_latency_target;
    if (target > duration(0)) {
      has_sample = true;
      const double tail_us =
          static_cast<double>(ref.member->load) * kMicrosecondsPerMillisecond;
      worst_tail_ratio = std::max(
          worst_tail_ratio, tail_us / static_cast<double>(target.count()));
    }
  }
  int percent = minion.filler_percent;
  if (minion.counts.serving == 0) {
    percent = kWholePercent;
  } else if (has_sample && worst_tail_ratio > kSlowDownShare) {
    percent = percent / 2 < kMinPercent ? 0 : percent / 2;
  } else if (has_sample && worst_tail_ratio < kSpeedUpShare) {
    percent = std::min(kWholePercent, percent + kPercentIncrease);
  }
  if (percent != minion.filler_percent) {
    minion.filler_percent = percent;
    minion.paced_at = now;
    counters_.Add("sched_pace_changes");
    LogEvent("fillers_paced", "", "", minion.report.id,
             std::to_string(percent) + "% at " +
                 std::to_string(worst_tail_ratio) +
                 " of the tail latency target");
  }
  for (auto& [run, ref] : minion.members) {
    if (ref.member->is_pace_in_flight ||
        ref.member->phase != member_phase::kRunning ||
        ref.member->pace_percent == minion.filler_percent ||
        !ref.Step().is_filler) {
      continue;
    }
    ref.member->is_pace_in_flight = true;
    actions_.paces.push_back(
        {ref.member->incarnation, run, minion.filler_percent, fence_});
  }
}

void work_core::impl::HandlePaceAnswer(const pace_order& order,
                                       order_outcome outcome) {
  counters_.Add("sched_pace_" + std::string(GetName(outcome)));
  const member_ref ref = FindMember(order.run, order.minion.id);
  if (ref.member == nullptr) {
    return;
  }
  ref.member->is_pace_in_flight = false;
  MarkDirty(MinionOf(order.minion.id));
  if (outcome == order_outcome::kDone) {
    ref.member->pace_percent = order.speed_percent;
  }
}

}  // namespace sassafras::sched

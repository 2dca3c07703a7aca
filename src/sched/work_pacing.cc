#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// A pace shows in the minion's figure after it: the figure covers half a
// second, and the pace itself takes a tenth.
constexpr duration kPaceInterval = std::chrono::milliseconds(700);
// Fillers are slowed above this share of the target, before it is missed, and
// given more below the other.
constexpr double kSlowDownShare = 0.85;
constexpr double kSpeedUpShare = 0.6;
// Steps of the pace: down by half and to nothing, up by little.
constexpr int kMinPercent = 12;
constexpr int kPercentIncrease = 15;
constexpr int kWholePercent = 100;
constexpr int kMicrosecondsPerMillisecond = 1000;

}  // namespace

// Slows fillers down at once where a task that serves comes near its target,
// and gives them their speed back little by little.
void work_core::impl::PaceFillers(instant now, minion_entry& minion) {
  double worst_tail_ratio = 0;
  bool has_sample = false;
  for (const auto& [run, ref] : minion.members) {
    if (ref.member->load_at < minion.paced_at + kPaceInterval) {
      continue;
    }
    const duration target = ref.Step().tail_target;
    if (target > duration(0)) {
      has_sample = true;
      const double tail_us =
          static_cast<double>(ref.member->load) * kMicrosecondsPerMillisecond;
      worst_tail_ratio = std::max(
          worst_tail_ratio, tail_us / static_cast<double>(target.count()));
    }
  }
  int percent = minion.filler_percent;
  if (has_sample && worst_tail_ratio > kSlowDownShare) {
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
                 std::to_string(worst_tail_ratio) + " of the target");
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
        {ref.member->life, run, minion.filler_percent, fence_});
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
    ref.member->pace_percent = order.percent;
  }
}

}  // namespace sassafras::sched

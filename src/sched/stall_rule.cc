#include "src/sched/stall_rule.h"

#include <algorithm>
#include <chrono>

namespace sassafras::sched {
namespace {

// Least time without progress, alone and with a second sign.
constexpr duration kMinStallTime = std::chrono::milliseconds(1200);
constexpr duration kMinStallTimeWithSign = std::chrono::milliseconds(500);
// Polls show whole percents. A member that stands for the time of so many has
// slowed down at least that much.
constexpr int kStallPercents = 12;
// Progress from which the speed of a member is known.
constexpr int kMinPercent = 5;
constexpr int kWholePercent = 100;
// Share of its estimate for which a member that has hardly begun may stand.
// Estimates are off by up to a multiple.
constexpr double kStallShare = 0.2;
constexpr double kStallShareWithSign = 0.08;
// Lead of its peers that is no ordinary difference between members.
constexpr int kPeerLead = 15;

}  // namespace

bool IsStalled(const member_progress& member) {
  if (member.percent >= kWholePercent) {
    return false;
  }
  const bool has_sign = member.has_alert || member.behind_peers >= kPeerLead;
  const duration least = has_sign ? kMinStallTimeWithSign : kMinStallTime;
  const duration usual =
      member.percent >= kMinPercent
          ? member.progressing_for / member.percent * kStallPercents
          : std::chrono::duration_cast<duration>(
                member.estimate *
                (has_sign ? kStallShareWithSign : kStallShare));
  return member.standing_for > std::max(least, usual);
}

}  // namespace sassafras::sched

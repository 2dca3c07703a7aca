#include "src/sched/minion_trust.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace sassafras::sched {
namespace {

// Weight of a new sample in the moving average of a minion's speed.
constexpr double kSpeedSampleWeight = 0.4;
constexpr double kMaxSpeedSample = 2;
// Speed below which a minion counts as slow. Estimates are off by up to half,
// and the speeds of healthy minions differ by a fifth.
constexpr double kSlowSpeed = 0.33;
constexpr std::size_t kFailedJobsThreshold = 2;
constexpr int kMaxPenalties = 3;
// Two regular polls of a minion while an alert is raised.
constexpr duration kProofAge = std::chrono::milliseconds(1200);
// A minion that fails whatever it starts does so for seconds.
constexpr duration kSuccessAge = std::chrono::seconds(5);
// A minion that hangs does so for seconds.
constexpr duration kAlertTime = std::chrono::seconds(6);
constexpr std::size_t kAlertMinions = 2;

}  // namespace

bool minion_trust::OnEnd(instant now, const std::string& job, run_end outcome) {
  if (outcome == run_end::kDone) {
    failed_jobs_.clear();
    penalties_ = 0;
    succeeded_at_ = now;
    OnProgress(now);
  } else if (outcome == run_end::kFailed) {
    succeeded_at_ = instant();
    failed_jobs_.insert(job);
    return failed_jobs_.size() >= kFailedJobsThreshold;
  }
  return false;
}

void minion_trust::AddSpeedSample(double speed) {
  speed_ = speed_ * (1 - kSpeedSampleWeight) +
           std::min(speed, kMaxSpeedSample) * kSpeedSampleWeight;
}

bool minion_trust::IsSlow() const {
  return speed_ < kSlowSpeed;
}

bool minion_trust::Avoid(instant now, duration base_pause) {
  if (IsAvoided(now)) {
    return false;
  }
  avoided_until_ = now + base_pause * (1 << penalties_);
  penalties_ = std::min(penalties_ + 1, kMaxPenalties);
  return true;
}

bool minion_trust::HasSucceeded(instant now) const {
  return succeeded_at_ != instant() && now - succeeded_at_ <= kSuccessAge;
}

bool minion_trust::IsProven(instant now) const {
  return progressed_at_ != instant() && now - progressed_at_ <= kProofAge;
}

void stall_alert::OnStall(instant now, const std::string& minion) {
  std::erase_if(stalled_at_, [now](const auto& item) {
    return now - item.second > kAlertTime;
  });
  stalled_at_[minion] = now;
}

bool stall_alert::IsRaised(instant now) const {
  const auto recent = std::count_if(
      stalled_at_.begin(), stalled_at_.end(),
      [now](const auto& item) { return now - item.second <= kAlertTime; });
  return static_cast<std::size_t>(recent) >= kAlertMinions;
}

}  // namespace sassafras::sched

#include "sassafras/sched/admission.h"

#include <algorithm>
#include <vector>

#include "sassafras/sched/job_objective.h"

namespace sassafras::sched {
namespace {

constexpr duration kMinRetryDelay = std::chrono::seconds(1);
constexpr duration kMaxRetryDelay = std::chrono::seconds(30);
constexpr double kRetrySpread = 0.5;

}  // namespace

std::optional<duration> TolerableWait(const accepted_job& job) {
  const std::vector<duration> chains = LongestChains(job.spec.steps);
  if (chains.empty()) {
    return std::nullopt;
  }
  const duration longest = *std::max_element(chains.begin(), chains.end());
  const duration objective = ObjectiveOf(job, longest);
  if (objective <= duration(0)) {
    return std::nullopt;
  }
  const auto latest_end =
      std::chrono::duration_cast<duration>(objective * kPatience);
  return std::max(latest_end - longest, kMinTolerableWait);
}

std::optional<duration> FindExcessWait(duration expected,
                                       duration tolerable,
                                       int earlier_refusals) {
  const duration limit =
      earlier_refusals >= kRefusalsBeforeTolerance ? tolerable * 2 : tolerable;
  if (expected <= limit) {
    return std::nullopt;
  }
  return expected - tolerable;
}

duration RetryDelayFor(duration excess, double random) {
  const auto delay = std::chrono::duration_cast<duration>(
      excess * (1 + kRetrySpread * random));
  return std::clamp(delay, kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace sassafras::sched

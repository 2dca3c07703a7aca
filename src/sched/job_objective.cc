#include "sassafras/sched/job_objective.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace sassafras::sched {
namespace {

// Keeps the product with the queue's factor within the range of a duration.
constexpr duration kMaxObjective = std::chrono::hours(24 * 365);

}  // namespace

std::vector<duration> LongestChains(const std::vector<step_spec>& steps) {
  std::vector<duration> chains(steps.size(), duration(0));
  // A step depends on earlier ones only.
  for (std::size_t step = steps.size(); step-- > 0;) {
    chains[step] += steps[step].estimate;
    for (const int earlier : steps[step].after) {
      if (earlier >= 0 && static_cast<std::size_t>(earlier) < step) {
        duration& chain = chains[static_cast<std::size_t>(earlier)];
        chain = std::max(chain, chains[step]);
      }
    }
  }
  return chains;
}

duration ObjectiveOf(const accepted_job& job, duration longest) {
  const bool has_objective =
      (job.stretch > 1 || job.target > duration(0)) &&
      job.spec.occurrences == 0 &&
      std::none_of(job.spec.steps.begin(), job.spec.steps.end(),
                   [](const step_spec& step) { return step.is_persistent; });
  if (!has_objective) {
    return duration(0);
  }
  const std::chrono::duration<double, std::micro> stretched =
      longest * job.stretch;
  const std::chrono::duration<double, std::micro> limit = kMaxObjective;
  return std::chrono::duration_cast<duration>(std::min(stretched, limit)) +
         job.target;
}

}  // namespace sassafras::sched

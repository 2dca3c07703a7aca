#ifndef SASSAFRAS_BENCH_POLICY_RUN_H_
#define SASSAFRAS_BENCH_POLICY_RUN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/policy_load.h"
#include "bench/policy_site.h"
#include "sassafras/job/planner.h"

namespace sassafras {

/// What became of one job.
struct job_trace {
  instant first_start;
  instant end;
  bool entitled = false;  ///< Its team's guarantee was unused on arrival.
  int evictions = 0;
};

/// What one policy did with one load.
struct policy_trace {
  std::vector<job_trace> jobs;  ///< By index of the load.

  /// Time means over the time in which jobs arrive.
  double use = 0;                            ///< Accelerators held, 0 to 1.
  std::map<shape_id, double> fragmentation;  ///< By shape, 0 to 1.
  std::map<shape_id, double> least_fragmentation;  ///< Were the free compact.

  double lost_seconds = 0;  ///< Accelerator time lost by evictions.
  std::uint64_t evictions = 0;
  double decide_p50_us = 0;  ///< Processor time of Decide().
  double decide_p99_us = 0;
  double start_mean_us = 0;  ///< Time in Decide() for each gang started.
  std::uint64_t broken_decisions = 0;  ///< With a broken guarantee.
};

/// Runs `load` on fake workers under a planner of `policy`, in virtual time,
/// until all jobs have ended. Repeatable but for the decision times.
policy_trace RunPolicy(const policy_site& site,
                       const std::vector<offered_job>& load,
                       const planner_options& options,
                       std::uint64_t seed);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_POLICY_RUN_H_

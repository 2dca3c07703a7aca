#ifndef SASSAFRAS_BENCH_POLICY_LOAD_H_
#define SASSAFRAS_BENCH_POLICY_LOAD_H_

#include <cstdint>
#include <vector>

#include "bench/policy_site.h"
#include "sassafras/job/planner.h"

namespace sassafras {

/// One job of a load, with what the planner does not know.
struct offered_job {
  planned_job job;
  duration work{0};  ///< Its true running time.
  int accelerators = 0;
};

/// Makes the jobs of a site, by time of submission. Arrivals are bursts of
/// random size at exponential intervals; running times are log-normal; the
/// declared time errs by a log-normal factor, mostly upwards.
std::vector<offered_job> MakeLoad(const policy_site& site, std::uint64_t seed);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_POLICY_LOAD_H_

#ifndef SASSAFRAS_BENCH_POLICY_BENCH_H_
#define SASSAFRAS_BENCH_POLICY_BENCH_H_

#include "bench/bench_options.h"

namespace sassafras {

/// Measures the placement of jobs: the product's policy against first fit in
/// order of arrival and best fit with backfill, on the same loads. Returns the
/// exit status: 0, or 1 if the site cannot be made.
int RunPolicyBench(const bench_options& options);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_POLICY_BENCH_H_

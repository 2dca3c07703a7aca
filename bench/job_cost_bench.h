#ifndef SASSAFRAS_BENCH_JOB_COST_BENCH_H_
#define SASSAFRAS_BENCH_JOB_COST_BENCH_H_

#include "bench/bench_options.h"

namespace sassafras {

/// Measures what one job costs its owner (work_core), by the number of its
/// tasks and by how many of them are done and in progress: memory, bytes of its
/// record, processor time to load it and to decide beside it. Returns the exit
/// code.
int RunJobCostBench(const bench_options& options);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_JOB_COST_BENCH_H_

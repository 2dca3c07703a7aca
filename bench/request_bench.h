#ifndef SASSAFRAS_BENCH_REQUEST_BENCH_H_
#define SASSAFRAS_BENCH_REQUEST_BENCH_H_

#include "bench/bench_options.h"

namespace sassafras {

/// Measures the request path and its baselines in virtual time: completion of
/// urgent requests and goodput of batch ones under overload and faults.
/// Returns the exit code: 0, or 1 if a target was missed.
int RunRequestBench(const bench_options& options);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_REQUEST_BENCH_H_

#ifndef SASSAFRAS_BENCH_OWNER_BENCH_H_
#define SASSAFRAS_BENCH_OWNER_BENCH_H_

#include "bench/bench_options.h"

namespace sassafras {

/// Measures the decisions of the owner on the users' platform (work_core) in
/// virtual time, by number of minions: processor time, looks, starts and bytes
/// of records a second, with about two thirds of the accelerators in use.
/// Returns the exit code.
int RunOwnerBench(const bench_options& options);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_OWNER_BENCH_H_

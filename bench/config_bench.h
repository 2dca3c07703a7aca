#ifndef SASSAFRAS_BENCH_CONFIG_BENCH_H_
#define SASSAFRAS_BENCH_CONFIG_BENCH_H_

#include "bench/bench_options.h"

namespace sassafras {

/// Measures in virtual time, over the real decision classes, how soon a
/// configuration is in force everywhere, how soon a death is noticed, false
/// removals, takeover of a lease, and bytes per daemon. Returns the exit code.
int RunConfigBench(const bench_options& options);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_CONFIG_BENCH_H_

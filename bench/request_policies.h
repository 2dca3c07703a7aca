#ifndef SASSAFRAS_BENCH_REQUEST_POLICIES_H_
#define SASSAFRAS_BENCH_REQUEST_POLICIES_H_

#include "bench/request_sim.h"

namespace sassafras {

/// A gateway that decides by request_core.
sim_gateway MakeCoreGateway(request_sim& sim, int index);

/// Baseline: one first-in first-out queue, round robin over the minions, and a
/// fixed part of each minion's slots (at least one).
sim_gateway MakeRoundRobinGateway(request_sim& sim, int index);

/// Baseline: every request goes at once to a minion chosen at random.
sim_gateway MakeRandomGateway(request_sim& sim, int index);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_REQUEST_POLICIES_H_

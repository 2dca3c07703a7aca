#ifndef SASSAFRAS_WORLD_PACKING_H_
#define SASSAFRAS_WORLD_PACKING_H_

#include <optional>
#include <vector>

#include "sassafras/world/resources.h"
#include "sassafras/world/shape.h"

namespace sassafras {

/// Free resources of one worker, and where it is.
struct worker_free_capacity {
  int rack = 0;   ///< Dense index of its rack.
  int place = 0;  ///< Dense index of its place.
  resources free;
};

/// A demand for `count` instances of one shape: each takes `per_worker` on
/// `workers` distinct workers within one `level`.
struct shape_demand {
  shape_level level = shape_level::kWorker;
  int workers = 1;
  resources per_worker;
  int count = 1;
};

/// Workers chosen for one shape instance.
struct shape_placement {
  int demand = 0;            ///< Index in the vector of demands.
  std::vector<int> workers;  ///< Indices in the vector of capacities.
};

/// Packs all instances of `demands` into `capacities` with a
/// best-fit-decreasing heuristic: largest shapes first, each in the group with
/// the fewest free accelerators. Returns one placement per instance, or empty
/// if the heuristic finds no packing. A returned packing is always valid. If
/// the sizes of the shapes divide one another, an empty result proves that no
/// packing exists.
std::optional<std::vector<shape_placement>> PackShapes(
    std::vector<worker_free_capacity> capacities,
    const std::vector<shape_demand>& demands);

/// Returns the maximum number of instances of `demand` that fit into
/// `capacities` at the same time. Exact. Ignores `demand.count`.
int CountInstances(const std::vector<worker_free_capacity>& capacities,
                   const shape_demand& demand);

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_PACKING_H_

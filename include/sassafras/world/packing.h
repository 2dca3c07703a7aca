#ifndef SASSAFRAS_WORLD_PACKING_H_
#define SASSAFRAS_WORLD_PACKING_H_

#include <optional>
#include <vector>

#include "sassafras/world/resources.h"
#include "sassafras/world/shape.h"

namespace sassafras {

/// What is free on one worker. Racks and places are dense indices.
struct worker_free_capacity {
  int rack = 0;
  int place = 0;
  resources free;
};

/// `count` instances of one shape.
struct shape_demand {
  shape_level level = shape_level::kWorker;
  int workers = 1;
  resources per_worker;
  int count = 1;
};

/// Workers chosen for one shape instance, as indices of the worker vector.
struct shape_placement {
  int demand = 0;  ///< Index of the demand.
  std::vector<int> workers;
};

/// Places all `demands` at once on `capacities`, or returns empty if it finds
/// no way. A returned packing is always valid. Largest shapes go first, each on
/// the tightest group, so that an empty answer for divisible shapes is exact.
std::optional<std::vector<shape_placement>> PackShapes(
    std::vector<worker_free_capacity> capacities,
    const std::vector<shape_demand>& demands);

/// Returns the greatest number of instances of `demand` (its count is ignored)
/// that `capacities` can form at once. Exact.
int CountInstances(const std::vector<worker_free_capacity>& capacities,
                   const shape_demand& demand);

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_PACKING_H_

#ifndef SASSAFRAS_JOB_GROUP_SEARCH_H_
#define SASSAFRAS_JOB_GROUP_SEARCH_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "sassafras/world/shape.h"
#include "src/job/inventory.h"

namespace sassafras {

/// Returns the cost of using one worker, in accelerator seconds lost. Empty if
/// the worker cannot be used.
using worker_cost = std::function<std::optional<double>(int worker)>;

/// Tie-breaker between groups of equal cost.
enum class group_order : std::uint8_t {
  kFirst,     ///< The first one in inventory order.
  kTightest,  ///< Best fit: keeps larger groups of free workers intact.
};

/// Selected workers, cheapest first, and the sum of their costs.
struct worker_group {
  std::vector<int> workers;
  double cost = 0;
};

/// Chooses `count` usable workers with the lowest total cost within one group
/// of `level`; `order` breaks ties. Takes time linear in the number of workers,
/// plus sorting within groups. Empty if no group has enough usable workers.
std::optional<worker_group> FindGroup(const inventory& workers,
                                      shape_level level,
                                      int count,
                                      group_order order,
                                      const worker_cost& cost);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_GROUP_SEARCH_H_

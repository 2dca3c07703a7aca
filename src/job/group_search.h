#ifndef SASSAFRAS_JOB_GROUP_SEARCH_H_
#define SASSAFRAS_JOB_GROUP_SEARCH_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "sassafras/world/shape.h"
#include "src/job/inventory.h"

namespace sassafras {

/// Cost of using one worker, in accelerator seconds lost; empty if it cannot
/// be used.
using worker_cost = std::function<std::optional<double>(int worker)>;

/// How a search decides between groups of the same cost.
enum class group_order : std::uint8_t {
  kFirst,     ///< The first in order of the inventory.
  kTightest,  ///< The one that leaves the larger free groups whole.
};

/// Workers chosen together, cheapest first, and the sum of their costs.
struct worker_group {
  std::vector<int> workers;
  double cost = 0;
};

/// Chooses `count` usable workers within one group of `level`: those of the
/// least total cost, between equals by `order`. Linear in the number of
/// workers, but for the sorting within groups. Empty if there is none.
std::optional<worker_group> FindGroup(const inventory& workers,
                                      shape_level level,
                                      int count,
                                      group_order order,
                                      const worker_cost& cost);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_GROUP_SEARCH_H_

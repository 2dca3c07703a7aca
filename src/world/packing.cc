#include "sassafras/world/packing.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>

namespace sassafras {
namespace {

// Returns the index of the worker, rack or place in whose scope the shapes of
// `level` on `worker` must lie. `index` is the index of the worker itself.
int GroupIndex(const worker_free_capacity& worker,
               int index,
               shape_level level) {
  switch (level) {
    case shape_level::kWorker:
      return index;
    case shape_level::kRack:
      return worker.rack;
    case shape_level::kPlace:
      return worker.place;
  }
  return index;
}

// Orders demands by level, then workers, then accelerators per worker.
bool IsLarger(const shape_demand& a, const shape_demand& b) {
  if (a.level != b.level) {
    return a.level > b.level;
  }
  if (a.workers != b.workers) {
    return a.workers > b.workers;
  }
  return a.per_worker.accelerators > b.per_worker.accelerators;
}

// Chooses the workers of one instance. Takes the group whose eligible workers
// have the fewest free accelerators in total, and in it the workers with the
// fewest free accelerators. Empty if no group can hold the instance.
std::vector<int> ChooseWorkers(
    const std::vector<worker_free_capacity>& capacities,
    const shape_demand& demand) {
  std::map<int, std::vector<int>> candidates;
  for (int i = 0; i < static_cast<int>(capacities.size()); ++i) {
    const auto index = static_cast<std::size_t>(i);
    if (capacities[index].free.Holds(demand.per_worker)) {
      candidates[GroupIndex(capacities[index], i, demand.level)].push_back(i);
    }
  }
  std::vector<int> best;
  int best_slack = 0;
  for (auto& [group, workers] : candidates) {
    if (static_cast<int>(workers.size()) < demand.workers) {
      continue;
    }
    std::stable_sort(workers.begin(), workers.end(), [&](int a, int b) {
      return capacities[static_cast<std::size_t>(a)].free.accelerators <
             capacities[static_cast<std::size_t>(b)].free.accelerators;
    });
    int slack = 0;
    for (const int worker : workers) {
      slack += capacities[static_cast<std::size_t>(worker)].free.accelerators;
    }
    if (best.empty() || slack < best_slack) {
      best_slack = slack;
      best.assign(workers.begin(), workers.begin() + demand.workers);
    }
  }
  return best;
}

// Returns how many times `need` fits into `free`.
int CountFits(const resources& free, const resources& need) {
  std::int64_t fits = std::numeric_limits<int>::max();
  if (need.accelerators > 0) {
    fits = std::min<std::int64_t>(fits, free.accelerators / need.accelerators);
  }
  if (need.cores > 0) {
    fits = std::min<std::int64_t>(fits, free.cores / need.cores);
  }
  if (need.memory_mb > 0) {
    fits = std::min<std::int64_t>(fits, free.memory_mb / need.memory_mb);
  }
  return static_cast<int>(std::max<std::int64_t>(fits, 0));
}

// Returns the maximum number of gangs of `workers` distinct workers each, if
// worker i can be a member of at most `fits_per_worker[i]` gangs. This is the
// largest k for which the sum of min(fits_per_worker[i], k) over all i reaches
// k * workers; the binary search finds it.
int CountGangs(const std::vector<int>& fits_per_worker, int workers) {
  const auto can_form = [&](std::int64_t gangs) {
    std::int64_t members = 0;
    for (const int fits : fits_per_worker) {
      members += std::min<std::int64_t>(fits, gangs);
    }
    return members >= gangs * workers;
  };
  std::int64_t low = 0;
  std::int64_t high = 1;
  for (const int fits : fits_per_worker) {
    high = std::max<std::int64_t>(high, std::int64_t{fits} + 1);
  }
  high *= static_cast<std::int64_t>(fits_per_worker.size()) + 1;
  while (high - low > 1) {
    const std::int64_t middle = (low + high) / 2;
    (can_form(middle) ? low : high) = middle;
  }
  return static_cast<int>(low);
}

}  // namespace

int CountInstances(const std::vector<worker_free_capacity>& capacities,
                   const shape_demand& demand) {
  std::map<int, std::vector<int>> groups;
  for (int i = 0; i < static_cast<int>(capacities.size()); ++i) {
    const worker_free_capacity& worker =
        capacities[static_cast<std::size_t>(i)];
    const int fits = CountFits(worker.free, demand.per_worker);
    if (fits > 0) {
      groups[GroupIndex(worker, i, demand.level)].push_back(fits);
    }
  }
  int count = 0;
  for (const auto& [group, fits_per_worker] : groups) {
    count += CountGangs(fits_per_worker, demand.workers);
  }
  return count;
}

std::optional<std::vector<shape_placement>> PackShapes(
    std::vector<worker_free_capacity> capacities,
    const std::vector<shape_demand>& demands) {
  std::vector<int> order(demands.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](int a, int b) {
    return IsLarger(demands[static_cast<std::size_t>(a)],
                    demands[static_cast<std::size_t>(b)]);
  });
  std::vector<shape_placement> placements;
  for (const int index : order) {
    const shape_demand& demand = demands[static_cast<std::size_t>(index)];
    for (int i = 0; i < demand.count; ++i) {
      std::vector<int> workers = ChooseWorkers(capacities, demand);
      if (workers.empty()) {
        return std::nullopt;
      }
      for (const int worker : workers) {
        capacities[static_cast<std::size_t>(worker)].free -= demand.per_worker;
      }
      placements.push_back({index, std::move(workers)});
    }
  }
  return placements;
}

}  // namespace sassafras

#include "sassafras/world/packing.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>

namespace sassafras {
namespace {

int GroupOf(const worker_space& space, int index, shape_level level) {
  switch (level) {
    case shape_level::kWorker:
      return index;
    case shape_level::kRack:
      return space.rack;
    case shape_level::kPlace:
      return space.place;
  }
  return index;
}

bool IsLarger(const shape_demand& a, const shape_demand& b) {
  if (a.level != b.level) {
    return a.level > b.level;
  }
  if (a.workers != b.workers) {
    return a.workers > b.workers;
  }
  return a.per_worker.accelerators > b.per_worker.accelerators;
}

// Chooses the workers of one instance: the group with the fewest workers that
// still hold the shape, and in it the workers with the least free.
std::vector<int> ChooseWorkers(const std::vector<worker_space>& spaces,
                               const shape_demand& demand) {
  std::map<int, std::vector<int>> candidates;
  for (int i = 0; i < static_cast<int>(spaces.size()); ++i) {
    const auto index = static_cast<std::size_t>(i);
    if (spaces[index].free.Holds(demand.per_worker)) {
      candidates[GroupOf(spaces[index], i, demand.level)].push_back(i);
    }
  }
  std::vector<int> best;
  int best_slack = 0;
  for (auto& [group, workers] : candidates) {
    if (static_cast<int>(workers.size()) < demand.workers) {
      continue;
    }
    std::stable_sort(workers.begin(), workers.end(), [&](int a, int b) {
      return spaces[static_cast<std::size_t>(a)].free.accelerators <
             spaces[static_cast<std::size_t>(b)].free.accelerators;
    });
    int slack = 0;
    for (const int worker : workers) {
      slack += spaces[static_cast<std::size_t>(worker)].free.accelerators;
    }
    if (best.empty() || slack < best_slack) {
      best_slack = slack;
      best.assign(workers.begin(), workers.begin() + demand.workers);
    }
  }
  return best;
}

// How often `need` fits into `free`.
int Multiples(const resources& free, const resources& need) {
  std::int64_t times = std::numeric_limits<int>::max();
  if (need.accelerators > 0) {
    times =
        std::min<std::int64_t>(times, free.accelerators / need.accelerators);
  }
  if (need.cores > 0) {
    times = std::min<std::int64_t>(times, free.cores / need.cores);
  }
  if (need.memory_mb > 0) {
    times = std::min<std::int64_t>(times, free.memory_mb / need.memory_mb);
  }
  return static_cast<int>(std::max<std::int64_t>(times, 0));
}

// Most gangs of `workers` distinct members when member i can serve in
// `multiples[i]` of them: the greatest k for which the members, each in at
// most k gangs, add up to k gangs.
int CountGangs(const std::vector<int>& multiples, int workers) {
  const auto possible = [&](std::int64_t gangs) {
    std::int64_t seats = 0;
    for (const int times : multiples) {
      seats += std::min<std::int64_t>(times, gangs);
    }
    return seats >= gangs * workers;
  };
  std::int64_t low = 0;
  std::int64_t high = 1;
  for (const int times : multiples) {
    high = std::max<std::int64_t>(high, std::int64_t{times} + 1);
  }
  high *= static_cast<std::int64_t>(multiples.size()) + 1;
  while (high - low > 1) {
    const std::int64_t middle = (low + high) / 2;
    (possible(middle) ? low : high) = middle;
  }
  return static_cast<int>(low);
}

}  // namespace

int CountInstances(const std::vector<worker_space>& spaces,
                   const shape_demand& demand) {
  std::map<int, std::vector<int>> groups;
  for (int i = 0; i < static_cast<int>(spaces.size()); ++i) {
    const worker_space& space = spaces[static_cast<std::size_t>(i)];
    const int times = Multiples(space.free, demand.per_worker);
    if (times > 0) {
      groups[GroupOf(space, i, demand.level)].push_back(times);
    }
  }
  int count = 0;
  for (const auto& [group, multiples] : groups) {
    count += CountGangs(multiples, demand.workers);
  }
  return count;
}

std::optional<std::vector<shape_placement>> PackShapes(
    std::vector<worker_space> spaces,
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
      std::vector<int> workers = ChooseWorkers(spaces, demand);
      if (workers.empty()) {
        return std::nullopt;
      }
      for (const int worker : workers) {
        spaces[static_cast<std::size_t>(worker)].free -= demand.per_worker;
      }
      placements.push_back({index, std::move(workers)});
    }
  }
  return placements;
}

}  // namespace sassafras

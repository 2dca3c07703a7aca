#include "src/job/group_search.h"

#include <algorithm>
#include <tuple>

namespace sassafras {
namespace {

// Lowest cost of an eviction. Costs below it only rank free workers.
constexpr double kMinEvictionCost = 1;

// A usable worker.
struct candidate {
  int worker = 0;
  double cost = 0;
  int free = 0;             // Free accelerators before it is used.
  int rack_fully_free = 0;  // Fully free workers in its rack.
};

using candidates = std::vector<candidate>;

bool IsTighter(const candidate& a, const candidate& b) {
  return std::tie(a.cost, a.free, a.rack_fully_free, a.worker) <
         std::tie(b.cost, b.free, b.rack_fully_free, b.worker);
}

std::vector<int> FullyFreeByRack(const inventory& workers) {
  std::vector<int> fully_free(workers.Racks().size(), 0);
  for (std::size_t rack = 0; rack < fully_free.size(); ++rack) {
    for (const int worker : workers.Racks()[rack]) {
      fully_free[rack] += workers[worker].IsFullyFree() ? 1 : 0;
    }
  }
  return fully_free;
}

// Orders the workers of a place so that the first `count` use complete racks
// first and take the remainder from the smallest rack that has enough.
candidates OrderByRack(const inventory& workers, candidates all, int count) {
  std::vector<candidates> racks(workers.Racks().size());
  for (const candidate& item : all) {
    racks[static_cast<std::size_t>(workers[item.worker].rack)].push_back(item);
  }
  std::erase_if(racks, [](const candidates& rack) { return rack.empty(); });
  candidates ordered;
  while (static_cast<int>(ordered.size()) < count && !racks.empty()) {
    const std::size_t left = static_cast<std::size_t>(count) - ordered.size();
    auto best = racks.begin();
    for (auto it = racks.begin(); it != racks.end(); ++it) {
      const bool has_enough = it->size() >= left;
      const bool best_has_enough = best->size() >= left;
      const bool is_smaller = it->size() < best->size();
      const bool is_better = has_enough ? (!best_has_enough || is_smaller)
                                        : (!best_has_enough && !is_smaller);
      best = is_better && it->size() != best->size() ? it : best;
    }
    const std::size_t taken = std::min(left, best->size());
    ordered.insert(ordered.end(), best->begin(),
                   best->begin() + static_cast<std::ptrdiff_t>(taken));
    racks.erase(best);
  }
  return ordered;
}

class search {
 public:
  search(const inventory& workers,
         shape_level level,
         int count,
         group_order order,
         const worker_cost& cost)
      : workers_(workers),
        level_(level),
        count_(count),
        order_(order),
        cost_(cost),
        rack_fully_free_(FullyFreeByRack(workers)) {}

  std::optional<worker_group> Run() {
    if (level_ == shape_level::kWorker) {
      return FindSingle();
    }
    const bool rack_level = level_ == shape_level::kRack;
    const auto& groups = rack_level ? workers_.Racks() : workers_.Places();
    for (const std::vector<int>& group : groups) {
      TryGroup(group);
      if (best_ && order_ == group_order::kFirst) {
        break;
      }
    }
    return best_;
  }

 private:
  std::optional<candidate> Evaluate(int worker) const {
    const worker_state& state = workers_[worker];
    if (!state.is_usable) {
      return std::nullopt;
    }
    const std::optional<double> cost = cost_(worker);
    if (!cost) {
      return std::nullopt;
    }
    return candidate{worker, *cost, state.Free().accelerators,
                     rack_fully_free_[static_cast<std::size_t>(state.rack)]};
  }

  std::optional<worker_group> FindSingle() const {
    std::optional<candidate> best;
    for (int worker = 0; worker < workers_.size(); ++worker) {
      const std::optional<candidate> item = Evaluate(worker);
      if (!item) {
        continue;
      }
      if (order_ == group_order::kFirst) {
        return worker_group{{worker}, item->cost};
      }
      if (!best || IsTighter(*item, *best)) {
        best = item;
      }
    }
    if (!best) {
      return std::nullopt;
    }
    return worker_group{{best->worker}, best->cost};
  }

  void TryGroup(const std::vector<int>& group) {
    candidates found;
    for (const int worker : group) {
      if (const std::optional<candidate> item = Evaluate(worker)) {
        found.push_back(*item);
      }
    }
    if (static_cast<int>(found.size()) < count_) {
      return;
    }
    int fully_free = 0;
    for (const int worker : group) {
      fully_free += workers_[worker].IsFullyFree() ? 1 : 0;
    }
    Consider(std::move(found), fully_free);
  }

  // Replaces the best group if the cheapest workers of `found` cost less, or
  // cost the same and their group has fewer fully free workers.
  void Consider(candidates found, int fully_free) {
    if (order_ == group_order::kTightest) {
      std::sort(found.begin(), found.end(), IsTighter);
    }
    const auto end = static_cast<std::size_t>(count_);
    if (level_ == shape_level::kPlace && order_ == group_order::kTightest &&
        found[end - 1].cost < kMinEvictionCost) {
      std::erase_if(found, [](const candidate& item) {
        return item.cost >= kMinEvictionCost;
      });
      found = OrderByRack(workers_, std::move(found), count_);
    }
    worker_group group;
    for (std::size_t i = 0; i < end; ++i) {
      group.workers.push_back(found[i].worker);
      group.cost += found[i].cost;
    }
    if (!best_ || std::tie(group.cost, fully_free) <
                      std::tie(best_->cost, best_fully_free_)) {
      best_ = std::move(group);
      best_fully_free_ = fully_free;
    }
  }

  const inventory& workers_;
  shape_level level_;
  int count_;
  group_order order_;
  const worker_cost& cost_;
  std::vector<int> rack_fully_free_;
  std::optional<worker_group> best_;
  int best_fully_free_ = 0;
};

}  // namespace

std::optional<worker_group> FindGroup(const inventory& workers,
                                      shape_level level,
                                      int count,
                                      group_order order,
                                      const worker_cost& cost) {
  return search(workers, level, count, order, cost).Run();
}

}  // namespace sassafras

#include "src/job/guarantee_table.h"

#include <algorithm>
#include <tuple>

#include "sassafras/core/invariant.h"

namespace sassafras {
namespace {

constexpr resources kNoResources = {};
// Binds cells next to jobs that cannot be moved in preference to filling gaps.
constexpr double kImmovableWeight = 20;  // Accelerators.

bool IsLarger(const guarantee_cell& a, const guarantee_cell& b) {
  return std::make_tuple(a.promised.level, a.promised.workers,
                         a.promised.per_worker.accelerators) >
         std::make_tuple(b.promised.level, b.promised.workers,
                         b.promised.per_worker.accelerators);
}

}  // namespace

bool IsSameShape(const shape& a, const shape& b) {
  return a.level == b.level && a.workers == b.workers &&
         a.per_worker == b.per_worker;
}

bool CanHold(const shape& promised, const shape& wanted) {
  const bool adjacent = wanted.workers == 1 || promised.level <= wanted.level;
  return adjacent && promised.workers >= wanted.workers &&
         promised.per_worker.Holds(wanted.per_worker);
}

void guarantee_table::Load(const config_set& objects, bool enforced) {
  cells_.clear();
  int team_index = 0;
  for (const auto& [id, item] : objects.teams) {
    for (const guarantee& promise : item.guarantees) {
      const auto found = objects.shapes.find(promise.shape);
      if (!enforced || found == objects.shapes.end()) {
        continue;
      }
      cells_.insert(cells_.end(), static_cast<std::size_t>(promise.count),
                    {team_index, found->second, {}, {}, 0});
    }
    ++team_index;
  }
  std::stable_sort(cells_.begin(), cells_.end(), IsLarger);
  by_team_.assign(static_cast<std::size_t>(team_index), {});
  for (int cell = 0; cell < size(); ++cell) {
    by_team_[static_cast<std::size_t>((*this)[cell].team)].push_back(cell);
  }
  unbound_ = size();
}

void guarantee_table::Bind(int cell, const std::vector<int>& workers) {
  guarantee_cell& item = (*this)[cell];
  const resources& part = item.promised.per_worker;
  for (const int worker : workers) {
    worker_state& state = workers_[worker];
    CheckInvariant(state.is_usable && state.Unpromised().Holds(part),
                   "cells_fit_beside_firm_work");
    state.promised += part;
  }
  item.workers = workers;
  item.free_resources.assign(workers.size(), part);
  --unbound_;
}

void guarantee_table::Unbind(int cell) {
  guarantee_cell& item = (*this)[cell];
  for (const int worker : item.workers) {
    workers_[worker].promised -= item.promised.per_worker;
  }
  item.workers.clear();
  item.free_resources.clear();
  ++unbound_;
}

void guarantee_table::Enter(int cell,
                            const std::vector<int>& workers,
                            const resources& need) {
  guarantee_cell& item = (*this)[cell];
  ++item.jobs;
  for (const int worker : workers) {
    const auto at = std::find(item.workers.begin(), item.workers.end(), worker);
    CheckInvariant(at != item.workers.end(), "guaranteed_job_is_in_its_cell");
    resources& free_resources = item.free_resources[static_cast<std::size_t>(
        at - item.workers.begin())];
    free_resources -= need;
    CheckInvariant(free_resources.Holds(kNoResources),
                   "guaranteed_jobs_fit_their_cell");
  }
}

void guarantee_table::Leave(int cell,
                            const std::vector<int>& workers,
                            const resources& need) {
  guarantee_cell& item = (*this)[cell];
  --item.jobs;
  for (const int worker : workers) {
    const auto at = std::find(item.workers.begin(), item.workers.end(), worker);
    item.free_resources[static_cast<std::size_t>(at - item.workers.begin())] +=
        need;
  }
}

bool guarantee_table::BindAnywhere(int cell) {
  const shape& promised = (*this)[cell].promised;
  const auto cost = [&](int worker) -> std::optional<double> {
    const resources left = workers_[worker].Unpromised();
    if (!left.Holds(promised.per_worker)) {
      return std::nullopt;
    }
    return left.accelerators +
           kImmovableWeight *
               (1 - workers_.ImmovableShare(worker, promised.per_worker));
  };
  const auto group = FindGroup(workers_, promised.level, promised.workers,
                               group_order::kTightest, cost);
  if (!group) {
    return false;
  }
  Bind(cell, group->workers);
  return true;
}

int guarantee_table::BindAll() {
  for (int cell = 0; cell < size(); ++cell) {
    if (!(*this)[cell].IsBound()) {
      BindAnywhere(cell);
    }
  }
  return unbound_;
}

int guarantee_table::Exchange(int cell, int team) {
  guarantee_cell& other = (*this)[cell];
  for (const int own : OfTeam(team)) {
    guarantee_cell& item = (*this)[own];
    if (item.IsBound() && !item.IsUsed() &&
        IsSameShape(item.promised, other.promised)) {
      std::swap(item.workers, other.workers);
      return own;
    }
  }
  CheckInvariant(false, "exchanged_cells_are_alike");
  return cell;
}

int guarantee_table::Repair() {
  for (int cell = 0; cell < size(); ++cell) {
    guarantee_cell& item = (*this)[cell];
    const bool is_broken =
        std::any_of(item.workers.begin(), item.workers.end(),
                    [&](int worker) { return !workers_[worker].is_usable; });
    if (is_broken && !item.IsUsed()) {
      Unbind(cell);
    }
  }
  if (unbound_ == 0 || BindAll() == 0) {
    return unbound_;
  }
  for (int cell = 0; cell < size(); ++cell) {
    if ((*this)[cell].IsBound() && !(*this)[cell].IsUsed()) {
      Unbind(cell);
    }
  }
  return BindAll();
}

std::vector<int> guarantee_table::UnusedCellsOn(
    const std::vector<int>& workers) const {
  std::vector<int> found;
  for (int cell = 0; cell < size(); ++cell) {
    const guarantee_cell& item = (*this)[cell];
    const bool overlaps =
        std::any_of(item.workers.begin(), item.workers.end(), [&](int worker) {
          return std::find(workers.begin(), workers.end(), worker) !=
                 workers.end();
        });
    if (overlaps && !item.IsUsed()) {
      found.push_back(cell);
    }
  }
  return found;
}

bool guarantee_table::UnbindUnusedCells(const std::vector<int>& workers,
                                        const resources& need) {
  const auto has_capacity = [&](int worker) {
    return workers_[worker].Unpromised().Holds(need);
  };
  if (std::all_of(workers.begin(), workers.end(), has_capacity)) {
    return true;
  }
  for (const int cell : UnusedCellsOn(workers)) {
    Unbind(cell);
  }
  return std::all_of(workers.begin(), workers.end(), has_capacity);
}

bool guarantee_table::Displace(const std::vector<int>& workers,
                               const resources& need) {
  const std::vector<int> moved = UnusedCellsOn(workers);
  std::vector<std::vector<int>> former;
  for (const int cell : moved) {
    former.push_back((*this)[cell].workers);
    Unbind(cell);
  }
  bool fits = std::all_of(workers.begin(), workers.end(), [&](int worker) {
    return workers_[worker].Unpromised().Holds(need);
  });
  if (fits) {
    for (const int worker : workers) {
      workers_[worker].promised += need;
    }
    for (const int cell : moved) {
      fits = fits && BindAnywhere(cell);
    }
    if (fits) {
      return true;
    }
    for (const int worker : workers) {
      workers_[worker].promised -= need;
    }
  }
  for (const int cell : moved) {
    if ((*this)[cell].IsBound()) {
      Unbind(cell);
    }
  }
  for (std::size_t i = 0; i < moved.size(); ++i) {
    Bind(moved[i], former[i]);
  }
  return false;
}

}  // namespace sassafras

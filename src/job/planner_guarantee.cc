#include <algorithm>
#include <utility>

#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

// Cost in seconds per accelerator of a reserved worker, so that a guarantee
// evicts a borrowed job elsewhere rather than delay the gang with the
// reservation.
constexpr double kReservedWorkerCost = 2'000;

constexpr int kReservedCellRank = 1 << 20;

constexpr std::string_view kReclaims = "plan_guarantee_reclaimed";

}  // namespace

// Starts waiting jobs on the guarantees of their teams. A job that does not fit
// ends its own bucket only.
void planner::impl::PlaceGuaranteed(cell_match match) {
  for (const queue_rank& rank : RankedBuckets()) {
    if (cells_.OfTeam(rank.key.team).empty()) {
      continue;
    }
    for (const bucket* waiting = FindBucket(rank.key);
         waiting != nullptr && starts_left_ > 0;
         waiting = FindBucket(rank.key)) {
      if (!StartOnGuarantee(waiting->begin()->second, match)) {
        break;
      }
    }
  }
}

// Tries used cells first, then unused ones from small to large, so that little
// capacity stays unused. Used cells on reserved workers come last.
bool planner::impl::StartOnGuarantee(int job, cell_match match) {
  const shape& wanted = *jobs_[job].wanted;
  std::vector<std::pair<int, int>> order;
  for (const int cell : cells_.OfTeam(jobs_[job].team)) {
    const guarantee_cell& item = cells_[cell];
    const bool is_exact = IsSameShape(item.promised, wanted);
    if (!item.IsBound() || is_exact != (match == cell_match::kExact) ||
        !CanUse(item, jobs_[job])) {
      continue;
    }
    int rank = item.IsUsed() ? 0 : item.promised.TotalAccelerators();
    rank += item.IsUsed() && HasReservedWorker(item) ? kReservedCellRank : 0;
    order.emplace_back(rank, cell);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [size, cell] : order) {
    const std::optional<cell_choice> choice =
        cells_[cell].IsUsed() ? ChooseInUsedCell(job, cell)
                              : ChooseForUnusedCell(job, cell);
    if (choice) {
      ApplyChoice(job, *choice);
      return true;
    }
  }
  return false;
}

// Returns the loss of other jobs if the job runs on `worker`. Free workers that
// are not reserved and are near jobs that cannot be moved cost less.
std::optional<double> planner::impl::GuaranteeCost(int job, int worker) const {
  const resources& need = jobs_[job].wanted->per_worker;
  const std::optional<double> lost =
      Victims().Cost(worker, need, {true, job, 0});
  if (!lost) {
    return std::nullopt;
  }
  const bool is_reserved = reserved_on_[static_cast<std::size_t>(worker)] != 0;
  return *lost + 1 - workers_.ImmovableShare(worker, need) +
         (is_reserved ? kReservedWorkerCost * need.accelerators : 0);
}

// A used cell cannot move. Only an urgent job can therefore use a cell with
// more resources per worker than it needs.
bool planner::impl::CanUse(const guarantee_cell& cell,
                           const job_entry& entry) const {
  const bool has_equal_size =
      cell.promised.per_worker == entry.wanted->per_worker;
  return CanHold(cell.promised, *entry.wanted) &&
         (has_equal_size ||
          entry.class_object->urgency_level == urgency::kUrgent);
}

bool planner::impl::HasReservedWorker(const guarantee_cell& cell) const {
  return std::any_of(
      cell.workers.begin(), cell.workers.end(), [this](int worker) {
        return reserved_on_[static_cast<std::size_t>(worker)] != 0;
      });
}

// Chooses workers in a cell that keeps its workers.
std::optional<planner::impl::cell_choice> planner::impl::ChooseInUsedCell(
    int job,
    int cell) const {
  const guarantee_cell& item = cells_[cell];
  const shape& wanted = *jobs_[job].wanted;
  std::vector<std::pair<double, int>> order;
  for (std::size_t i = 0; i < item.workers.size(); ++i) {
    if (!item.free_resources[i].Holds(wanted.per_worker)) {
      continue;
    }
    const std::optional<double> cost = GuaranteeCost(job, item.workers[i]);
    if (cost) {
      order.emplace_back(*cost, item.workers[i]);
    }
  }
  if (static_cast<int>(order.size()) < wanted.workers) {
    return std::nullopt;
  }
  std::sort(order.begin(), order.end());
  cell_choice choice;
  choice.cell = cell;
  for (int i = 0; i < wanted.workers; ++i) {
    choice.cost += order[static_cast<std::size_t>(i)].first;
    choice.workers.push_back(order[static_cast<std::size_t>(i)].second);
  }
  return choice;
}

// An unused cell can move to workers where the loss by evictions is lower, or
// swap its workers with another unused cell of the same shape.
std::optional<planner::impl::cell_choice> planner::impl::ChooseForUnusedCell(
    int job,
    int cell) {
  const shape promised = cells_[cell].promised;
  const shape& wanted = *jobs_[job].wanted;
  const std::vector<int> former = cells_[cell].workers;
  cells_.Unbind(cell);
  const auto cost = [&](int worker) -> std::optional<double> {
    if (!workers_[worker].Unpromised().Holds(promised.per_worker)) {
      return std::nullopt;
    }
    return GuaranteeCost(job, worker);
  };
  const auto group = FindGroup(workers_, promised.level, promised.workers,
                               group_order::kTightest, cost);
  cells_.Bind(cell, former);
  std::optional<cell_choice> best = ChooseEquivalentCell(job, cell);
  if (group && (!best || group->cost < best->cost)) {
    const auto end = group->workers.begin() + wanted.workers;
    best = cell_choice{
        cell, group->workers, {group->workers.begin(), end}, group->cost};
  }
  return best;
}

std::optional<planner::impl::cell_choice> planner::impl::ChooseEquivalentCell(
    int job,
    int cell) const {
  std::optional<cell_choice> best;
  for (int candidate = 0; candidate < cells_.size(); ++candidate) {
    const guarantee_cell& item = cells_[candidate];
    if (item.IsUsed() || !item.IsBound() ||
        !IsSameShape(item.promised, cells_[cell].promised)) {
      continue;
    }
    std::optional<cell_choice> choice = ChooseInUsedCell(job, candidate);
    if (choice && (!best || choice->cost < best->cost)) {
      best = std::move(choice);
    }
    if (best && best->cost < 1) {
      break;
    }
  }
  return best;
}

void planner::impl::ApplyChoice(int job, const cell_choice& choice) {
  job_entry& entry = jobs_[job];
  int cell = choice.cell;
  if (!choice.cell_workers.empty()) {
    cells_.Unbind(cell);
    cells_.Bind(cell, choice.cell_workers);
  } else if (cells_[cell].team != entry.team) {
    cell = cells_.Exchange(cell, entry.team);
  }
  jobs_.Dequeue(job);
  entry.terms = hold_terms::kGuaranteed;
  entry.cell = cell;
  entry.workers = choice.workers;
  entry.need = entry.wanted->per_worker;
  cells_.Enter(cell, entry.workers, entry.need);
  const std::size_t stops = plan_.stops.size();
  StartOrClaim(job, {true, job, 0});
  if (plan_.stops.size() > stops) {
    counters_.Add(kReclaims);
  }
}

}  // namespace sassafras

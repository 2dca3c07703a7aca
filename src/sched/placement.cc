#include "sassafras/sched/placement.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace sassafras::sched {
namespace {

// State of one minion during a search, which assigns one task after another.
struct minion_candidate {
  std::size_t index = 0;  // In the fleet's minions.
  std::size_t rank = 0;   // Of its rack in the fleet.
  resource_amounts free;
  int same_step_tasks = 0;
  bool is_avoided = false;  // Used last: on probation, or the request failed.
  // Evictions that one more task needs: the runs [evicted_runs,
  // evicted_runs_next) of `evictable`, and the work that is lost with them.
  std::size_t evicted_runs = 0;
  std::size_t evicted_runs_next = 0;
  double next_loss = 0;
  bool fits = false;  // Whether one more task fits after these evictions.
  bool takes_large_room = false;  // One more task takes that of a large one.
};

// A minion for each task, and the work that is lost with the evictions that
// this needs, in core-seconds.
struct placement_plan {
  std::vector<std::size_t> minion_indices;
  double loss = 0;
  int large_rooms = 0;  // Tasks that take the room of a large one.

  auto Cost() const { return std::pair(loss, large_rooms); }
};

// Search for minions for the tasks of one step.
class placement_search {
 public:
  placement_search(const step_spec& step,
                   const fleet_view& fleet,
                   const placement_limits& limits)
      : step_(step),
        needs_(step.Reserved()),
        fleet_(fleet),
        minions_(fleet.Minions()),
        limits_(limits) {}

  // Ignores the tasks that run on the minions.
  void AssumeEmpty() { assumes_empty_ = true; }

  std::optional<placement_plan> PlaceAnywhere(int count) const;
  std::optional<placement_plan> PlaceInOneRack(int count) const;

 private:
  bool IsAllowed(const minion_view& minion) const;
  bool IsBelowTaskLimit(const minion_candidate& candidate) const {
    return step_.max_per_minion == 0 ||
           candidate.same_step_tasks < step_.max_per_minion;
  }
  std::size_t RackAtPosition(std::size_t position) const;
  minion_candidate MakeCandidate(std::size_t index, std::size_t rank) const;
  void AddCandidates(std::size_t rank,
                     std::vector<minion_candidate>& candidates) const;
  void EvaluateNextTask(minion_candidate& candidate) const;
  bool IsBetter(const minion_candidate& left,
                const minion_candidate& right) const;
  int AddTasks(int count,
               std::vector<minion_candidate>& candidates,
               placement_plan& plan,
               bool keeps_large_rooms = false) const;
  std::optional<placement_plan> PlaceOn(
      int count,
      std::vector<minion_candidate> candidates) const;
  std::optional<placement_plan> PlaceWithoutEviction(
      int count,
      bool keeps_large_rooms) const;
  bool MayFitOne(const rack_summary& rack) const;
  bool MayFit(int count, const rack_summary& rack) const;

  const step_spec& step_;
  const resource_amounts needs_;
  const fleet_view& fleet_;
  const std::vector<minion_view>& minions_;
  const placement_limits limits_;
  bool assumes_empty_ = false;
};

bool placement_search::IsAllowed(const minion_view& minion) const {
  if (!minion.is_usable || (limits_.requires_proof && !minion.is_proven) ||
      (limits_.requires_success && !minion.has_succeeded)) {
    return false;
  }
  return step_.required_label.empty() ||
         std::find(minion.labels.begin(), minion.labels.end(),
                   step_.required_label) != minion.labels.end();
}

// Urgent and other work fill the racks from opposite ends of their order, so
// that they share racks only when few are free.
std::size_t placement_search::RackAtPosition(std::size_t position) const {
  return limits_.fills_from_end ? fleet_.RackCount() - 1 - position : position;
}

minion_candidate placement_search::MakeCandidate(std::size_t index,
                                                 std::size_t rank) const {
  const minion_view& minion = minions_[index];
  minion_candidate candidate;
  candidate.index = index;
  candidate.rank = rank;
  candidate.free = assumes_empty_ ? minion.capacity : minion.free;
  if (!assumes_empty_ && limits_.expected_end > minion.held_until) {
    candidate.free -= minion.held;
  }
  candidate.same_step_tasks = assumes_empty_ ? 0 : minion.same_step_tasks;
  candidate.is_avoided =
      (limits_.is_urgent && minion.is_on_probation) ||
      (limits_.failed_on != nullptr && !limits_.failed_on->empty() &&
       limits_.failed_on->contains(minion.id));
  EvaluateNextTask(candidate);
  return candidate;
}

// Determines whether one more task fits, and the evictions that it needs.
void placement_search::EvaluateNextTask(minion_candidate& candidate) const {
  candidate.evicted_runs_next = candidate.evicted_runs;
  candidate.next_loss = 0;
  candidate.fits = IsBelowTaskLimit(candidate);
  candidate.takes_large_room =
      limits_.large_task &&
      CountFitting(candidate.free, *limits_.large_task) >
          CountFitting(candidate.free - needs_, *limits_.large_task);
  if (!candidate.fits || candidate.free.Holds(needs_)) {
    return;
  }
  const std::vector<evictable_run>& runs = minions_[candidate.index].evictable;
  resource_amounts free = candidate.free;
  while (limits_.may_evict && !free.Holds(needs_) &&
         candidate.evicted_runs_next < runs.size()) {
    free += runs[candidate.evicted_runs_next].held;
    candidate.next_loss += runs[candidate.evicted_runs_next].loss;
    ++candidate.evicted_runs_next;
  }
  candidate.fits = free.Holds(needs_);
}

// Order of candidates: first minions that are not avoided, then those that need
// no eviction, then by work lost, then those that keep the room of
// large tasks, then by rack, then those with the fewest free accelerators.
// Filling these first keeps whole minions free for large tasks.
bool placement_search::IsBetter(const minion_candidate& left,
                                const minion_candidate& right) const {
  if (left.is_avoided != right.is_avoided) {
    return right.is_avoided;
  }
  const bool left_evicts = left.evicted_runs_next > left.evicted_runs;
  const bool right_evicts = right.evicted_runs_next > right.evicted_runs;
  if (left_evicts != right_evicts) {
    return right_evicts;
  }
  if (left.next_loss != right.next_loss) {
    return left.next_loss < right.next_loss;
  }
  if (left.takes_large_room != right.takes_large_room) {
    return right.takes_large_room;
  }
  if (left.rank != right.rank) {
    return (left.rank < right.rank) != limits_.fills_from_end;
  }
  if (left.free.accelerators != right.free.accelerators) {
    return left.free.accelerators < right.free.accelerators;
  }
  return left.free.memory_mb < right.free.memory_mb;
}

// Assigns up to `count` tasks to the candidates and returns the number of tasks
// that do not fit. Assigns tasks to the best minion until the next would need
// further evictions: with each task it has fewer free accelerators, so it
// remains the best.
int placement_search::AddTasks(int count,
                               std::vector<minion_candidate>& candidates,
                               placement_plan& plan,
                               bool keeps_large_rooms) const {
  int remaining = count;
  while (remaining > 0) {
    std::size_t best = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (keeps_large_rooms && candidates[i].takes_large_room) {
        continue;
      }
      if (candidates[i].fits && (best == candidates.size() ||
                                 IsBetter(candidates[i], candidates[best]))) {
        best = i;
      }
    }
    if (best == candidates.size()) {
      return remaining;
    }
    minion_candidate& candidate = candidates[best];
    plan.loss += candidate.next_loss;
    for (; candidate.evicted_runs < candidate.evicted_runs_next;
         ++candidate.evicted_runs) {
      candidate.free +=
          minions_[candidate.index].evictable[candidate.evicted_runs].held;
    }
    bool may_continue = true;
    do {
      plan.large_rooms += candidate.takes_large_room ? 1 : 0;
      candidate.free -= needs_;
      ++candidate.same_step_tasks;
      --remaining;
      plan.minion_indices.push_back(candidate.index);
      const bool took_large_room = candidate.takes_large_room;
      may_continue = remaining > 0 && IsBelowTaskLimit(candidate) &&
                     candidate.free.Holds(needs_);
      EvaluateNextTask(candidate);
      // The next task here may take more than one elsewhere would.
      may_continue =
          may_continue && (took_large_room || !candidate.takes_large_room);
    } while (may_continue);
  }
  return remaining;
}

std::optional<placement_plan> placement_search::PlaceOn(
    int count,
    std::vector<minion_candidate> candidates) const {
  placement_plan plan;
  if (AddTasks(count, candidates, plan) > 0) {
    return std::nullopt;
  }
  return plan;
}

void placement_search::AddCandidates(
    std::size_t rank,
    std::vector<minion_candidate>& candidates) const {
  const rack_summary& rack = fleet_.Rack(rank);
  for (std::size_t index = rack.begin; index < rack.end; ++index) {
    if (IsAllowed(minions_[index])) {
      candidates.push_back(MakeCandidate(index, rank));
    }
  }
}

// Whether one task may fit on a minion of the rack without an eviction. May be
// true although none fits, since the summary takes the maximum by dimension.
bool placement_search::MayFitOne(const rack_summary& rack) const {
  return assumes_empty_ || rack.max_free.Holds(needs_);
}

// Whether `count` tasks may fit into the rack by the sums over its minions.
bool placement_search::MayFit(int count, const rack_summary& rack) const {
  if (assumes_empty_) {
    return true;
  }
  if (!limits_.may_evict && !MayFitOne(rack)) {
    return false;
  }
  const resource_amounts sum =
      limits_.may_evict ? rack.free + rack.evictable : rack.free;
  return sum.accelerators >= needs_.accelerators * count &&
         sum.millicores >= needs_.millicores * count &&
         sum.memory_mb >= needs_.memory_mb * count;
}

// Takes racks in order until all tasks are assigned, and only minions that are
// not avoided and need no eviction. If it also keeps the room of large tasks,
// no other minion would be preferred to these.
std::optional<placement_plan> placement_search::PlaceWithoutEviction(
    int count,
    bool keeps_large_rooms) const {
  placement_plan plan;
  int remaining = count;
  std::vector<minion_candidate> candidates;
  for (std::size_t position = 0; position < fleet_.RackCount() && remaining > 0;
       ++position) {
    const std::size_t rank = RackAtPosition(position);
    if (!MayFitOne(fleet_.Rack(rank))) {
      continue;
    }
    candidates.clear();
    AddCandidates(rank, candidates);
    for (minion_candidate& candidate : candidates) {
      candidate.fits = candidate.fits && !candidate.is_avoided &&
                       candidate.evicted_runs_next == 0;
    }
    remaining = AddTasks(remaining, candidates, plan, keeps_large_rooms);
  }
  if (remaining > 0) {
    return std::nullopt;
  }
  return plan;
}

std::optional<placement_plan> placement_search::PlaceAnywhere(int count) const {
  if (auto found = PlaceWithoutEviction(count, true)) {
    return found;
  }
  if (limits_.large_task) {
    if (auto found = PlaceWithoutEviction(count, false)) {
      return found;
    }
  }
  std::vector<minion_candidate> candidates;
  candidates.reserve(minions_.size());
  for (std::size_t rank = 0; rank < fleet_.RackCount(); ++rank) {
    AddCandidates(rank, candidates);
  }
  return PlaceOn(count, std::move(candidates));
}

// Chooses the rack with the least work lost; among equals, the first in order.
std::optional<placement_plan> placement_search::PlaceInOneRack(
    int count) const {
  std::optional<placement_plan> best;
  for (std::size_t position = 0; position < fleet_.RackCount(); ++position) {
    const std::size_t rank = RackAtPosition(position);
    const rack_summary& rack = fleet_.Rack(rank);
    const bool is_data_rack =
        step_.data_rack.empty() || minions_[rack.begin].rack == step_.data_rack;
    if (!is_data_rack || !MayFit(count, rack)) {
      continue;
    }
    std::vector<minion_candidate> candidates;
    AddCandidates(rank, candidates);
    auto found = PlaceOn(count, std::move(candidates));
    if (found && (!best || found->Cost() < best->Cost())) {
      best = std::move(found);
    }
    if (best && best->loss == 0 && best->large_rooms == 0) {
      break;
    }
  }
  return best;
}

resource_amounts Max(const resource_amounts& left,
                     const resource_amounts& right) {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

bool IsBoundToRack(const step_spec& step) {
  return step.wants_one_rack || !step.data_rack.empty();
}

}  // namespace

fleet_view::fleet_view(std::vector<minion_view> minions)
    : minions_(std::move(minions)) {
  std::stable_sort(minions_.begin(), minions_.end(),
                   [](const minion_view& left, const minion_view& right) {
                     return left.rack < right.rack;
                   });
  for (std::size_t index = 0; index < minions_.size(); ++index) {
    if (index == 0 || minions_[index].rack != minions_[index - 1].rack) {
      racks_.push_back({index, index});
    }
    racks_.back().end = index + 1;
    rack_of_.push_back(racks_.size() - 1);
  }
}

minion_view& fleet_view::MutableMinion(std::size_t index) {
  racks_[rack_of_.at(index)].is_current = false;
  minions_[index].is_evictable_current = false;
  return minions_[index];
}

// The summaries of racks leave reservations out of account: they are upper
// bounds in any case.
void fleet_view::HoldOn(std::size_t index,
                        const resource_amounts& amount,
                        const resource_amounts& held,
                        instant until) {
  minion_view& minion = minions_.at(index);
  const bool is_first = held_.insert(index).second;
  minion.reserved += amount;
  minion.held += held;
  minion.held_until = is_first ? until : std::min(minion.held_until, until);
  latest_held_until_ = std::max(latest_held_until_, until);
}

void fleet_view::ReturnHeld() {
  for (const std::size_t index : held_) {
    minions_[index].held = {};
    minions_[index].reserved = {};
    minions_[index].held_until = {};
  }
  held_.clear();
  latest_held_until_ = {};
}

const rack_summary& fleet_view::Rack(std::size_t rank) const {
  rack_summary& rack = racks_.at(rank);
  if (rack.is_current) {
    return rack;
  }
  rack = {rack.begin, rack.end};
  for (std::size_t index = rack.begin; index < rack.end; ++index) {
    const minion_view& minion = minions_[index];
    if (!minion.is_usable) {
      continue;
    }
    const resource_amounts free = PositivePart(minion.free);
    rack.max_free = Max(rack.max_free, free);
    rack.free += free;
    for (const evictable_run& run : minion.evictable) {
      rack.evictable += run.held;
    }
  }
  rack.is_current = true;
  return rack;
}

resource_amounts PositivePart(const resource_amounts& of) {
  return {std::max<std::int64_t>(0, of.millicores),
          std::max<std::int64_t>(0, of.memory_mb),
          std::max<std::int64_t>(0, of.accelerators)};
}

std::int64_t CountFitting(const resource_amounts& free,
                          const resource_amounts& needs) {
  std::int64_t tasks = kMaxAmount;
  const auto limit = [&tasks](std::int64_t need, std::int64_t available) {
    tasks = need > 0 ? std::min(tasks, available / need) : tasks;
  };
  limit(needs.millicores, free.millicores);
  limit(needs.memory_mb, free.memory_mb);
  limit(needs.accelerators, free.accelerators);
  return std::max<std::int64_t>(tasks, 0);
}

std::optional<std::vector<std::size_t>> PlaceTasks(const step_spec& step,
                                                   int count,
                                                   const fleet_view& fleet,
                                                   placement_limits limits) {
  const placement_search search(step, fleet, limits);
  std::optional<placement_plan> found;
  if (IsBoundToRack(step)) {
    found = search.PlaceInOneRack(count);
  }
  if (!found && (!IsBoundToRack(step) || limits.may_leave_rack)) {
    found = search.PlaceAnywhere(count);
  }
  if (!found) {
    return std::nullopt;
  }
  return std::move(found->minion_indices);
}

bool CouldEverFit(const step_spec& step,
                  int count,
                  const fleet_view& fleet,
                  bool in_one_rack) {
  placement_search search(step, fleet, {});
  search.AssumeEmpty();
  return (in_one_rack ? search.PlaceInOneRack(count)
                      : search.PlaceAnywhere(count))
      .has_value();
}

}  // namespace sassafras::sched

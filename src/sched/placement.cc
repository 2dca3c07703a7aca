#include "sassafras/sched/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>

namespace sassafras::sched {
namespace {

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

// A choice of minions and what it costs; lower is better.
struct choice {
  std::vector<std::size_t> places;
  double evict_cost = 0;
  int rank = 0;                        // Of the rack, if it is one.
  std::int64_t accelerators_left = 0;  // Free ones on the minions touched.
};

bool IsAllowed(const step_spec& step, const minion_view& minion) {
  if (step.required_label.empty()) {
    return true;
  }
  return std::find(minion.labels.begin(), minion.labels.end(),
                   step.required_label) != minion.labels.end();
}

bool HasCount(const step_spec& step, const minion_view& minion) {
  return step.max_per_minion == 0 || minion.same_step < step.max_per_minion;
}

// Urgent work and other work fill the racks from opposite ends, so that they
// meet as late as possible. Minions on which the request has not failed come
// first, then those that need no eviction, then the fullest that fits: whole
// minions stay free for large tasks.
bool IsBetter(const minion_view& left,
              const minion_view& right,
              const room& needs,
              bool is_urgent) {
  if (left.has_failed_it != right.has_failed_it) {
    return right.has_failed_it;
  }
  const bool left_evicts = !left.free.Holds(needs);
  const bool right_evicts = !right.free.Holds(needs);
  if (left_evicts != right_evicts) {
    return right_evicts;
  }
  if (left_evicts && left.evict_cost != right.evict_cost) {
    return left.evict_cost < right.evict_cost;
  }
  if (left.rack_rank != right.rack_rank) {
    return (left.rack_rank < right.rack_rank) != is_urgent;
  }
  if (left.free.accelerators != right.free.accelerators) {
    return left.free.accelerators < right.free.accelerators;
  }
  return left.free.memory_mb < right.free.memory_mb;
}

// Takes room for one task, from what is free first.
void Take(minion_view& minion, const room& needs) {
  minion.free -= needs;
  ++minion.same_step;
}

bool Fits(const minion_view& minion, const room& needs, bool may_evict) {
  if (minion.free.Holds(needs)) {
    return true;
  }
  return may_evict && (minion.free + minion.evictable).Holds(needs);
}

std::optional<choice> PlaceAmong(const step_spec& step,
                                 int count,
                                 const std::vector<minion_view>& minions,
                                 std::vector<std::size_t> among,
                                 placement_limits limits) {
  const bool may_evict = limits.may_evict;
  const room needs = step.Reserved();
  std::map<std::size_t, minion_view> changed;
  const auto view = [&](std::size_t index) -> const minion_view& {
    const auto it = changed.find(index);
    return it == changed.end() ? minions[index] : it->second;
  };
  choice chosen;
  for (int task = 0; task < count; ++task) {
    std::size_t best = kNone;
    for (const std::size_t index : among) {
      const minion_view& minion = view(index);
      if (!HasCount(step, minion) || !Fits(minion, needs, may_evict)) {
        continue;
      }
      if (best == kNone ||
          IsBetter(minion, view(best), needs, limits.is_urgent)) {
        best = index;
      }
    }
    if (best == kNone) {
      return std::nullopt;
    }
    if (!view(best).free.Holds(needs) && !changed.contains(best)) {
      chosen.evict_cost += minions[best].evict_cost;
    }
    changed.try_emplace(best, minions[best]);
    Take(changed.at(best), needs);
    chosen.places.push_back(best);
  }
  for (const auto& [index, minion] : changed) {
    chosen.accelerators_left +=
        std::max<std::int64_t>(0, minion.free.accelerators);
  }
  return chosen;
}

std::map<std::string, std::vector<std::size_t>> GroupByRack(
    const std::vector<minion_view>& minions,
    const std::vector<std::size_t>& among) {
  std::map<std::string, std::vector<std::size_t>> racks;
  for (const std::size_t index : among) {
    racks[minions[index].rack].push_back(index);
  }
  return racks;
}

bool IsCheaper(const choice& left, const choice& right) {
  if (left.evict_cost != right.evict_cost) {
    return left.evict_cost < right.evict_cost;
  }
  if (left.rank != right.rank) {
    return left.rank < right.rank;
  }
  return left.accelerators_left < right.accelerators_left;
}

std::optional<choice> PlaceInOneRack(const step_spec& step,
                                     int count,
                                     const std::vector<minion_view>& minions,
                                     const std::vector<std::size_t>& among,
                                     placement_limits limits) {
  std::optional<choice> best;
  for (const auto& [rack, members] : GroupByRack(minions, among)) {
    if (!step.data_rack.empty() && rack != step.data_rack) {
      continue;
    }
    auto found = PlaceAmong(step, count, minions, members, limits);
    if (found) {
      found->rank = minions[members.front()].rack_rank;
      if (limits.is_urgent) {
        found->rank = -found->rank;
      }
    }
    if (found && (!best || IsCheaper(*found, *best))) {
      best = std::move(found);
    }
  }
  return best;
}

std::vector<std::size_t> AllowedMinions(
    const step_spec& step,
    const std::vector<minion_view>& minions) {
  std::vector<std::size_t> among;
  for (std::size_t index = 0; index < minions.size(); ++index) {
    if (IsAllowed(step, minions[index])) {
      among.push_back(index);
    }
  }
  return among;
}

}  // namespace

std::optional<std::vector<std::size_t>> PlaceTasks(
    const step_spec& step,
    int count,
    const std::vector<minion_view>& minions,
    placement_limits limits) {
  const std::vector<std::size_t> among = AllowedMinions(step, minions);
  const bool is_bound = step.wants_one_rack || !step.data_rack.empty();
  if (is_bound) {
    auto found = PlaceInOneRack(step, count, minions, among, limits);
    if (found) {
      return std::move(found->places);
    }
    if (!limits.may_leave_rack) {
      return std::nullopt;
    }
  }
  auto found = PlaceAmong(step, count, minions, among, limits);
  if (!found) {
    return std::nullopt;
  }
  return std::move(found->places);
}

bool CouldEverFit(const step_spec& step,
                  int count,
                  std::vector<minion_view> minions,
                  bool in_one_rack) {
  for (minion_view& minion : minions) {
    minion.free = minion.capacity;
    minion.same_step = 0;
  }
  const std::vector<std::size_t> among = AllowedMinions(step, minions);
  if (in_one_rack) {
    return PlaceInOneRack(step, count, minions, among, {}).has_value();
  }
  return PlaceAmong(step, count, minions, among, {}).has_value();
}

}  // namespace sassafras::sched

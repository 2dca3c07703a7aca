#include "src/sched/room_holds.h"

#include <algorithm>
#include <utility>

namespace sassafras::sched {
namespace {

// Capacity for one task on a minion, and when it is free.
struct task_slot {
  instant at;
  std::size_t index = 0;

  auto operator<=>(const task_slot&) const = default;
};

bool MayHold(const step_spec& step, const minion_view& minion) {
  const bool has_label = step.required_label.empty() ||
                         std::find(minion.labels.begin(), minion.labels.end(),
                                   step.required_label) != minion.labels.end();
  return minion.is_usable && has_label;
}

// Adds the slots that `minion` has for tasks of `step`, at most `count`.
void AddSlots(instant now,
              const step_spec& step,
              int count,
              const minion_view& minion,
              std::size_t index,
              const std::vector<expected_release>& releases,
              std::vector<task_slot>& slots) {
  const resource_amounts needs = step.Reserved();
  int limit = count;
  if (step.max_per_minion > 0) {
    limit = std::min(limit, step.max_per_minion - minion.same_step_tasks);
  }
  resource_amounts free = minion.free - minion.reserved;
  instant at = now;
  auto next = releases.begin();
  while (limit > 0) {
    for (; limit > 0 && free.Holds(needs); --limit) {
      slots.push_back({at, index});
      free -= needs;
    }
    if (next == releases.end()) {
      return;
    }
    at = std::max(at, next->at);
    free += next->amount;
    ++next;
  }
}

// The `count` earliest of `slots`, or nothing if there are fewer.
std::optional<room_hold> TakeEarliest(int count, std::vector<task_slot> slots) {
  const auto wanted = static_cast<std::ptrdiff_t>(count);
  if (static_cast<std::ptrdiff_t>(slots.size()) < wanted) {
    return std::nullopt;
  }
  const auto end = slots.begin() + wanted;
  std::partial_sort(slots.begin(), end, slots.end());
  room_hold hold;
  for (auto it = slots.begin(); it != end; ++it) {
    ++hold.tasks[it->index];
    hold.complete_at = it->at;
  }
  return hold;
}

}  // namespace

std::optional<room_hold> ChooseHold(instant now,
                                    const step_spec& step,
                                    int count,
                                    const fleet_view& fleet,
                                    bool may_leave_rack,
                                    const release_hook& releases_on) {
  std::optional<room_hold> best;
  std::vector<task_slot> slots;
  for (std::size_t rank = 0; rank < fleet.RackCount(); ++rank) {
    const rack_summary& rack = fleet.Rack(rank);
    if (!may_leave_rack) {
      slots.clear();
      if (!step.data_rack.empty() &&
          fleet.Minions()[rack.begin].rack != step.data_rack) {
        continue;
      }
    }
    for (std::size_t index = rack.begin; index < rack.end; ++index) {
      const minion_view& minion = fleet.Minions()[index];
      if (MayHold(step, minion)) {
        AddSlots(now, step, count, minion, index, releases_on(index), slots);
      }
    }
    if (!may_leave_rack) {
      auto found = TakeEarliest(count, slots);
      if (found && (!best || found->complete_at < best->complete_at)) {
        best = std::move(found);
      }
    }
  }
  return may_leave_rack ? TakeEarliest(count, std::move(slots)) : best;
}

void room_holds::BeginPass(instant now, fleet_view& fleet) {
  now_ = now;
  choices_ = 0;
  fleet.ReturnHeld();
  std::erase_if(holds_,
                [](const auto& item) { return !item.second.is_renewed; });
  for (auto& [key, kept] : holds_) {
    kept.is_renewed = false;
  }
}

void room_holds::IndexFleet(const fleet_view& fleet) {
  is_indexed_ = true;
  index_of_.clear();
  usable_ = 0;
  for (std::size_t index = 0; index < fleet.Minions().size(); ++index) {
    const minion_view& minion = fleet.Minions()[index];
    usable_ += minion.is_usable ? 1 : 0;
    index_of_[minion.id] = index;
  }
}

// The kept reservation by the minions' present indices, or nothing if one of
// them cannot be used.
std::optional<room_hold> room_holds::Renew(const kept_hold& kept,
                                           const step_spec& step,
                                           const fleet_view& fleet) const {
  room_hold hold;
  hold.complete_at = std::max(kept.complete_at, now_);
  for (const auto& [minion, tasks] : kept.tasks) {
    const auto it = index_of_.find(minion);
    if (it == index_of_.end() || !MayHold(step, fleet.Minions()[it->second])) {
      return std::nullopt;
    }
    hold.tasks[it->second] = tasks;
  }
  return hold;
}

// The first reservation of a pass may be of any size: a gang that needs more
// than the share would wait for ever.
bool room_holds::IsWithinShare(const room_hold& hold,
                               const fleet_view& fleet) const {
  std::size_t covered = fleet.HeldCount();
  for (const auto& [index, tasks] : hold.tasks) {
    covered += fleet.IsHeld(index) ? 0 : 1;
  }
  return fleet.HeldCount() == 0 ||
         static_cast<double>(covered) <=
             kMaxShareOfMinions * static_cast<double>(usable_);
}

room_holds::outcome room_holds::Hold(const hold_key& key,
                                     const step_spec& step,
                                     int count,
                                     bool may_leave_rack,
                                     const release_hook& releases_on,
                                     fleet_view& fleet) {
  if (!is_indexed_) {
    IndexFleet(fleet);
  }
  const auto [it, is_new] = holds_.try_emplace(key);
  kept_hold& kept = it->second;
  const bool had_none = kept.tasks.empty();
  kept.is_renewed = true;
  std::optional<room_hold> hold;
  if (!is_new && now_ - kept.chosen_at <= kMaxAge) {
    if (kept.tasks.empty()) {
      return {};
    }
    hold = Renew(kept, step, fleet);
  }
  if (!hold) {
    if (choices_ >= kMaxChoicesPerPass) {
      kept.tasks.clear();
      return {};
    }
    ++choices_;
    kept.chosen_at = now_;
    hold = ChooseHold(now_, step, count, fleet, may_leave_rack, releases_on);
  }
  kept.tasks.clear();
  if (!hold || !IsWithinShare(*hold, fleet)) {
    return {};
  }
  kept.complete_at = hold->complete_at;
  for (const auto& [index, tasks] : hold->tasks) {
    kept.tasks[fleet.Minions()[index].id] = tasks;
    resource_amounts amount;
    for (int task = 0; task < tasks; ++task) {
      amount += step.Reserved();
    }
    // What is released by then need not be withheld now.
    resource_amounts held = amount;
    for (const expected_release& release : releases_on(index)) {
      if (release.at <= hold->complete_at) {
        held -= release.amount;
      }
    }
    fleet.HoldOn(index, amount, PositivePart(held), hold->complete_at);
  }
  return {static_cast<int>(hold->tasks.size()), had_none, hold->complete_at};
}

int room_holds::CountMinions(const hold_key& key) const {
  const auto it = holds_.find(key);
  return it == holds_.end() ? 0 : static_cast<int>(it->second.tasks.size());
}

}  // namespace sassafras::sched

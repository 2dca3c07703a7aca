#include "sassafras/sched/placement.h"

#include <algorithm>
#include <utility>

namespace sassafras::sched {
namespace {

// What a search changes of a minion while it places one task after another.
struct slot {
  std::size_t index = 0;  // Of its view.
  std::size_t rank = 0;   // Of its rack.
  resource_amounts free;
  int same_step_tasks = 0;
  bool has_failed_it = false;
  // To make room for one more task: runs to stop, from `evicted` on, and what
  // that throws away.
  std::size_t evicted = 0;
  std::size_t evicted_next = 0;
  double next_loss = 0;
  bool fits = false;  // One more task, after these evictions.
};

// A choice of minions and what it costs; lower is better.
struct choice {
  std::vector<std::size_t> places;
  double loss = 0;
};

// One request against views of minions.
class search {
 public:
  search(const step_spec& step,
         const fleet_view& fleet,
         const placement_limits& limits)
      : step_(step),
        needs_(step.Reserved()),
        fleet_(fleet),
        minions_(fleet.Minions()),
        limits_(limits) {}

  // As if nothing ran.
  void AssumeEmpty() { is_empty_ = true; }

  std::optional<choice> Anywhere(int count) const;
  std::optional<choice> InOneRack(int count) const;

 private:
  bool IsAllowed(const minion_view& minion) const;
  bool HasCount(const slot& at) const {
    return step_.max_per_minion == 0 ||
           at.same_step_tasks < step_.max_per_minion;
  }
  std::size_t RackInOrder(std::size_t position) const;
  slot MakeSlot(std::size_t index, std::size_t rank) const;
  void AddSlots(std::size_t rank, std::vector<slot>& slots) const;
  void Quote(slot& at) const;
  bool IsBetter(const slot& left, const slot& right) const;
  int Fill(int count, std::vector<slot>& slots, choice& chosen) const;
  std::optional<choice> Among(int count, std::vector<slot> slots) const;
  std::optional<choice> InFreeRoom(int count) const;
  bool MayHoldOne(const rack_summary& rack) const;
  bool MayHold(int count, const rack_summary& rack) const;

  const step_spec& step_;
  const resource_amounts needs_;
  const fleet_view& fleet_;
  const std::vector<minion_view>& minions_;
  const placement_limits limits_;
  bool is_empty_ = false;
};

bool search::IsAllowed(const minion_view& minion) const {
  if (!minion.is_usable) {
    return false;
  }
  return step_.required_label.empty() ||
         std::find(minion.labels.begin(), minion.labels.end(),
                   step_.required_label) != minion.labels.end();
}

// Urgent work and other work fill the racks from opposite ends, so that they
// meet as late as possible.
std::size_t search::RackInOrder(std::size_t position) const {
  return limits_.is_urgent ? fleet_.RackCount() - 1 - position : position;
}

slot search::MakeSlot(std::size_t index, std::size_t rank) const {
  const minion_view& minion = minions_[index];
  slot at;
  at.index = index;
  at.rank = rank;
  at.free = is_empty_ ? minion.capacity : minion.free;
  at.same_step_tasks = is_empty_ ? 0 : minion.same_step_tasks;
  at.has_failed_it =
      (limits_.is_urgent && minion.is_on_probation) ||
      (limits_.failed_on != nullptr && !limits_.failed_on->empty() &&
       limits_.failed_on->contains(minion.id));
  Quote(at);
  return at;
}

// What one more task costs here.
void search::Quote(slot& at) const {
  at.evicted_next = at.evicted;
  at.next_loss = 0;
  at.fits = HasCount(at);
  if (!at.fits || at.free.Holds(needs_)) {
    return;
  }
  const std::vector<evictable_run>& runs = minions_[at.index].evictable;
  resource_amounts free = at.free;
  while (limits_.may_evict && !free.Holds(needs_) &&
         at.evicted_next < runs.size()) {
    free += runs[at.evicted_next].held;
    at.next_loss += runs[at.evicted_next].loss;
    ++at.evicted_next;
  }
  at.fits = free.Holds(needs_);
}

// Minions on which the request has not failed come first, then those that need
// no eviction, then the rack, then the fullest that fits: whole minions stay
// free for large tasks.
bool search::IsBetter(const slot& left, const slot& right) const {
  if (left.has_failed_it != right.has_failed_it) {
    return right.has_failed_it;
  }
  const bool left_evicts = left.evicted_next > left.evicted;
  const bool right_evicts = right.evicted_next > right.evicted;
  if (left_evicts != right_evicts) {
    return right_evicts;
  }
  if (left.next_loss != right.next_loss) {
    return left.next_loss < right.next_loss;
  }
  if (left.rank != right.rank) {
    return (left.rank < right.rank) != limits_.is_urgent;
  }
  if (left.free.accelerators != right.free.accelerators) {
    return left.free.accelerators < right.free.accelerators;
  }
  return left.free.memory_mb < right.free.memory_mb;
}

// Places up to `count` tasks and returns how many are left. Takes the best
// minion until it holds no more without further evictions: it only becomes
// fuller, and so stays the best.
int search::Fill(int count, std::vector<slot>& slots, choice& chosen) const {
  int left = count;
  while (left > 0) {
    std::size_t best = slots.size();
    for (std::size_t i = 0; i < slots.size(); ++i) {
      if (slots[i].fits &&
          (best == slots.size() || IsBetter(slots[i], slots[best]))) {
        best = i;
      }
    }
    if (best == slots.size()) {
      return left;
    }
    slot& at = slots[best];
    chosen.loss += at.next_loss;
    for (; at.evicted < at.evicted_next; ++at.evicted) {
      at.free += minions_[at.index].evictable[at.evicted].held;
    }
    do {
      at.free -= needs_;
      ++at.same_step_tasks;
      --left;
      chosen.places.push_back(at.index);
    } while (left > 0 && HasCount(at) && at.free.Holds(needs_));
    Quote(at);
  }
  return left;
}

std::optional<choice> search::Among(int count, std::vector<slot> slots) const {
  choice chosen;
  if (Fill(count, slots, chosen) > 0) {
    return std::nullopt;
  }
  return chosen;
}

void search::AddSlots(std::size_t rank, std::vector<slot>& slots) const {
  const rack_summary& rack = fleet_.Rack(rank);
  for (std::size_t index = rack.begin; index < rack.end; ++index) {
    if (IsAllowed(minions_[index])) {
      slots.push_back(MakeSlot(index, rank));
    }
  }
}

// Whether some minion of the rack may have room without an eviction.
bool search::MayHoldOne(const rack_summary& rack) const {
  return is_empty_ || rack.max_free.Holds(needs_);
}

// Whether the rack's minions together may have room.
bool search::MayHold(int count, const rack_summary& rack) const {
  if (is_empty_) {
    return true;
  }
  if (!limits_.may_evict && !MayHoldOne(rack)) {
    return false;
  }
  const resource_amounts sum =
      limits_.may_evict ? rack.free + rack.evictable : rack.free;
  return sum.accelerators >= needs_.accelerators * count &&
         sum.millicores >= needs_.millicores * count &&
         sum.memory_mb >= needs_.memory_mb * count;
}

// Rack after rack, as far as needed, on minions that are as good as any.
std::optional<choice> search::InFreeRoom(int count) const {
  choice chosen;
  int left = count;
  std::vector<slot> slots;
  for (std::size_t at = 0; at < fleet_.RackCount() && left > 0; ++at) {
    const std::size_t rank = RackInOrder(at);
    if (!MayHoldOne(fleet_.Rack(rank))) {
      continue;
    }
    slots.clear();
    AddSlots(rank, slots);
    for (slot& candidate : slots) {
      candidate.fits = candidate.fits && !candidate.has_failed_it &&
                       candidate.evicted_next == 0;
    }
    left = Fill(left, slots, chosen);
  }
  if (left > 0) {
    return std::nullopt;
  }
  return chosen;
}

std::optional<choice> search::Anywhere(int count) const {
  if (auto found = InFreeRoom(count)) {
    return found;
  }
  std::vector<slot> slots;
  slots.reserve(minions_.size());
  for (std::size_t rank = 0; rank < fleet_.RackCount(); ++rank) {
    AddSlots(rank, slots);
  }
  return Among(count, std::move(slots));
}

// The rack with the least loss; of equal ones, the first in order.
std::optional<choice> search::InOneRack(int count) const {
  std::optional<choice> best;
  for (std::size_t at = 0; at < fleet_.RackCount(); ++at) {
    const std::size_t rank = RackInOrder(at);
    const rack_summary& rack = fleet_.Rack(rank);
    const bool is_data_rack =
        step_.data_rack.empty() || minions_[rack.begin].rack == step_.data_rack;
    if (!is_data_rack || !MayHold(count, rack)) {
      continue;
    }
    std::vector<slot> slots;
    AddSlots(rank, slots);
    auto found = Among(count, std::move(slots));
    if (found && (!best || found->loss < best->loss)) {
      best = std::move(found);
    }
    if (best && best->loss == 0) {
      break;
    }
  }
  return best;
}

resource_amounts PositivePart(const resource_amounts& of) {
  return {std::max<std::int64_t>(0, of.millicores),
          std::max<std::int64_t>(0, of.memory_mb),
          std::max<std::int64_t>(0, of.accelerators)};
}

resource_amounts Greatest(const resource_amounts& left,
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
    rack.max_free = Greatest(rack.max_free, free);
    rack.free += free;
    for (const evictable_run& run : minion.evictable) {
      rack.evictable += run.held;
    }
  }
  rack.is_current = true;
  return rack;
}

std::optional<std::vector<std::size_t>> PlaceTasks(const step_spec& step,
                                                   int count,
                                                   const fleet_view& fleet,
                                                   placement_limits limits) {
  const search places(step, fleet, limits);
  std::optional<choice> found;
  if (IsBoundToRack(step)) {
    found = places.InOneRack(count);
  }
  if (!found && (!IsBoundToRack(step) || limits.may_leave_rack)) {
    found = places.Anywhere(count);
  }
  if (!found) {
    return std::nullopt;
  }
  return std::move(found->places);
}

bool CouldEverFit(const step_spec& step,
                  int count,
                  const fleet_view& fleet,
                  bool in_one_rack) {
  search places(step, fleet, {});
  places.AssumeEmpty();
  return (in_one_rack ? places.InOneRack(count) : places.Anywhere(count))
      .has_value();
}

}  // namespace sassafras::sched

#include "sassafras/request/request_queue.h"

#include <algorithm>
#include <tuple>

namespace sassafras {
namespace {

constexpr int kPercent = 100;

}  // namespace

void request_queue::Configure(const config_set& objects,
                              const target_id& target) {
  for (const auto& [id, definition] : objects.classes) {
    if (definition.target == target) {
      classes_[id].definition = definition;
    }
  }
  shares_.clear();
  for (const auto& [id, item] : objects.teams) {
    shares_[id] = std::max(1, item.share);
  }
}

void request_queue::Push(const queued_request& item) {
  class_queue& owner = classes_[item.class_name];
  team_queue& team = owner.teams[item.team];
  if (team.waiting.empty()) {
    // A team that was idle has no claim to service of the past.
    team.served = std::max(team.served, owner.clock);
  }
  if (owner.waiting == 0) {
    owner.passed_over = 0;
  }
  team.waiting.emplace(item.deadline, item.request);
  ++owner.waiting;
  places_[item.request] = item;
}

void request_queue::Remove(request_id request) {
  const auto it = places_.find(request);
  if (it == places_.end()) {
    return;
  }
  class_queue& owner = classes_[it->second.class_name];
  owner.teams[it->second.team].waiting.erase({it->second.deadline, request});
  --owner.waiting;
  places_.erase(it);
}

bool request_queue::IsBelowFloor(const class_queue& item, int slots) const {
  const int percent = item.definition.floor_percent;
  if (percent <= 0) {
    return false;
  }
  const int floor = slots * percent / kPercent;
  // A floor of less than one slot is a share of turns instead.
  return floor > 0 ? item.in_work < floor
                   : item.passed_over >= kPercent / percent;
}

request_queue::class_queue* request_queue::ChooseClass(
    int slots,
    const class_filter& may_take) {
  class_queue* best = nullptr;
  std::tuple<bool, urgency, int> best_rank;
  for (auto& [id, item] : classes_) {
    if (item.waiting == 0 || !may_take(item.definition)) {
      continue;
    }
    const std::tuple<bool, urgency, int> rank(
        !IsBelowFloor(item, slots), item.definition.order, item.in_work);
    if (best == nullptr || rank < best_rank) {
      best = &item;
      best_rank = rank;
    }
  }
  return best;
}

request_id request_queue::TakeFrom(class_queue& chosen) {
  auto best = chosen.teams.end();
  for (auto it = chosen.teams.begin(); it != chosen.teams.end(); ++it) {
    if (!it->second.waiting.empty() &&
        (best == chosen.teams.end() ||
         it->second.served < best->second.served)) {
      best = it;
    }
  }
  const request_id request = best->second.waiting.begin()->second;
  const auto share = shares_.find(best->first);
  chosen.clock = best->second.served;
  best->second.served += 1.0 / (share == shares_.end() ? 1 : share->second);
  return request;
}

std::optional<request_id> request_queue::Pop(int slots,
                                             const class_filter& may_take) {
  class_queue* chosen = ChooseClass(slots, may_take);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const request_id request = TakeFrom(*chosen);
  for (auto& [id, item] : classes_) {
    item.passed_over += item.waiting > 0 ? 1 : 0;
  }
  chosen->passed_over = 0;
  Remove(request);
  ++chosen->in_work;
  return request;
}

void request_queue::Finish(const class_id& class_name) {
  --classes_[class_name].in_work;
}

void request_queue::Start(const class_id& class_name) {
  ++classes_[class_name].in_work;
}

int request_queue::Waiting(const class_id& class_name,
                           const team_id& team) const {
  const auto owner = classes_.find(class_name);
  if (owner == classes_.end()) {
    return 0;
  }
  const auto found = owner->second.teams.find(team);
  return found == owner->second.teams.end()
             ? 0
             : static_cast<int>(found->second.waiting.size());
}

int request_queue::WaitingBefore(urgency order) const {
  int count = 0;
  for (const auto& [id, item] : classes_) {
    if (item.definition.order <= order) {
      count += item.waiting;
    }
  }
  return count;
}

}  // namespace sassafras

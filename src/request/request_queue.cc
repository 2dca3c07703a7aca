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
  class_queue& queue = classes_[item.class_name];
  team_queue& team = queue.teams[item.team];
  if (team.waiting.empty()) {
    // A team that was idle gets no credit for that time.
    team.served = std::max(team.served, queue.virtual_time);
  }
  if (queue.waiting == 0) {
    queue.passed_over = 0;
  }
  team.waiting.emplace(item.deadline, item.request);
  ++queue.waiting;
  queued_[item.request] = item;
}

void request_queue::Remove(request_id request) {
  const auto it = queued_.find(request);
  if (it == queued_.end()) {
    return;
  }
  class_queue& queue = classes_[it->second.class_name];
  queue.teams[it->second.team].waiting.erase({it->second.deadline, request});
  --queue.waiting;
  queued_.erase(it);
}

bool request_queue::IsBelowFloor(const class_queue& item, int slots) const {
  const int percent = item.definition.floor_percent;
  if (percent <= 0) {
    return false;
  }
  const int floor = slots * percent / kPercent;
  // If the floor is less than one slot, the class gets `percent` % of the
  // dispatches instead.
  return floor > 0 ? item.in_flight < floor
                   : item.passed_over >= kPercent / percent;
}

request_queue::class_queue* request_queue::ChooseClass(
    int slots,
    const class_filter& is_allowed) {
  class_queue* best = nullptr;
  std::tuple<bool, urgency, int> best_rank;
  for (auto& [id, item] : classes_) {
    if (item.waiting == 0 || !is_allowed(item.definition)) {
      continue;
    }
    const std::tuple<bool, urgency, int> rank(!IsBelowFloor(item, slots),
                                              item.definition.urgency_level,
                                              item.in_flight);
    if (best == nullptr || rank < best_rank) {
      best = &item;
      best_rank = rank;
    }
  }
  return best;
}

request_id request_queue::PickRequest(class_queue& chosen) {
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
  chosen.virtual_time = best->second.served;
  best->second.served += 1.0 / (share == shares_.end() ? 1 : share->second);
  return request;
}

std::optional<request_id> request_queue::Pop(int slots,
                                             const class_filter& is_allowed) {
  class_queue* chosen = ChooseClass(slots, is_allowed);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const request_id request = PickRequest(*chosen);
  for (auto& [id, item] : classes_) {
    item.passed_over += item.waiting > 0 ? 1 : 0;
  }
  chosen->passed_over = 0;
  Remove(request);
  ++chosen->in_flight;
  return request;
}

void request_queue::RecordSlotReleased(const class_id& class_name) {
  --classes_[class_name].in_flight;
}

void request_queue::RecordSlotAcquired(const class_id& class_name) {
  ++classes_[class_name].in_flight;
}

int request_queue::Waiting(const class_id& class_name,
                           const team_id& team) const {
  const auto queue = classes_.find(class_name);
  if (queue == classes_.end()) {
    return 0;
  }
  const auto found = queue->second.teams.find(team);
  return found == queue->second.teams.end()
             ? 0
             : static_cast<int>(found->second.waiting.size());
}

int request_queue::WaitingBefore(urgency urgency_level) const {
  int count = 0;
  for (const auto& [id, item] : classes_) {
    if (item.definition.urgency_level <= urgency_level) {
      count += item.waiting;
    }
  }
  return count;
}

}  // namespace sassafras

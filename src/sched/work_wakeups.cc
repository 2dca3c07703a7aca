#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// A draining minion's runs are checked so often: what they will need changes
// with their progress.
constexpr duration kDrainInterval = std::chrono::milliseconds(50);

}  // namespace

// Has the minion attended to in the next decision.
void work_core::impl::Touch(minion_entry& minion) {
  if (minion.fleet != nullptr) {
    minion.fleet->Change(minion.view).free =
        minion.report.capacity - minion.used;
  }
  if (!minion.is_touched) {
    minion.is_touched = true;
    touched_.push_back(&minion);
  }
}

// What comes before placement: runs that are over, minions that leave, and what
// placement sees. Ending a run may touch further minions, at the end of the
// list.
void work_core::impl::BeginAttention(instant now) {
  while (!agenda_.empty() && agenda_.begin()->first <= now) {
    minion_entry& minion = minions_.at(agenda_.begin()->second);
    agenda_.erase(agenda_.begin());
    minion.due = instant::max();
    Touch(minion);
  }
  for (std::size_t next = 0; next < touched_.size();) {
    minion_entry& minion = *touched_[next++];
    CheckLease(now, minion);
    if (minion.report.is_draining && !minion.members.empty()) {
      LeaveMinion(now, minion);
    }
    RefreshView(now, minion);
  }
}

// What comes after the orders of a decision: paces, looks, and when each minion
// needs attention next.
void work_core::impl::EndAttention(instant now) {
  for (std::size_t next = 0; next < touched_.size();) {
    minion_entry& minion = *touched_[next++];
    if (minion.HasServingBesideFillers()) {
      PaceMinion(now, minion);
    }
    EmitLooks(now, minion);
    RefreshView(now, minion);
    Schedule(now, minion);
  }
  for (minion_entry* minion : touched_) {
    minion->is_touched = false;
  }
  touched_.clear();
}

void work_core::impl::Schedule(instant now, minion_entry& minion) {
  const instant due = NextDue(now, minion);
  if (due == minion.due) {
    return;
  }
  agenda_.erase({minion.due, minion.report.id});
  minion.due = due;
  if (due != instant::max()) {
    agenda_.insert({due, minion.report.id});
  }
}

instant work_core::impl::NextDue(instant now,
                                 const minion_entry& minion) const {
  instant due = instant::max();
  const auto at = [&due](instant time) { due = std::min(due, time); };
  const bool is_in_touch = minion.is_known && minion.is_answering;
  const bool is_wanted = is_in_touch
                             ? minion.IsInUse()
                             : minion.is_listed || !minion.members.empty();
  if (!minion.report.address.empty() && is_wanted && !minion.is_look_out) {
    at(minion.next_look);
  }
  if (is_in_touch && minion.counts.awaiting_listing > 0 &&
      !minion.is_extra_look_out) {
    at(minion.next_quick_look);
  }
  if (!minion.is_answering && !minion.members.empty()) {
    at(LapsesAt(minion) + duration(1));
  }
  if (minion.report.is_draining && !minion.members.empty()) {
    at(now + kDrainInterval);
  }
  if (minion.avoid_until > now) {
    at(minion.avoid_until);
  }
  return due;
}

void work_core::impl::RefreshView(instant now, minion_entry& minion) {
  if (minion.fleet == nullptr) {
    return;
  }
  minion_view& view = minion.fleet->Change(minion.view);
  view.free = minion.report.capacity - minion.used;
  view.is_usable = HealthOf(now, minion) == "usable";
  view.is_on_probation = minion.penalties > 0;
}

void work_core::impl::RebuildViews(instant now) {
  std::map<std::string, std::vector<minion_view>> by_service;
  for (auto& [id, minion] : minions_) {
    minion.fleet = nullptr;
    if (minion.is_listed) {
      minion_view view;
      view.id = id;
      view.rack = minion.report.rack;
      view.labels = minion.report.labels;
      view.capacity = minion.report.capacity;
      by_service[minion.report.service].push_back(std::move(view));
    }
  }
  fleets_.clear();
  could_fit_.clear();
  for (auto& [service, views] : by_service) {
    fleet_view& fleet = fleets_[service] = fleet_view(std::move(views));
    for (std::size_t index = 0; index < fleet.Minions().size(); ++index) {
      minion_entry& minion = minions_.at(fleet.Minions()[index].id);
      minion.fleet = &fleet;
      minion.view = index;
      RefreshView(now, minion);
    }
  }
}

// Called before the minion's entry goes.
void work_core::impl::ForgetMinion(minion_entry& minion) {
  agenda_.erase({minion.due, minion.report.id});
  std::erase(touched_, &minion);
  looked_at_.erase(minion.report.id);
  with_pending_ends_.erase(minion.report.id);
}

}  // namespace sassafras::sched

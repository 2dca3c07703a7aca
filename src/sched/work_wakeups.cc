#include <algorithm>
#include <chrono>
#include <cstdint>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Interval between checks of a draining minion's runs: their expected remaining
// time changes with their progress.
constexpr duration kDrainCheckInterval = std::chrono::milliseconds(50);

resource_amounts MeanCapacity(const fleet_view& fleet) {
  resource_amounts sum;
  for (const minion_view& minion : fleet.Minions()) {
    sum += minion.capacity;
  }
  const auto count = static_cast<std::int64_t>(fleet.Minions().size());
  return {sum.millicores / count, sum.memory_mb / count,
          sum.accelerators / count};
}

}  // namespace

// Updates the minion's free capacity in the placement view and schedules it to
// be handled in the next decision.
void work_core::impl::MarkDirty(minion_entry& minion) {
  if (minion.fleet != nullptr) {
    minion_view& view = minion.fleet->MutableMinion(minion.view_index);
    view.free = minion.report.capacity - minion.used;
    view.is_usable = view.is_usable && minion.counts.isolated == 0;
  }
  if (!minion.is_dirty) {
    minion.is_dirty = true;
    dirty_minions_.push_back(&minion);
  }
}

// Handles due and dirty minions before placement: terminates runs whose lease
// expired, evacuates draining minions, refreshes placement views. Terminating a
// run may append further minions to the list during the loop.
void work_core::impl::PrepareDirtyMinions(instant now) {
  while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
    minion_entry& minion = minions_.at(wakeups_.begin()->second);
    wakeups_.erase(wakeups_.begin());
    minion.wakeup_at = instant::max();
    MarkDirty(minion);
  }
  for (std::size_t next = 0; next < dirty_minions_.size();) {
    minion_entry& minion = *dirty_minions_[next++];
    TerminateIfLeaseExpired(now, minion);
    if (minion.report.is_draining && !minion.members.empty()) {
      EvacuateDrainingMinion(now, minion);
    }
    RefreshView(now, minion);
  }
}

// Completes a decision for each dirty minion: emits pace orders and polls, and
// schedules the next wakeup.
void work_core::impl::FinishDirtyMinions(instant now) {
  for (std::size_t next = 0; next < dirty_minions_.size();) {
    minion_entry& minion = *dirty_minions_[next++];
    if (minion.counts.fillers > 0) {
      PaceFillers(now, minion);
    }
    EmitPolls(now, minion);
    RefreshView(now, minion);
    ScheduleWakeup(now, minion);
  }
  for (minion_entry* minion : dirty_minions_) {
    minion->is_dirty = false;
  }
  dirty_minions_.clear();
}

void work_core::impl::ScheduleWakeup(instant now, minion_entry& minion) {
  const instant due = NextWakeup(now, minion);
  if (due == minion.wakeup_at) {
    return;
  }
  wakeups_.erase({minion.wakeup_at, minion.report.id});
  minion.wakeup_at = due;
  if (due != instant::max()) {
    wakeups_.insert({due, minion.report.id});
  }
}

instant work_core::impl::NextWakeup(instant now,
                                    const minion_entry& minion) const {
  instant due = instant::max();
  const auto wake_at = [&due](instant time) { due = std::min(due, time); };
  const bool can_poll = minion.has_answered && minion.is_responsive;
  const bool should_poll = can_poll
                               ? minion.NeedsPolling()
                               : minion.is_listed || !minion.members.empty();
  if (!minion.report.address.empty() && should_poll &&
      !minion.is_poll_in_flight) {
    wake_at(minion.next_poll);
  }
  if (can_poll && minion.counts.stop_acknowledged > 0 &&
      !minion.is_extra_poll_in_flight) {
    wake_at(minion.next_extra_poll);
  }
  if (!minion.is_responsive && !minion.members.empty()) {
    wake_at(LeaseExpiry(minion) + duration(1));
  }
  if (minion.report.is_draining && !minion.members.empty()) {
    wake_at(now + kDrainCheckInterval);
  }
  if (minion.trust.IsAvoided(now)) {
    wake_at(minion.trust.AvoidedUntil());
  }
  return due;
}

void work_core::impl::RefreshView(instant now, minion_entry& minion) {
  if (minion.fleet == nullptr) {
    return;
  }
  minion_view& view = minion.fleet->MutableMinion(minion.view_index);
  view.free = minion.report.capacity - minion.used;
  view.is_usable = HealthOf(now, minion) == kUsable;
  view.is_on_probation = minion.trust.IsOnProbation() ||
                         minion.report.cold_remaining > duration(0);
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
  fits_in_one_rack_.clear();
  for (auto& [service, views] : by_service) {
    fleet_view& fleet = fleets_[service] = fleet_view(std::move(views));
    for (std::size_t index = 0; index < fleet.Minions().size(); ++index) {
      minion_entry& minion = minions_.at(fleet.Minions()[index].id);
      minion.fleet = &fleet;
      minion.view_index = index;
      RefreshView(now, minion);
    }
    mean_capacities_[service] = MeanCapacity(fleet);
    holds_[service].OnFleetChanged();
  }
}

// Removes references to the minion; called before its entry is erased.
void work_core::impl::ForgetMinion(minion_entry& minion) {
  wakeups_.erase({minion.wakeup_at, minion.report.id});
  std::erase(dirty_minions_, &minion);
  polled_minions_.erase(minion.report.id);
  minions_with_pending_ends_.erase(minion.report.id);
  minions_with_strays_.erase(minion.report.id);
}

}  // namespace sassafras::sched

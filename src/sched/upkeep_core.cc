#include "sassafras/sched/upkeep_core.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sassafras::sched {
namespace {

// Interval between orders to a machine that had no effect or no answer.
constexpr duration kOrderInterval = std::chrono::milliseconds(500);
// Time that a machine is down for its upkeep. It is reserved from the time of
// each batch.
constexpr duration kUpkeepDuration = std::chrono::seconds(3);
// Runs are stopped after this time, even if the wave's deadline allows more.
constexpr duration kMaxDrainTime = std::chrono::seconds(20);

}  // namespace

upkeep_core::upkeep_core(std::string holder,
                         std::uint64_t fence,
                         counter_table& counters)
    : holder_(std::move(holder)), fence_(fence), counters_(counters) {}

void upkeep_core::OnWave(instant now, const upkeep_wave& wave) {
  if (waves_.contains(wave.number)) {
    return;
  }
  wave_entry entry;
  entry.wave = wave;
  entry.first_seen = now;
  for (const std::string& id : wave.machines) {
    machine_entry machine;
    machine.id = id;
    entry.machines.push_back(std::move(machine));
  }
  waves_[wave.number] = std::move(entry);
}

// A machine has finished its upkeep if the list shows it up with another minion
// than before. A machine that is not in the list has been removed and counts as
// finished, too.
void upkeep_core::OnMachines(instant now,
                             const std::vector<machine_row>& machines) {
  machines_.clear();
  for (const machine_row& row : machines) {
    machines_[row.id] = row;
  }
  has_machine_list_ = true;
  for (auto& [number, wave] : waves_) {
    for (machine_entry& machine : wave.machines) {
      const auto row = machines_.find(machine.id);
      const bool is_down = machine.current_phase == phase::kDown;
      const bool is_back =
          row != machines_.end() && row->second.state == machine_state::kUp &&
          row->second.minion != machine.minion && now > machine.phase_start;
      if (row == machines_.end() || (is_down && is_back)) {
        machine.current_phase = phase::kFinished;
      }
    }
  }
}

upkeep_core::machine_entry* upkeep_core::FindMachine(
    std::int64_t wave,
    const std::string& machine) {
  const auto entry = waves_.find(wave);
  if (entry == waves_.end()) {
    return nullptr;
  }
  const auto it = std::find_if(
      entry->second.machines.begin(), entry->second.machines.end(),
      [&](const machine_entry& item) { return item.id == machine; });
  return it == entry->second.machines.end() ? nullptr : &*it;
}

void upkeep_core::OnOrdered(instant now,
                            const upkeep_order& order,
                            upkeep_outcome outcome) {
  machine_entry* machine = FindMachine(order.wave, order.machine);
  if (machine == nullptr) {
    return;
  }
  machine->is_order_in_flight = false;
  switch (outcome) {
    case upkeep_outcome::kBegun:
      counters_.Add("upkeep_begun");
      machine->current_phase = phase::kDown;
      machine->phase_start = now;
      return;
    case upkeep_outcome::kNotInWave:
    case upkeep_outcome::kUnknownMachine:
      counters_.Add("upkeep_not_possible");
      machine->current_phase = phase::kFinished;
      return;
    case upkeep_outcome::kBusy:
    case upkeep_outcome::kFenced:
    case upkeep_outcome::kThrottled:
    case upkeep_outcome::kUnknown:
      counters_.Add("upkeep_order_repeated");
      machine->next_order = now + kOrderInterval;
      return;
  }
}

upkeep_actions upkeep_core::Decide(instant now, const hooks& work) {
  upkeep_actions actions;
  for (auto& [number, wave] : waves_) {
    if (wave.is_complete) {
      continue;
    }
    actions.needs_machine_list = true;
    if (!wave.is_status_reported) {
      wave.is_status_reported = true;
      actions.statuses.push_back({number, false});
    }
    if (has_machine_list_) {
      AdvanceWave(now, wave, work, actions);
    }
  }
  return actions;
}

void upkeep_core::AdvanceWave(instant now,
                              wave_entry& wave,
                              const hooks& work,
                              upkeep_actions& actions) {
  int busy = 0;
  for (const machine_entry& machine : wave.machines) {
    busy += machine.current_phase == phase::kDraining ||
                    machine.current_phase == phase::kOrdered ||
                    machine.current_phase == phase::kDown
                ? 1
                : 0;
  }
  for (machine_entry& machine : wave.machines) {
    if (machine.current_phase == phase::kWaiting &&
        busy < wave.wave.max_concurrent) {
      machine.current_phase = phase::kDraining;
      machine.phase_start = now;
      machine.minion = machines_[machine.id].minion;
      ++busy;
    }
    if (machine.current_phase == phase::kDraining ||
        machine.current_phase == phase::kOrdered) {
      DrainAndOrder(now, wave, machine, work, actions);
    }
  }
  // The wave is complete when the upkeep of each machine has started; the
  // machines need not be up again.
  const bool is_complete =
      std::all_of(wave.machines.begin(), wave.machines.end(),
                  [](const machine_entry& machine) {
                    return machine.current_phase == phase::kDown ||
                           machine.current_phase == phase::kFinished;
                  });
  if (is_complete) {
    wave.is_complete = true;
    actions.statuses.push_back({wave.wave.number, true});
  }
}

void upkeep_core::DrainAndOrder(instant now,
                                wave_entry& wave,
                                machine_entry& machine,
                                const hooks& work,
                                upkeep_actions& actions) {
  if (machine.current_phase == phase::kDraining) {
    if (!machine.minion.empty()) {
      work.cordon(machine.minion, true);
      if (!work.drain(machine.minion, IsShortOfTime(now, wave, machine))) {
        return;
      }
    }
    machine.current_phase = phase::kOrdered;
    machine.phase_start = now;
  }
  if (machine.is_order_in_flight || now < machine.next_order) {
    return;
  }
  machine.is_order_in_flight = true;
  actions.orders.push_back({machine.id, wave.wave.number, holder_, fence_});
}

// Whether the wave has no time left to wait for the machine's runs to end. The
// remaining time is divided equally among the remaining batches of machines.
bool upkeep_core::IsShortOfTime(instant now,
                                const wave_entry& wave,
                                const machine_entry& machine) const {
  int remaining = 0;
  for (const machine_entry& other : wave.machines) {
    remaining += other.current_phase == phase::kWaiting ||
                         other.current_phase == phase::kDraining
                     ? 1
                     : 0;
  }
  const int max_down = std::max(1, wave.wave.max_concurrent);
  const int batches = std::max(1, (remaining + max_down - 1) / max_down);
  const duration time_left = wave.first_seen + wave.wave.deadline - now;
  const duration batch_time = time_left / batches - kUpkeepDuration;
  return now - machine.phase_start > std::min(batch_time, kMaxDrainTime);
}

}  // namespace sassafras::sched

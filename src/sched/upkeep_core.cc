#include "sassafras/sched/upkeep_core.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sassafras::sched {
namespace {

// An order without effect or answer is sent again after it.
constexpr duration kOrderInterval = std::chrono::milliseconds(500);
// A machine is down for about so long; part of a wave's time is kept for it.
constexpr duration kUpkeepTime = std::chrono::seconds(3);
// Runs may end by themselves for so long, however much time a wave has.
constexpr duration kLongestWait = std::chrono::seconds(20);

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
  entry.appeared = now;
  for (const std::string& id : wave.machines) {
    machine_entry machine;
    machine.id = id;
    entry.machines.push_back(std::move(machine));
  }
  waves_[wave.number] = std::move(entry);
}

// A machine is back when it is up with another minion than before, and gone
// for good when the list does not name it.
void upkeep_core::OnMachines(instant now,
                             const std::vector<machine_row>& machines) {
  machines_.clear();
  for (const machine_row& row : machines) {
    machines_[row.id] = row;
  }
  has_list_ = true;
  for (auto& [number, wave] : waves_) {
    for (machine_entry& machine : wave.machines) {
      const auto row = machines_.find(machine.id);
      const bool is_down = machine.at == phase::kDown;
      const bool is_back =
          row != machines_.end() && row->second.state == machine_state::kUp &&
          row->second.minion != machine.minion && now > machine.since;
      if (row == machines_.end() || (is_down && is_back)) {
        machine.at = phase::kFinished;
      }
    }
  }
}

upkeep_core::machine_entry* upkeep_core::Find(std::int64_t wave,
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
  machine_entry* machine = Find(order.wave, order.machine);
  if (machine == nullptr) {
    return;
  }
  machine->is_order_out = false;
  switch (outcome) {
    case upkeep_outcome::kBegun:
      counters_.Add("upkeep_begun");
      machine->at = phase::kDown;
      machine->since = now;
      return;
    case upkeep_outcome::kNotInWave:
    case upkeep_outcome::kUnknownMachine:
      counters_.Add("upkeep_not_possible");
      machine->at = phase::kFinished;
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
    if (!wave.is_announced) {
      wave.is_announced = true;
      actions.statuses.push_back({number, false});
    }
    if (has_list_) {
      Advance(now, wave, work, actions);
    }
  }
  return actions;
}

void upkeep_core::Advance(instant now,
                          wave_entry& wave,
                          const hooks& work,
                          upkeep_actions& actions) {
  int busy = 0;
  for (const machine_entry& machine : wave.machines) {
    busy += machine.at == phase::kClearing || machine.at == phase::kOrdered ||
                    machine.at == phase::kDown
                ? 1
                : 0;
  }
  for (machine_entry& machine : wave.machines) {
    if (machine.at == phase::kWaiting && busy < wave.wave.max_concurrent) {
      machine.at = phase::kClearing;
      machine.since = now;
      machine.minion = machines_[machine.id].minion;
      ++busy;
    }
    if (machine.at == phase::kClearing || machine.at == phase::kOrdered) {
      Clear(now, wave, machine, work, actions);
    }
  }
  // A machine that has begun counts, whether it is back or not.
  const bool is_complete = std::all_of(
      wave.machines.begin(), wave.machines.end(),
      [](const machine_entry& machine) {
        return machine.at == phase::kDown || machine.at == phase::kFinished;
      });
  if (is_complete) {
    wave.is_complete = true;
    actions.statuses.push_back({wave.wave.number, true});
  }
}

void upkeep_core::Clear(instant now,
                        wave_entry& wave,
                        machine_entry& machine,
                        const hooks& work,
                        upkeep_actions& actions) {
  if (machine.at == phase::kClearing) {
    if (!machine.minion.empty()) {
      work.cordon(machine.minion, true);
      if (!work.drain(machine.minion, IsPressed(now, wave, machine))) {
        return;
      }
    }
    machine.at = phase::kOrdered;
    machine.since = now;
  }
  if (machine.is_order_out || now < machine.next_order) {
    return;
  }
  machine.is_order_out = true;
  actions.orders.push_back({machine.id, wave.wave.number, holder_, fence_});
}

// Whether the wave's time no longer allows to wait for runs to end: each turn
// has its share of what is left.
bool upkeep_core::IsPressed(instant now,
                            const wave_entry& wave,
                            const machine_entry& machine) const {
  int left = 0;
  for (const machine_entry& other : wave.machines) {
    left += other.at == phase::kWaiting || other.at == phase::kClearing ? 1 : 0;
  }
  const int most = std::max(1, wave.wave.max_concurrent);
  const int turns = std::max(1, (left + most - 1) / most);
  const duration time_left = wave.appeared + wave.wave.deadline - now;
  const duration turn = time_left / turns - kUpkeepTime;
  return now - machine.since > std::min(turn, kLongestWait);
}

}  // namespace sassafras::sched

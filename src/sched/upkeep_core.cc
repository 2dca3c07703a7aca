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
                         instant now,
                         const std::vector<wave_record>& records,
                         counter_table& counters)
    : holder_(std::move(holder)),
      fence_(fence),
      tenure_began_at_(now),
      counters_(counters) {
  for (const wave_record& record : records) {
    records_[record.wave] = record;
  }
}

void upkeep_core::OnWave(instant first_seen, const upkeep_wave& wave) {
  if (waves_.contains(wave.number)) {
    return;
  }
  wave_entry entry;
  entry.wave = wave;
  entry.first_seen = first_seen;
  for (const std::string& id : wave.machines) {
    machine_entry machine;
    machine.id = id;
    entry.machines.push_back(std::move(machine));
  }
  const auto record = records_.find(wave.number);
  if (record == records_.end()) {
    entry.change = 1;  // The operator is told of the wave.
  } else {
    Restore(entry, record->second);
  }
  waves_[wave.number] = std::move(entry);
}

// Machines that were selected keep their place within the limit of the wave,
// since their orders may have been or may still be carried out.
void upkeep_core::Restore(wave_entry& wave, const wave_record& record) const {
  wave.is_complete = record.is_complete;
  for (machine_entry& machine : wave.machines) {
    const auto recorded =
        std::find_if(record.machines.begin(), record.machines.end(),
                     [&](const recorded_upkeep& item) {
                       return item.machine == machine.id;
                     });
    if (record.is_complete) {
      machine.current_phase = phase::kFinished;
    }
    if (recorded == record.machines.end()) {
      continue;
    }
    machine.is_selected = true;
    machine.minion = recorded->minion;
    machine.is_settled = recorded->is_settled;
    if (!record.is_complete) {
      machine.current_phase =
          recorded->is_settled ? phase::kDown : phase::kDraining;
      machine.phase_start = tenure_began_at_;
    }
  }
}

wave_record upkeep_core::RecordOf(const wave_entry& wave) {
  wave_record record;
  record.wave = wave.wave.number;
  record.is_complete = wave.is_complete;
  for (const machine_entry& machine : wave.machines) {
    if (machine.is_selected) {
      record.machines.push_back(
          {machine.id, machine.minion, machine.is_settled});
    }
  }
  return record;
}

// Whether `row` shows that the upkeep of the machine is over. If an earlier
// order had already taken effect, the machine keeps its minion, and only the
// time that an upkeep takes tells that it is over.
bool upkeep_core::IsBack(instant sent,
                         const machine_entry& machine,
                         const machine_row& row) {
  const bool has_other_minion =
      row.minion != machine.minion && sent > machine.phase_start;
  return row.state == machine_state::kUp &&
         (has_other_minion || sent > machine.phase_start + kUpkeepDuration);
}

// A machine that is not in the list has been removed and counts as finished,
// too.
void upkeep_core::OnMachines(instant sent,
                             const std::vector<machine_row>& machines) {
  machines_.clear();
  for (const machine_row& row : machines) {
    machines_[row.id] = row;
  }
  has_machine_list_ = true;
  for (auto& [number, wave] : waves_) {
    for (machine_entry& machine : wave.machines) {
      const auto row = machines_.find(machine.id);
      if (row == machines_.end() || (machine.current_phase == phase::kDown &&
                                     IsBack(sent, machine, row->second))) {
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
      break;
    case upkeep_outcome::kNotInWave:
    case upkeep_outcome::kUnknownMachine:
      counters_.Add("upkeep_not_possible");
      machine->current_phase = phase::kFinished;
      break;
    case upkeep_outcome::kBusy:
    case upkeep_outcome::kFenced:
    case upkeep_outcome::kThrottled:
    case upkeep_outcome::kUnknown:
      counters_.Add("upkeep_order_repeated");
      machine->next_order = now + kOrderInterval;
      return;
  }
  machine->phase_start = now;
  machine->is_settled = true;
  ++waves_.at(order.wave).change;
}

void upkeep_core::OnRecorded(std::int64_t wave, bool is_durable) {
  const auto it = waves_.find(wave);
  if (it == waves_.end()) {
    return;
  }
  wave_entry& entry = it->second;
  entry.is_record_in_flight = false;
  if (is_durable) {
    entry.last_durable_change = entry.sent_change;
  } else {
    counters_.Add("upkeep_record_repeated");
  }
}

upkeep_actions upkeep_core::Decide(instant now, const hooks& work) {
  upkeep_actions actions;
  for (auto& [number, wave] : waves_) {
    if (!wave.is_complete && has_machine_list_) {
      AdvanceWave(now, wave, work, actions);
    }
    const bool is_any_down =
        std::any_of(wave.machines.begin(), wave.machines.end(),
                    [](const machine_entry& machine) {
                      return machine.current_phase == phase::kDown;
                    });
    actions.needs_machine_list |= !wave.is_complete || is_any_down;
    if (!wave.is_record_in_flight && wave.change > wave.last_durable_change) {
      wave.is_record_in_flight = true;
      wave.sent_change = wave.change;
      actions.records.push_back(RecordOf(wave));
    }
  }
  UpdateCordons(work);
  return actions;
}

// The minions of machines whose upkeep is due or under way are cordoned. The
// hook is called again each time, since the minion may have become known to it
// only now.
void upkeep_core::UpdateCordons(const hooks& work) {
  std::set<std::string> cordoned;
  for (const auto& [number, wave] : waves_) {
    for (const machine_entry& machine : wave.machines) {
      const bool is_under_way = machine.current_phase == phase::kDraining ||
                                machine.current_phase == phase::kOrdered ||
                                machine.current_phase == phase::kDown;
      if (is_under_way && !machine.minion.empty()) {
        cordoned.insert(machine.minion);
      }
    }
  }
  for (const std::string& minion : cordoned_minions_) {
    if (!cordoned.contains(minion)) {
      work.cordon(minion, false);
    }
  }
  for (const std::string& minion : cordoned) {
    work.cordon(minion, true);
  }
  cordoned_minions_ = std::move(cordoned);
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
      SelectMachine(now, wave, machine);
      ++busy;
    }
    if (machine.current_phase == phase::kDraining ||
        machine.current_phase == phase::kOrdered) {
      DrainAndOrder(now, wave, machine, work, actions);
    }
  }
  // The wave is complete when the upkeep of each machine has started; the
  // machines need not be up again.
  wave.is_complete =
      std::all_of(wave.machines.begin(), wave.machines.end(),
                  [](const machine_entry& machine) {
                    return machine.current_phase == phase::kDown ||
                           machine.current_phase == phase::kFinished;
                  });
  wave.change += wave.is_complete ? 1 : 0;
}

std::string upkeep_core::MinionOf(const machine_entry& machine) const {
  const auto row = machines_.find(machine.id);
  return row == machines_.end() ? std::string() : row->second.minion;
}

void upkeep_core::SelectMachine(instant now,
                                wave_entry& wave,
                                machine_entry& machine) {
  machine.current_phase = phase::kDraining;
  machine.phase_start = now;
  machine.is_selected = true;
  machine.minion = MinionOf(machine);
  machine.record_change = ++wave.change;
}

// The minion is drained again before a repeated order, since it may have
// started runs that the first order would not have met.
void upkeep_core::DrainAndOrder(instant now,
                                wave_entry& wave,
                                machine_entry& machine,
                                const hooks& work,
                                upkeep_actions& actions) {
  const std::string minion = MinionOf(machine);
  if (machine.current_phase == phase::kDraining && !minion.empty() &&
      minion != machine.minion) {
    machine.minion = minion;  // The minion was replaced by another.
    machine.record_change = ++wave.change;
  }
  if (!machine.minion.empty()) {
    work.cordon(machine.minion, true);
    if (!work.drain(machine.minion, IsShortOfTime(now, wave, machine))) {
      return;
    }
  }
  if (wave.last_durable_change < machine.record_change) {
    return;
  }
  if (machine.current_phase == phase::kDraining) {
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

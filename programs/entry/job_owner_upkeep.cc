#include "programs/entry/job_owner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "sassafras/sched/upkeep_codec.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

constexpr duration kUpkeepInterval = 100ms;
// The platform limits the rate of reads of the machine list for all processes
// together.
constexpr duration kMachineListInterval = 500ms;

}  // namespace

// Reads what earlier owners have recorded of the waves. No upkeep is decided
// before that, since their orders may have been carried out.
void job_owner::LoadWaves(std::uint64_t tenure) {
  LoadTable(tenure, {sched::kWaveTable},
            [self = shared_from_this(), tenure](const read_answer& answer) {
              self->OnWavesLoaded(tenure, answer);
            });
}

void job_owner::OnWavesLoaded(std::uint64_t tenure, const read_answer& answer) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    std::vector<sched::wave_record> records;
    wave_versions_.clear();
    for (const table_row& row : answer.rows) {
      const auto record = sched::DecodeWaveRecord(row.value);
      if (record) {
        records.push_back(record.value());
        wave_versions_[record.value().wave].record = row.version;
      } else {
        counters_.Add("wave_record_malformed");
        LogEvent("wave_record_malformed",
                 {{"key", row.key}, {"detail", record.error().detail}});
      }
    }
    upkeep_ = std::make_unique<sched::upkeep_core>(
        settings_.id.value, fence_, hooks_.now(), records, counters_);
    for (const auto& [number, known] : waves_) {
      upkeep_->OnWave(known.first_seen, known.wave);
    }
  }
  LogEvent("waves_loaded", {{"records", std::to_string(answer.rows.size())}});
  DecideUpkeep(tenure);
}

// While the tenure is suspended, nothing is decided.
void job_owner::DecideUpkeep(std::uint64_t tenure) {
  sched::upkeep_actions actions;
  bool is_list_due = false;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    const instant now = hooks_.now();
    sched::upkeep_core::hooks upkeep_hooks;
    upkeep_hooks.cordon = [&](const std::string& minion, bool is_cordoned) {
      core_->SetCordoned(minion, is_cordoned);
    };
    upkeep_hooks.drain = [&](const std::string& minion, bool is_forced) {
      return core_->TryDrain(now, minion, is_forced);
    };
    if (is_owner_) {
      actions = upkeep_->Decide(now, upkeep_hooks);
    }
    is_list_due = actions.needs_machine_list && !is_machine_list_pending_;
    is_machine_list_pending_ = is_machine_list_pending_ || is_list_due;
  }
  if (is_list_due) {
    ListMachines(tenure);
  }
  for (const sched::wave_record& record : actions.records) {
    WriteWave(tenure, record);
  }
  for (const sched::upkeep_order& order : actions.orders) {
    SendUpkeepOrder(tenure, order);
  }
  hooks_.after(kUpkeepInterval, [self = shared_from_this(), tenure] {
    self->DecideUpkeep(tenure);
  });
}

void job_owner::SendUpkeepOrder(std::uint64_t tenure,
                                const sched::upkeep_order& order) {
  LogEvent("upkeep_ordered",
           {{"machine", order.machine}, {"wave", std::to_string(order.wave)}});
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::upkeep_outcome outcome) {
    const std::lock_guard lock(self->mutex_);
    if (self->upkeep_ && self->tenure_ == tenure) {
      self->upkeep_->OnOrdered(self->hooks_.now(), order, outcome);
    }
  };
  if (lease_->MayAct()) {
    adapter_.machines.begin_upkeep(order, done);
  } else {
    done(sched::upkeep_outcome::kThrottled);
  }
}

void job_owner::ListMachines(std::uint64_t tenure) {
  const instant sent = hooks_.now();
  adapter_.machines.list(
      [self = shared_from_this(), tenure, sent](
          bool is_complete, const std::vector<sched::machine_row>& rows) {
        {
          const std::lock_guard lock(self->mutex_);
          if (is_complete && self->upkeep_ && self->tenure_ == tenure) {
            self->upkeep_->OnMachines(sent, rows);
          }
        }
        self->hooks_.after(kMachineListInterval, [self] {
          const std::lock_guard lock(self->mutex_);
          self->is_machine_list_pending_ = false;
        });
      });
}

// Writes the record of a wave together with the status that the operator reads.
// Not retried here: the core repeats a record that is not durable.
void job_owner::WriteWave(std::uint64_t tenure,
                          const sched::wave_record& record) {
  table_write status =
      adapter_.encode_wave_status({record.wave, record.is_complete});
  table_write progress{sched::WaveKey(record.wave), 0,
                       sched::EncodeWaveRecord(record)};
  {
    const std::lock_guard lock(mutex_);
    const wave_versions& versions = wave_versions_[record.wave];
    progress.expected_version = versions.record;
    status.expected_version = versions.status;
  }
  const std::string status_key = status.key;
  lease_->Commit({std::move(progress), std::move(status)},
                 [self = shared_from_this(), tenure, record,
                  status_key](const commit_answer& answer) {
                   self->OnWaveWritten(tenure, record, status_key, answer);
                 });
}

// After a conflict, the next write expects the versions that are there: only
// the owner writes these rows, so that they are its own or an earlier owner's.
void job_owner::OnWaveWritten(std::uint64_t tenure,
                              const sched::wave_record& record,
                              const std::string& status_key,
                              const commit_answer& answer) {
  const bool is_durable = answer.state == answer_state::kDone;
  {
    const std::lock_guard lock(mutex_);
    if (!upkeep_ || tenure_ != tenure) {
      return;
    }
    wave_versions& versions = wave_versions_[record.wave];
    if (const auto* row = FindRow(answer.rows, sched::WaveKey(record.wave))) {
      versions.record = row->version;
    }
    if (const auto* row = FindRow(answer.rows, status_key)) {
      versions.status = row->version;
    }
    upkeep_->OnRecorded(record.wave, is_durable);
  }
  const auto settled = std::count_if(
      record.machines.begin(), record.machines.end(),
      [](const sched::recorded_upkeep& item) { return item.is_settled; });
  LogEvent(is_durable ? "wave_status" : "wave_not_written",
           {{"wave", std::to_string(record.wave)},
            {"state", record.is_complete ? "complete" : "running"},
            {"selected", std::to_string(record.machines.size())},
            {"settled", std::to_string(settled)},
            {"store", std::string(GetName(answer.state))}});
}

}  // namespace sassafras

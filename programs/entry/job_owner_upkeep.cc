#include "programs/entry/job_owner.h"

#include <chrono>
#include <utility>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

constexpr duration kUpkeepInterval = 100ms;
// The platform limits the rate of reads of the machine list for all processes
// together.
constexpr duration kMachineListInterval = 500ms;

}  // namespace

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
    actions = upkeep_->Decide(now, upkeep_hooks);
    is_list_due = actions.needs_machine_list && !is_machine_list_pending_;
    is_machine_list_pending_ = is_machine_list_pending_ || is_list_due;
  }
  if (is_list_due) {
    ListMachines(tenure);
  }
  for (const sched::wave_status& status : actions.statuses) {
    WriteWaveStatus(tenure, status, 0);
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
  adapter_.machines.list(
      [self = shared_from_this(), tenure](
          bool is_complete, const std::vector<sched::machine_row>& rows) {
        {
          const std::lock_guard lock(self->mutex_);
          if (is_complete && self->upkeep_ && self->tenure_ == tenure) {
            self->upkeep_->OnMachines(self->hooks_.now(), rows);
          }
        }
        self->hooks_.after(kMachineListInterval, [self] {
          const std::lock_guard lock(self->mutex_);
          self->is_machine_list_pending_ = false;
        });
      });
}

// Writes the status of a wave, with retries until it is stored. After a
// conflict it expects the version of the row that is there.
void job_owner::WriteWaveStatus(std::uint64_t tenure,
                                const sched::wave_status& status,
                                std::uint64_t expected_version) {
  table_write write = adapter_.encode_wave_status(status);
  write.expected_version = expected_version;
  const std::string key = write.key;
  lease_->Commit(
      {std::move(write)}, [self = shared_from_this(), tenure, status, key,
                           expected_version](const commit_answer& answer) {
        if (answer.state == answer_state::kDone) {
          LogEvent("wave_status",
                   {{"wave", std::to_string(status.wave)},
                    {"state", status.is_complete ? "complete" : "running"}});
          return;
        }
        {
          const std::lock_guard lock(self->mutex_);
          if (!self->core_ || self->tenure_ != tenure) {
            return;
          }
        }
        const table_row* row = FindRow(answer.rows, key);
        const std::uint64_t version =
            row == nullptr ? expected_version : row->version;
        if (!status.is_complete && version != 0) {
          return;  // An earlier owner has announced or completed the wave.
        }
        self->hooks_.after(kRetryDelay, [self, tenure, status, version] {
          self->WriteWaveStatus(tenure, status, version);
        });
      });
}

}  // namespace sassafras

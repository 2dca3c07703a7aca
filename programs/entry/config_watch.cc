#include "programs/entry/config_watch.h"

#include <chrono>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

// The store answers a long poll of the change feed after this time at the
// latest, which keeps the age of the configuration well below the bound on
// revoked keys.
constexpr duration kLongPollTimeout = std::chrono::milliseconds(1000);
// Upper bound of rows in one scan of the operator's table, which holds the
// configuration and the upkeep waves.
constexpr std::size_t kMaxRowsPerScan = 500;
// Delay after a failed scan or long poll before the table is scanned again.
constexpr duration kRetryDelay = std::chrono::milliseconds(150);

}  // namespace

std::shared_ptr<config_watch> config_watch::Make(
    const platform_adapter& adapter,
    counter_table& counters,
    hooks hooks) {
  return std::shared_ptr<config_watch>(
      new config_watch(adapter, counters, std::move(hooks)));
}

config_watch::config_watch(const platform_adapter& adapter,
                           counter_table& counters,
                           hooks hooks)
    : adapter_(adapter), counters_(counters), hooks_(std::move(hooks)) {}

void config_watch::Start() {
  ReadTable();
}

sched::service_config_ptr config_watch::Current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

duration config_watch::Age() const {
  const std::lock_guard lock(mutex_);
  return current_ ? hooks_.now() - confirmed_at_ : duration::max();
}

void config_watch::Retry(void (config_watch::*step)()) {
  hooks_.after(kRetryDelay, [weak = weak_from_this(), step] {
    if (const auto alive = weak.lock()) {
      (alive.get()->*step)();
    }
  });
}

void config_watch::ReadTable() {
  const instant sent = hooks_.now();
  adapter_.table.scan(
      adapter_.config_table, "", kMaxRowsPerScan,
      [self = shared_from_this(), sent](const read_answer& answer) {
        if (answer.state != answer_state::kDone) {
          self->counters_.Add("config_read_failed");
          self->Retry(&config_watch::ReadTable);
          return;
        }
        for (const table_row& row : answer.rows) {
          self->ApplyRow(row);
        }
        {
          const std::lock_guard lock(self->mutex_);
          self->evacuations_.OnScan(sent, answer.store_version,
                                    self->EvacuationRows(answer.rows));
        }
        self->RecordConfirmation(sent, answer.store_version);
        self->FollowTable();
      });
}

void config_watch::FollowTable() {
  std::uint64_t after = 0;
  {
    const std::lock_guard lock(mutex_);
    after = store_version_;
  }
  const instant sent = hooks_.now();
  adapter_.table.follow(
      adapter_.config_table, after, kLongPollTimeout,
      [self = shared_from_this(), sent](const follow_answer& answer) {
        if (answer.is_history_truncated) {
          self->counters_.Add("config_history_gone");
          self->ReadTable();
          return;
        }
        if (answer.state != answer_state::kDone) {
          self->counters_.Add("config_follow_failed");
          self->Retry(&config_watch::ReadTable);
          return;
        }
        for (const table_row& row : answer.rows) {
          self->ApplyRow(row);
        }
        {
          const std::lock_guard lock(self->mutex_);
          self->evacuations_.OnChanges(sent, answer.store_version,
                                       self->EvacuationRows(answer.rows));
        }
        self->RecordConfirmation(sent, answer.store_version);
        self->FollowTable();
      });
}

sched::evacuations config_watch::Evacuations() const {
  const std::lock_guard lock(mutex_);
  return evacuations_;
}

std::vector<sched::evacuation_row> config_watch::EvacuationRows(
    const std::vector<table_row>& rows) const {
  std::vector<sched::evacuation_row> evacuated;
  for (const table_row& row : rows) {
    if (const auto decoded = adapter_.decode_evacuation(row)) {
      LogEvent("evacuation",
               {{"place", decoded->place},
                {"withdrawn", decoded->is_withdrawn ? "yes" : "no"},
                {"version", std::to_string(row.version)}});
      evacuated.push_back(*decoded);
    }
  }
  return evacuated;
}

void config_watch::ApplyRow(const table_row& row) {
  if (row.is_erased || adapter_.decode_evacuation(row)) {
    return;
  }
  if (row.key == adapter_.config_key) {
    AdoptConfig(row);
  } else {
    hooks_.on_row(row);
  }
}

void config_watch::AdoptConfig(const table_row& row) {
  auto decoded = adapter_.decode_config(row.value);
  if (!decoded) {
    counters_.Add("config_malformed");
    LogEvent("config_malformed", {{"detail", decoded.error().detail}});
    return;
  }
  const auto config =
      std::make_shared<const sched::service_config>(std::move(decoded.value()));
  {
    const std::lock_guard lock(mutex_);
    if (current_ && config->version <= current_->version) {
      return;
    }
    current_ = config;
  }
  LogEvent("config_in_force",
           {{"version", std::to_string(config->version)},
            {"queues", std::to_string(config->queues.size())}});
  hooks_.on_config(config);
}

void config_watch::RecordConfirmation(instant sent,
                                      std::uint64_t store_version) {
  const std::lock_guard lock(mutex_);
  confirmed_at_ = std::max(confirmed_at_, sent);
  store_version_ = std::max(store_version_, store_version);
}

}  // namespace sassafras

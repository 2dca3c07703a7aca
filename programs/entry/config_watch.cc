#include "programs/entry/config_watch.h"

#include <chrono>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

// The store answers a feed at the latest after it, so that the age of the
// configuration stays well below the bound on taken keys.
constexpr duration kFeedWait = std::chrono::milliseconds(1000);
// Rows of the operator's table in one read: the configuration and waves.
constexpr std::size_t kMaxRows = 500;
// Pause before a read or feed that failed is tried again.
constexpr duration kRetryPause = std::chrono::milliseconds(150);

}  // namespace

std::shared_ptr<config_watch> config_watch::Make(const outside& world,
                                                 counter_table& counters,
                                                 hooks program) {
  return std::shared_ptr<config_watch>(
      new config_watch(world, counters, std::move(program)));
}

config_watch::config_watch(const outside& world,
                           counter_table& counters,
                           hooks program)
    : world_(world), counters_(counters), program_(std::move(program)) {}

void config_watch::Start() {
  Read();
}

sched::service_config_ptr config_watch::Current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

duration config_watch::Age() const {
  const std::lock_guard lock(mutex_);
  return current_ ? program_.now() - confirmed_at_ : duration::max();
}

void config_watch::Retry(void (config_watch::*step)()) {
  program_.after(kRetryPause, [weak = weak_from_this(), step] {
    if (const auto alive = weak.lock()) {
      (alive.get()->*step)();
    }
  });
}

void config_watch::Read() {
  const instant sent = program_.now();
  world_.table.scan(
      world_.config_table, "", kMaxRows,
      [self = shared_from_this(), sent](const read_answer& answer) {
        if (answer.state != answer_state::kDone) {
          self->counters_.Add("config_read_failed");
          self->Retry(&config_watch::Read);
          return;
        }
        for (const table_row& row : answer.rows) {
          self->Take(row);
        }
        self->Confirm(sent, answer.store_version);
        self->Follow();
      });
}

void config_watch::Follow() {
  std::uint64_t after = 0;
  {
    const std::lock_guard lock(mutex_);
    after = store_version_;
  }
  const instant sent = program_.now();
  world_.table.follow(
      world_.config_table, after, kFeedWait,
      [self = shared_from_this(), sent](const follow_answer& answer) {
        if (answer.is_history_gone) {
          self->counters_.Add("config_history_gone");
          self->Read();
          return;
        }
        if (answer.state != answer_state::kDone) {
          self->counters_.Add("config_follow_failed");
          self->Retry(&config_watch::Read);
          return;
        }
        for (const table_row& row : answer.rows) {
          self->Take(row);
        }
        self->Confirm(sent, answer.store_version);
        self->Follow();
      });
}

void config_watch::Take(const table_row& row) {
  if (row.is_erased) {
    return;
  }
  if (row.key == world_.config_key) {
    Adopt(row);
  } else {
    program_.on_row(row);
  }
}

void config_watch::Adopt(const table_row& row) {
  auto decoded = world_.decode_config(row.value);
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
  program_.on_config(config);
}

void config_watch::Confirm(instant sent, std::uint64_t store_version) {
  const std::lock_guard lock(mutex_);
  confirmed_at_ = std::max(confirmed_at_, sent);
  store_version_ = std::max(store_version_, store_version);
}

}  // namespace sassafras

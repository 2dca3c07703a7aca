#ifndef SASSAFRAS_PROGRAMS_ENTRY_CALLER_SERVICE_H_
#define SASSAFRAS_PROGRAMS_ENTRY_CALLER_SERVICE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "programs/entry/config_watch.h"
#include "programs/entry/entry_settings.h"
#include "programs/entry/outside.h"
#include "programs/entry/store_watch.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/net/http_server.h"
#include "sassafras/sched/acceptance.h"
#include "sassafras/telemetry/metrics.h"

namespace sassafras {

/// Answers callers: takes jobs in, tells their state, cancels them. A job is
/// accepted when it is stored. Safe to use from several threads.
class caller_service : public std::enable_shared_from_this<caller_service> {
 public:
  struct parts {
    const outside& world;
    const table_port& table;
    const store_watch& store;
    const config_watch& config;
    const entry_settings& settings;
    counter_table& counters;
    metrics& measured;
    std::function<instant()> now;
  };

  static std::shared_ptr<caller_service> Make(parts given);

  /// Answers one call.
  void Handle(http_exchange exchange);

  /// Whether this process should get new connections.
  bool IsReady() const;

  /// Calls that are not answered yet.
  int InProgress() const { return in_progress_.load(); }

 private:
  using reply = std::function<void(sched::caller_answer)>;

  explicit caller_service(parts given);
  reply Answering(http_exchange& exchange, const std::string& what);
  void Resolve(const sched::caller_call& call, const reply& answer);
  std::optional<sched::caller_answer> CheckKey(
      const sched::caller_call& call,
      const sched::service_config& config,
      const sched::job_queue& queue) const;
  void Submit(const sched::caller_call& call,
              const sched::service_config& config,
              const sched::job_queue& queue,
              const std::string& id,
              const reply& answer);
  void Store(std::shared_ptr<sched::acceptance> deciding,
             const table_transaction& write,
             const std::string& id,
             const reply& answer);
  void AskState(const std::string& id, const reply& answer);
  void AskAccepted(const std::string& id, const reply& answer);
  void Cancel(const std::string& id, const reply& answer);
  void WriteCancel(const std::string& id, const reply& answer);
  void Count(const std::string& queue, const reply& answer);
  sched::caller_answer Refuse(error_kind kind, std::string detail) const;
  duration RetryDelay() const;

  const parts given_;
  std::atomic<int> in_progress_{0};
  mutable std::mutex random_mutex_;
  mutable random_engine random_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_CALLER_SERVICE_H_

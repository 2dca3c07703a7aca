#ifndef SASSAFRAS_PROGRAMS_ENTRY_CALLER_SERVICE_H_
#define SASSAFRAS_PROGRAMS_ENTRY_CALLER_SERVICE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "programs/entry/call_relay.h"
#include "programs/entry/config_watch.h"
#include "programs/entry/entry_settings.h"
#include "programs/entry/platform_adapter.h"
#include "programs/entry/store_watch.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/net/http_server.h"
#include "sassafras/sched/acceptance.h"
#include "sassafras/telemetry/metrics.h"

namespace sassafras {

/// HTTP service for callers: accepts jobs, reports their state and cancels
/// them. A job counts as accepted once the store has committed its row. Safe to
/// use from several threads.
class caller_service : public std::enable_shared_from_this<caller_service> {
 public:
  /// Objects that the service uses; the references must outlive it.
  struct dependencies {
    const platform_adapter& adapter;
    const table_port& table;
    const store_watch& store;
    const config_watch& config;
    const entry_settings& settings;
    counter_table& counters;
    metrics& metrics_registry;
    std::function<instant()> now;  ///< Monotonic time.
    /// Whether a call may be older than what is kept of ended jobs; see
    /// stall_watch.
    std::function<bool()> may_read_old_calls;
    /// Passes a call to another entry process; see call_relay.
    std::function<void(const http_request& request,
                       std::uint64_t min_version,
                       std::function<void(relay_answer)> done)>
        relay;
    /// Expected wait of a new job of a queue and team. Empty: no job is refused
    /// for its wait.
    std::function<duration(const std::string& queue, const std::string& team)>
        expected_wait;
  };

  static std::shared_ptr<caller_service> Make(dependencies deps);

  /// Routes one call and sends exactly one answer, possibly later and from
  /// another thread.
  void Handle(http_exchange exchange);

  /// Like Handle(), for a call that another entry process has passed on.
  void HandleRelayed(http_exchange exchange);

  /// Whether the load balancer should send new connections: the configuration
  /// is less than 2.5 s old, the store is available, and submissions are not
  /// refused as too old.
  bool IsReady() const;

  /// Number of calls that have not been answered.
  int CallsInProgress() const { return calls_in_progress_.load(); }

 private:
  using reply = std::function<void(sched::caller_answer)>;

  explicit caller_service(dependencies deps);
  reply BeginCall(const http_exchange& exchange,
                  const std::string& what,
                  bool may_relay);
  void RaiseShownVersion(std::uint64_t version);
  bool CanServe(std::uint64_t min_version) const;
  bool ShouldRelay(const sched::caller_answer& answer, duration took) const;
  void RelayCall(const http_request& request,
                 const sched::caller_answer& refusal,
                 const reply& answer,
                 const http_reply& send);
  void RouteCall(const sched::caller_call& call, const reply& answer);
  std::optional<sched::caller_answer> CheckKey(
      const sched::caller_call& call,
      const sched::service_config& config,
      const sched::job_queue& queue) const;
  void SubmitJob(const sched::caller_call& call,
                 const sched::service_config& config,
                 const sched::job_queue& queue,
                 const std::string& id,
                 const reply& answer);
  bool RefuseIfWaitTooLong(const sched::accepted_job& job, const reply& answer);
  void CommitAcceptance(std::shared_ptr<sched::acceptance> acceptance,
                        const table_transaction& write,
                        const std::string& id,
                        const reply& answer);
  void ReadJobState(const std::string& id, const reply& answer);
  void ReadAcceptedJob(const std::string& id, const reply& answer);
  void CancelJob(const std::string& id, int tries, const reply& answer);
  void RefuseUnknownJob(const std::string& id,
                        std::uint64_t version,
                        int tries,
                        const reply& answer);
  void WriteCancelMark(const std::string& id, const reply& answer);
  void ReadWaitingCount(const std::string& queue, const reply& answer);
  sched::caller_answer MakeRefusal(error_kind kind, std::string detail) const;
  duration RetryDelay() const;
  double Random() const;

  const dependencies deps_;
  std::atomic<int> calls_in_progress_{0};
  // Highest version of the configuration by which a call to this process was
  // handled. Callers must not see it fall.
  std::atomic<std::uint64_t> shown_version_{0};
  mutable std::mutex random_mutex_;
  mutable random_engine random_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_CALLER_SERVICE_H_

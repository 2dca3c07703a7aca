#ifndef SASSAFRAS_PROGRAMS_SHELL_NODE_H_
#define SASSAFRAS_PROGRAMS_SHELL_NODE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sassafras/cluster/config_follower.h"
#include "sassafras/cluster/config_peer_selector.h"
#include "sassafras/cluster/membership.h"
#include "sassafras/config/settings.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_adapters.h"
#include "sassafras/net/http_server.h"
#include "sassafras/net/nng_peers.h"
#include "sassafras/net/peer_codec.h"
#include "sassafras/telemetry/metrics.h"

namespace sassafras {

/// Returns the monotonic time.
instant Now();

/// What every process of the system has: a pool of threads over one
/// io_context, the ports to the outside, the configuration in force, and the
/// HTTP pages /healthz, /readyz, /metrics and /v1/status.
///
/// Lock order: the program's own tables, then the node's configuration or
/// members lock, then counters and metrics. No port is called with a lock held.
class node {
 public:
  /// Hooks of the program. All are called from threads of the pool.
  struct hooks {
    /// Answers requests to paths that the node does not serve itself.
    std::function<void(http_exchange)> handle;
    /// Called after a newer configuration came into force.
    std::function<void(const config_ptr&)> on_config;
    /// Called with each peer message that the node does not use itself: its
    /// kind and its whole body (MessagePack of a map).
    std::function<void(const std::string& kind, const std::string& body)>
        on_peer_message;
    /// Called with all members that live, this process included, after the
    /// list changed. Optional.
    std::function<void(const std::vector<member>&)> on_members;
    /// Called once when the process was asked to stop. The program calls
    /// `drained` when no work is left.
    std::function<void(std::function<void()> drained)> on_stop;
  };

  explicit node(process_settings settings);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Listens and runs until a graceful stop is complete. Returns the exit
  /// code.
  int Run(hooks hooks);

  /// Begins a graceful stop, as SIGTERM does. From any thread, in Run().
  void RequestStop();

  /// Calls `action` every `interval` from a thread of the pool, from Run() on.
  void Every(duration interval, std::function<void()> action);

  /// Calls `action` once after `delay`.
  void After(duration delay, std::function<void()> action);

  /// The configuration in force, empty before the first.
  config_ptr Config() const;

  /// Processes that live, this one included.
  std::vector<member> Members() const;

  /// Whether a graceful stop has begun.
  bool IsStopping() const { return is_stopping_.load(); }

  const process_settings& Settings() const { return settings_; }
  counter_table& Counters() { return counters_; }
  metrics& Metrics() { return metrics_; }
  const table_port& Table() const { return table_; }
  const object_port& Objects() const { return objects_; }
  const vm_list_port& VmList() const { return vm_list_; }
  const worker_port& Workers() const { return workers_; }
  const minion_port& Minions() const { return minions_; }
  const peer_port& Peers() const { return peers_; }
  boost::asio::io_context& Context() { return context_; }

 private:
  void PollConfig();
  void FetchConfig(const config_row& row);
  void AdoptConfig(std::uint64_t version, const std::string& content);
  void RequestConfig(const member_actions::version_seen& seen);
  void SendConfig(const peer_message& message);
  void OnConfigContent(const peer_message& message);
  bool Listen();
  void StartMembership();
  void OnPeerBytes(const std::string& bytes);
  void UpdateMembership(
      const std::function<member_actions(membership&, random_engine&)>& update);
  void ReportMembers();
  void PollVmList();
  void OnVmList(const vm_list_answer& answer);
  void HandleHttp(http_exchange exchange);
  http_response MakeStatusResponse() const;
  void WaitForSignals();
  void Stop();

  process_settings settings_;
  counter_table counters_;
  metrics metrics_;
  boost::asio::io_context context_;
  std::shared_ptr<http_client> client_;
  std::shared_ptr<http_client> minion_client_;
  std::shared_ptr<http_server> server_;
  std::shared_ptr<nng_peers> links_;
  table_port table_;
  object_port objects_;
  vm_list_port vm_list_;
  worker_port workers_;
  minion_port minions_;
  peer_port peers_;
  hooks hooks_;
  std::atomic<bool> is_stopping_{false};
  mutable std::mutex config_mutex_;
  config_follower follower_;
  config_peer_selector spread_;
  mutable std::mutex members_mutex_;
  random_engine random_;
  membership members_;
  boost::asio::strand<boost::asio::io_context::executor_type> members_strand_;
  std::vector<member> reported_members_;  // Used on members_strand_ only.
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SHELL_NODE_H_

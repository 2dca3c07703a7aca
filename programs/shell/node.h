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

/// Common parts of a gateway and a scheduler process: a thread pool over one
/// io_context, the ports to the platform and to peers, the membership, the
/// configuration in force, and the HTTP pages /healthz, /readyz, /metrics and
/// /v1/status.
///
/// Lock order: locks of the program, then the configuration or membership lock
/// of the node, then counters and metrics. No port is called with a lock held.
class node {
 public:
  /// Callbacks of the program, called from threads of the pool.
  struct hooks {
    /// Answers requests to paths that the node does not serve itself.
    std::function<void(http_exchange)> handle;
    /// Called after a newer configuration has come into force.
    std::function<void(const config_ptr&)> on_config;
    /// Called with each peer message that the node does not handle itself: its
    /// kind and the whole message (a MessagePack map). Optional.
    std::function<void(const std::string& kind, const std::string& body)>
        on_peer_message;
    /// Called with all live members, this process included, after the list has
    /// changed. Optional.
    std::function<void(const std::vector<member>&)> on_members;
    /// Called once when a graceful stop begins. The program calls `drained`
    /// when it has no work left.
    std::function<void(std::function<void()> drained)> on_stop;
  };

  explicit node(process_settings settings);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Listens and runs until a graceful stop is complete. Returns the exit code:
  /// 1 if an address cannot be listened on, else 0.
  int Run(hooks hooks);

  /// Begins a graceful stop, as SIGTERM does. May be called from any thread
  /// while Run() is running.
  void RequestStop();

  /// Calls `action` every `interval` from a thread of the pool while Run() is
  /// running.
  void Every(duration interval, std::function<void()> action);

  /// Calls `action` once after `delay` from a thread of the pool.
  void After(duration delay, std::function<void()> action);

  /// Returns the configuration in force, or null before the first.
  config_ptr Config() const;

  /// Returns the live members, this process included.
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
  config_follower config_follower_;
  config_peer_selector config_peer_selector_;
  mutable std::mutex members_mutex_;
  random_engine random_;
  membership members_;
  boost::asio::strand<boost::asio::io_context::executor_type> members_strand_;
  std::vector<member> reported_members_;  // Used on members_strand_ only.
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SHELL_NODE_H_

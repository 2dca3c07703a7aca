#ifndef SASSAFRAS_PROGRAMS_ENTRY_ENTRY_NODE_H_
#define SASSAFRAS_PROGRAMS_ENTRY_ENTRY_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

#include "programs/entry/call_relay.h"
#include "programs/entry/caller_service.h"
#include "programs/entry/config_watch.h"
#include "programs/entry/descriptor_budget.h"
#include "programs/entry/entry_settings.h"
#include "programs/entry/forecast_watch.h"
#include "programs/entry/job_owner.h"
#include "programs/entry/platform_adapter.h"
#include "programs/entry/stall_watch.h"
#include "programs/entry/status_pages.h"
#include "programs/entry/store_watch.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_client.h"
#include "sassafras/net/http_server.h"
#include "sassafras/telemetry/metrics.h"

namespace sassafras {

/// One entry process: serves callers, contends for the ownership of the jobs
/// and serves readiness, metrics and status pages.
class entry_node {
 public:
  /// Makes the platform adapter from the process's HTTP client and settings.
  using adapter_factory =
      std::function<platform_adapter(std::shared_ptr<http_client> client,
                                     const entry_settings& settings,
                                     counter_table& counters)>;

  /// `settings_path` is read again on SIGHUP.
  entry_node(entry_settings settings,
             std::string settings_path,
             const adapter_factory& make_adapter);
  ~entry_node();
  entry_node(const entry_node&) = delete;
  entry_node& operator=(const entry_node&) = delete;

  /// Listens and runs until a graceful stop (SIGTERM, SIGINT) is complete.
  /// Returns the exit code: 1 if an address cannot be listened on, else 0.
  int Run();

 private:
  bool Listen();
  std::shared_ptr<http_server> StartServer(const std::string& address,
                                           int max_connections,
                                           http_server::handler handle);
  void WaitForSignals();
  void ReloadSettings();
  void Stop();
  void FinishStop();
  void AnswerReadiness(const http_exchange& exchange);
  void After(duration delay, std::function<void()> action);

  entry_settings settings_;
  const std::string settings_path_;
  const descriptor_budget budget_;
  const std::shared_ptr<memory_budget> request_memory_;
  counter_table counters_;
  metrics metrics_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  std::shared_ptr<http_client> client_;
  platform_adapter adapter_;
  store_watch store_;
  table_port table_;
  std::shared_ptr<config_watch> config_;
  std::shared_ptr<job_owner> owner_;
  std::shared_ptr<call_relay> relay_;
  std::shared_ptr<stall_watch> stalls_;
  std::shared_ptr<forecast_watch>
      forecasts_;  // Null: admission control is off.
  std::shared_ptr<caller_service> callers_;
  std::unique_ptr<status_pages> pages_;
  std::shared_ptr<http_server> caller_server_;
  std::shared_ptr<http_server> readiness_server_;
  std::shared_ptr<http_server> status_server_;
  bool is_stopping_ = false;
  instant stop_deadline_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_ENTRY_NODE_H_

#include "programs/entry/entry_node.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

#include "programs/entry/clock.h"
#include "programs/shell/command_line.h"
#include "sassafras/net/call_after.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
// Parts of the machine's memory for requests and for answers that are held.
constexpr std::uint64_t kRequestMemoryDivisor = 8;
constexpr std::uint64_t kAnswerMemoryDivisor = 4;
constexpr std::uint64_t kBytesPerMb = 1 << 20;
// The load balancer stops sending new connections after two failed readiness
// checks one second apart. Until this share of the stop grace has passed, new
// connections are served.
constexpr double kDrainStartShareOfGrace = 0.6;
// The event loop stops after this share at the latest. The rest is for answers
// in flight and the exit itself.
constexpr double kExitShareOfGrace = 0.85;
constexpr duration kStopCheckInterval = 50ms;
// A connection to the store or a minion is closed if sent data stays
// unacknowledged for this time. It is below the shortest lease in use.
constexpr duration kTcpUserTimeout = 2s;
constexpr duration kConnectTimeout = 700ms;

// Memory for messages: `megabytes`, or if that is 0 the given part of the
// machine's memory.
std::shared_ptr<memory_budget> MakeMemoryBudget(const entry_settings& settings,
                                                int megabytes,
                                                std::uint64_t divisor) {
  const std::uint64_t machine =
      settings.memory_mb > 0
          ? static_cast<std::uint64_t>(settings.memory_mb) * kBytesPerMb
          : SystemMemoryBytes();
  return memory_budget::Make(
      megabytes > 0 ? static_cast<std::uint64_t>(megabytes) * kBytesPerMb
                    : machine / divisor);
}

http_client_options ClientOptions(const descriptor_budget& budget,
                                  const entry_settings& settings) {
  http_client_options options;
  options.max_body_bytes =
      static_cast<std::uint64_t>(settings.limits.answer_body_bytes);
  options.memory = MakeMemoryBudget(settings, settings.limits.answer_memory_mb,
                                    kAnswerMemoryDivisor);
  options.max_connections = budget.outgoing;
  options.max_idle = budget.idle;
  options.connect_timeout = kConnectTimeout;
  options.tcp_user_timeout = kTcpUserTimeout;
  return options;
}

duration Scale(duration whole, double share) {
  return std::chrono::duration_cast<duration>(whole * share);
}

}  // namespace

entry_node::entry_node(entry_settings settings,
                       std::string settings_path,
                       const adapter_factory& make_adapter)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      budget_(DivideDescriptors(settings_.descriptors > 0
                                    ? settings_.descriptors
                                    : GetDescriptorLimit())),
      request_memory_(MakeMemoryBudget(settings_,
                                       settings_.limits.request_memory_mb,
                                       kRequestMemoryDivisor)),
      metrics_(counters_),
      context_(settings_.threads),
      signals_(context_),
      client_(http_client::Make(context_,
                                ClientOptions(budget_, settings_),
                                counters_)),
      adapter_(make_adapter(client_, settings_, counters_)),
      store_(SuspendAwareNow, counters_),
      table_(store_.Wrap(adapter_.table)) {}

entry_node::~entry_node() = default;

void entry_node::After(duration delay, std::function<void()> action) {
  CallAfter(context_, delay, std::move(action));
}

int entry_node::Run() {
  StartLog(settings_.id.value, settings_.decision_lines);
  const auto after = [this](duration delay, std::function<void()> action) {
    After(delay, std::move(action));
  };
  owner_ = job_owner::Make(adapter_, table_, settings_, budget_.long_polls,
                           counters_, metrics_,
                           {SuspendAwareNow, WallUnixMs, after,
                            [this] { return config_->Evacuations(); }});
  config_ = config_watch::Make(
      adapter_, counters_,
      {SuspendAwareNow, after,
       [this](sched::service_config_ptr config) {
         owner_->OnConfig(std::move(config));
       },
       [this](const table_row& row) { owner_->OnOperatorRow(row); }});
  relay_ = call_relay::Make(
      settings_.id.value, settings_.status, table_, counters_,
      {SuspendAwareNow, after,
       [this](const std::string& address, const http_request& request,
              duration timeout, std::function<void(http_answer)> done) {
         client_->Call(address, request, connection_choice::kPooled, timeout,
                       std::move(done));
       }});
  // Half of the retention: the copy was on its way before the stall as well.
  stalls_ = stall_watch::Make(
      std::min(settings_.state_time, settings_.tombstone_time) / 2, counters_,
      {SuspendAwareNow, after});
  std::function<duration(const std::string&, const std::string&)> expected_wait;
  if (settings_.policy.admission_control) {
    forecasts_ = forecast_watch::Make(adapter_.table, counters_,
                                      {SuspendAwareNow, after});
    expected_wait = [this](const std::string& queue, const std::string& team) {
      return forecasts_->ExpectedWait(queue, team);
    };
  }
  callers_ = caller_service::Make(
      {adapter_, table_, store_, *config_, settings_, counters_, metrics_,
       SuspendAwareNow, [this] { return stalls_->MayReadOldCalls(); },
       [this](const http_request& request, std::uint64_t min_version,
              std::function<void(relay_answer)> done) {
         relay_->Relay(request, min_version, std::move(done));
       },
       std::move(expected_wait)});
  pages_ = std::make_unique<status_pages>(settings_.id.value, metrics_,
                                          *config_, store_, *owner_, *callers_,
                                          forecasts_.get());
  if (!Listen()) {
    return 1;
  }
  WaitForSignals();
  stalls_->Start();
  config_->Start();
  owner_->Start();
  relay_->Start();
  if (forecasts_) {
    forecasts_->Start();
  }
  LogEvent("process_started",
           {{"callers", settings_.callers},
            {"place", settings_.place.value},
            {"connections", std::to_string(budget_.outgoing)},
            {"version", SASSAFRAS_VERSION}});
  std::vector<std::thread> pool;
  for (int i = 1; i < settings_.threads; ++i) {
    pool.emplace_back([this] { context_.run(); });
  }
  context_.run();
  for (std::thread& thread : pool) {
    thread.join();
  }
  LogEvent("process_stopped",
           {{"cut", std::to_string(callers_->CallsInProgress())}});
  StopLog();
  return 0;
}

std::shared_ptr<http_server> entry_node::StartServer(
    const std::string& address,
    int max_connections,
    http_server::handler handle) {
  const message_limits& limits = settings_.limits;
  http_server_options options;
  options.address = address;
  options.max_body_bytes =
      static_cast<std::uint64_t>(limits.request_body_bytes);
  options.max_header_bytes =
      static_cast<std::uint32_t>(limits.request_header_bytes);
  options.max_header_fields = limits.request_header_fields;
  options.max_connections = max_connections;
  options.memory = request_memory_;
  options.on_limit = [](client_limit limit, const std::string& at) {
    LogDecision("client_limit",
                {{"limit", std::string(GetName(limit))}, {"address", at}});
  };
  auto server =
      http_server::Make(context_, options, counters_, std::move(handle));
  if (!server) {
    std::cerr << server.error().detail << '\n';
    return nullptr;
  }
  return server.value();
}

bool entry_node::Listen() {
  caller_server_ = StartServer(settings_.callers, budget_.callers,
                               [this](http_exchange exchange) {
                                 callers_->Handle(std::move(exchange));
                               });
  readiness_server_ = StartServer(
      settings_.readiness, budget_.readiness,
      [this](const http_exchange& exchange) { AnswerReadiness(exchange); });
  status_server_ = StartServer(
      settings_.status, budget_.status, [this](const http_exchange& exchange) {
        if (!exchange.request.Header(kRelayedHeader).empty()) {
          callers_->HandleRelayed(exchange);
        } else {
          exchange.reply(pages_->Answer(exchange.request.path));
        }
      });
  return caller_server_ && readiness_server_ && status_server_;
}

void entry_node::AnswerReadiness(const http_exchange& exchange) {
  http_response response;
  const bool is_ready = !is_stopping_ && callers_->IsReady();
  response.status = is_ready ? kOk : kServiceUnavailable;
  response.body = is_ready ? "{\"ready\":true}" : "{\"ready\":false}";
  exchange.reply(std::move(response));
}

void entry_node::WaitForSignals() {
  boost::system::error_code ignored;
  signals_.clear(ignored);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  signals_.async_wait(
      [this](const boost::system::error_code& code, int signal) {
        if (code) {
          return;
        }
        if (signal == SIGHUP) {
          ReloadSettings();
          WaitForSignals();
        } else {
          Stop();
        }
      });
}

// Applies only the stop grace and the revocation bound: other settings, such as
// addresses, stay fixed until a restart. A file with faults changes nothing.
void entry_node::ReloadSettings() {
  const auto text = ReadFile(settings_path_);
  const parsed_entry_settings parsed =
      text
          ? ParseEntrySettings(settings_path_, *text)
          : parsed_entry_settings{
                {},
                {{settings_path_, 0, "", "cannot be read", "a readable file"}}};
  for (const config_fault& fault : parsed.faults) {
    LogEvent("settings_fault", {{"fault", ToString(fault)}});
  }
  if (parsed.faults.empty()) {
    settings_.stop_grace = parsed.settings.stop_grace;
    settings_.revoke_time = parsed.settings.revoke_time;
  }
  counters_.Add("settings_reloads");
  LogEvent("settings_reloaded",
           {{"outcome", parsed.faults.empty() ? "taken" : "faulty"}});
}

// First readiness checks fail, so that the load balancer stops sending new
// connections, and callers' connections close after their next answer. Then the
// caller server drains. The process exits when it is idle or at the deadline.
void entry_node::Stop() {
  is_stopping_ = true;
  stop_deadline_ =
      SuspendAwareNow() + Scale(settings_.stop_grace, kExitShareOfGrace);
  LogEvent("process_stopping",
           {{"in_progress", std::to_string(callers_->CallsInProgress())}});
  caller_server_->DisableKeepAlive();
  relay_->Stop();
  owner_->Stop([] { LogEvent("ownership_given_up", {}); });
  After(Scale(settings_.stop_grace, kDrainStartShareOfGrace), [this] {
    caller_server_->Drain();
    FinishStop();
  });
}

void entry_node::FinishStop() {
  const bool is_idle = callers_->CallsInProgress() == 0 &&
                       caller_server_->CountConnections() == 0;
  if (is_idle || SuspendAwareNow() >= stop_deadline_) {
    context_.stop();
    return;
  }
  After(kStopCheckInterval, [this] { FinishStop(); });
}

}  // namespace sassafras

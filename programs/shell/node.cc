#include "programs/shell/node.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "sassafras/config/config_parse.h"
#include "sassafras/core/digest.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;

constexpr duration kWorkerCallTimeout = std::chrono::seconds(1);
constexpr duration kConnectionCheckInterval = std::chrono::milliseconds(20);

http_client_options ClientOptions(const process_settings& settings) {
  http_client_options options;
  options.tcp_user_timeout = settings.tcp_user_timeout;
  return options;
}

void RepeatTimer(const std::shared_ptr<asio::steady_timer>& timer,
                 duration interval,
                 std::function<void()> action) {
  timer->expires_after(interval);
  timer->async_wait([timer, interval, action = std::move(action)](
                        const boost::system::error_code& code) {
    if (code) {
      return;
    }
    action();
    RepeatTimer(timer, interval, action);
  });
}

}  // namespace

instant Now() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

node::node(process_settings settings)
    : settings_(std::move(settings)),
      metrics_(counters_),
      context_(settings_.threads),
      client_(http_client::Make(context_, ClientOptions(settings_), counters_)),
      minion_client_(
          http_client::Make(context_, ClientOptions(settings_), counters_)),
      follower_(counters_) {
  const platform_options platform{settings_.platform};
  table_ = MakeHttpTablePort(client_, platform);
  objects_ = MakeHttpObjectPort(client_, platform);
  vm_list_ = MakeHttpVmListPort(client_, platform);
  workers_ = MakeHttpWorkerPort(client_, kWorkerCallTimeout);
  minions_ = MakeHttpMinionPort(minion_client_);
}

node::~node() {
  if (links_) {
    links_->Close();
  }
}

int node::Run(hooks program) {
  program_ = std::move(program);
  StartLog(settings_.id.value);
  auto links = nng_peers::Make(
      settings_.peer_listen, counters_, [this](std::string message) {
        const auto document =
            nlohmann::json::from_msgpack(message, true, false);
        if (!document.is_object() || !document.contains("cluster") ||
            !document.contains("kind") || !document["kind"].is_string()) {
          counters_.Add("peer_message_malformed");
          return;
        }
        if (document["cluster"] != settings_.cluster) {
          counters_.AddError(error_kind::kWrongCluster);
          return;
        }
        if (program_.on_peer) {
          asio::post(
              context_,
              [this, kind = document["kind"].get<std::string>(),
               body = std::move(message)] { program_.on_peer(kind, body); });
        }
      });
  if (!links) {
    std::cerr << links.error().detail << '\n';
    return 1;
  }
  links_ = links.value();
  peers_ = links_->Port();

  http_server_options options;
  options.address = settings_.listen;
  options.max_body_bytes = static_cast<std::uint64_t>(settings_.max_body_bytes);
  auto server = http_server::Make(
      context_, options, counters_,
      [this](http_exchange exchange) { HandleHttp(std::move(exchange)); });
  if (!server) {
    std::cerr << server.error().detail << '\n';
    return 1;
  }
  server_ = server.value();

  PollConfig();
  Every(settings_.config_poll, [this] { PollConfig(); });
  WaitForSignals();
  LogEvent("process_started", {{"listen", settings_.listen}});

  std::vector<std::thread> pool;
  for (int i = 1; i < settings_.threads; ++i) {
    pool.emplace_back([this] { context_.run(); });
  }
  context_.run();
  for (std::thread& thread : pool) {
    thread.join();
  }
  links_->Close();
  LogEvent("process_stopped",
           {{"cut", std::to_string(counters_.Get("stop_cut_requests"))}});
  return 0;
}

void node::Every(duration interval, std::function<void()> action) {
  RepeatTimer(std::make_shared<asio::steady_timer>(context_), interval,
              std::move(action));
}

void node::After(duration delay, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& code) {
    if (!code) {
      action();
    }
  });
}

config_ptr node::Config() const {
  const std::lock_guard lock(config_mutex_);
  return follower_.Current();
}

void node::PollConfig() {
  table_.read({std::string(kConfigRowKey)}, [this](read_answer answer) {
    if (answer.state != answer_state::kDone) {
      counters_.Add("config_read_failed");
      return;
    }
    if (answer.rows.size() != 1 || answer.rows.front().version == 0) {
      return;
    }
    auto row = DecodeConfigRow(answer.rows.front().value);
    if (!row) {
      counters_.Add("config_row_malformed");
      return;
    }
    bool is_newer = false;
    {
      const std::lock_guard lock(config_mutex_);
      is_newer = follower_.IsNewer(row.value().version);
    }
    if (is_newer) {
      FetchConfig(row.value());
    }
  });
}

void node::FetchConfig(const config_row& row) {
  objects_.get(row.object, [this, row](object_answer answer) {
    if (answer.state != answer_state::kDone || !answer.exists ||
        Sha256Hex(answer.value) != row.sha256) {
      counters_.Add("config_fetch_failed");
      return;
    }
    auto loaded = LoadPublishedConfig(row.version, answer.value);
    if (!loaded) {
      counters_.AddError(loaded.error().kind);
      return;
    }
    bool is_adopted = false;
    {
      const std::lock_guard lock(config_mutex_);
      is_adopted = follower_.Offer(loaded.value());
    }
    if (is_adopted) {
      LogEvent("config_in_force", {{"version", std::to_string(row.version)}});
      metrics_.Set("config_version", static_cast<double>(row.version));
      program_.on_config(loaded.value());
    }
  });
}

http_response node::Status() const {
  const config_ptr config = Config();
  http_response response;
  response.body =
      nlohmann::json{{"process", settings_.id.value},
                     {"place", settings_.place.value},
                     {"version", SASSAFRAS_VERSION},
                     {"config_version", config ? config->version : 0},
                     {"stopping", stopping_.load()}}
          .dump();
  return response;
}

void node::HandleHttp(http_exchange exchange) {
  const std::string& path = exchange.request.path;
  if (path == "/healthz") {
    exchange.reply({200, {}, "text/plain", "ok\n"});
    return;
  }
  if (path == "/readyz") {
    if (stopping_.load()) {
      exchange.reply(ErrorResponse(Fail(error_kind::kStopping)));
      return;
    }
    if (!Config()) {
      exchange.reply(ErrorResponse(Fail(error_kind::kNoConfiguration)));
      return;
    }
    exchange.reply({200, {}, "text/plain", "ready\n"});
    return;
  }
  if (path == "/metrics") {
    exchange.reply({200, {}, "text/plain; version=0.0.4", metrics_.ToText()});
    return;
  }
  if (path == "/v1/status") {
    exchange.reply(Status());
    return;
  }
  program_.handle(std::move(exchange));
}

void node::WaitForSignals() {
  const auto signals =
      std::make_shared<asio::signal_set>(context_, SIGTERM, SIGINT);
  signals->async_wait(
      [this, signals](const boost::system::error_code& code, int /*number*/) {
        if (!code) {
          Stop();
        }
      });
}

void node::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  LogEvent("process_stopping", {});
  After(settings_.drain_deadline, [this] {
    counters_.Add("stop_deadline_passed");
    context_.stop();
  });
  program_.on_stop([this] {
    server_->Drain();
    // Answers that are being written end before the process does.
    Every(kConnectionCheckInterval, [this] {
      if (server_->Connections() == 0) {
        context_.stop();
      }
    });
  });
}

}  // namespace sassafras

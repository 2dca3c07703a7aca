#include "programs/shell/node.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "sassafras/cluster/membership_codec.h"
#include "sassafras/config/config_parse.h"
#include "sassafras/core/digest.h"
#include "sassafras/net/call_after.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;

constexpr duration kWorkerCallTimeout = std::chrono::seconds(1);
constexpr duration kConnectionCheckInterval = std::chrono::milliseconds(20);
constexpr duration kMembershipTickInterval = std::chrono::milliseconds(100);
constexpr duration kVmListInterval = std::chrono::seconds(5);

http_client_options ClientOptions(const process_settings& settings) {
  http_client_options options;
  options.tcp_user_timeout = settings.tcp_user_timeout;
  return options;
}

member MakeSelfMember(const process_settings& settings) {
  member self;
  self.id = settings.id;
  self.role = std::string(GetName(settings.role));
  self.address = settings.peer_listen;
  self.place = settings.place;
  self.start = static_cast<std::uint64_t>(
      std::chrono::duration_cast<duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  return self;
}

std::vector<member> MakeSeedMembers(const process_settings& settings) {
  std::vector<member> seeds;
  for (const peer_settings& peer : settings.peers) {
    seeds.push_back(
        {peer.id, std::string(GetName(peer.role)), peer.address, peer.place});
  }
  return seeds;
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
      config_follower_(counters_),
      config_peer_selector_(counters_),
      random_(std::random_device()()),
      members_({},
               MakeSelfMember(settings_),
               MakeSeedMembers(settings_),
               counters_),
      members_strand_(asio::make_strand(context_)) {
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

int node::Run(hooks hooks) {
  hooks_ = std::move(hooks);
  StartLog(settings_.id.value);
  if (!Listen()) {
    return 1;
  }
  StartMembership();
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
  StopLog();
  return 0;
}

bool node::Listen() {
  auto links =
      nng_peers::Make(settings_.peer_listen, counters_,
                      [this](const std::string& bytes) { OnPeerBytes(bytes); });
  if (!links) {
    std::cerr << links.error().detail << '\n';
    return false;
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
    return false;
  }
  server_ = server.value();
  return true;
}

void node::OnPeerBytes(const std::string& bytes) {
  auto message = DecodePeerMessage(bytes);
  if (!message) {
    counters_.Add("peer_message_malformed");
    return;
  }
  if (message.value().cluster != settings_.cluster) {
    counters_.AddError(error_kind::kWrongCluster);
    return;
  }
  const std::string& kind = message.value().kind;
  if (IsMemberMessage(kind)) {
    const auto decoded = DecodeMemberMessage(message.value());
    if (!decoded) {
      counters_.Add("peer_message_malformed");
      return;
    }
    UpdateMembership([&](membership& members, random_engine& random) {
      return members.OnMessage(Now(), decoded.value(), random);
    });
    return;
  }
  if (kind == kConfigGetKind || kind == kConfigContentKind) {
    try {
      kind == kConfigGetKind ? SendConfig(message.value())
                             : OnConfigContent(message.value());
    } catch (const nlohmann::json::exception&) {
      counters_.Add("peer_message_malformed");
    }
    return;
  }
  if (hooks_.on_peer_message) {
    asio::post(context_,
               [this, kind, bytes] { hooks_.on_peer_message(kind, bytes); });
  }
}

void node::StartMembership() {
  Every(kMembershipTickInterval, [this] {
    UpdateMembership([](membership& members, random_engine& random) {
      return members.OnTick(Now(), random);
    });
  });
  Every(kVmListInterval, [this] { PollVmList(); });
  ReportMembers();
}

// Calls `update` with the membership under its lock, then carries out the
// returned actions without the lock.
void node::UpdateMembership(
    const std::function<member_actions(membership&, random_engine&)>& update) {
  member_actions actions;
  {
    const std::lock_guard lock(members_mutex_);
    actions = update(members_, random_);
  }
  for (const std::string& address : actions.links_to_reset) {
    links_->Reset(address);
  }
  for (const auto& send : actions.sends) {
    const std::string bytes =
        EncodeMemberMessage(settings_.cluster, send.message);
    counters_.Add("peer_bytes_membership", bytes.size());
    peers_.send(send.address, bytes);
  }
  for (const auto& seen : actions.versions) {
    RequestConfig(seen);
  }
  if (actions.is_replaced) {
    LogEvent("process_replaced", {{"id", settings_.id.value}});
  }
  if (actions.has_changed) {
    asio::post(members_strand_, [this] { ReportMembers(); });
  }
}

// Passes the member list to the program if it has changed. Runs on
// members_strand_ once the process has started, so that the list reported last
// is the newest.
void node::ReportMembers() {
  const std::vector<member> members = Members();
  if (members == reported_members_) {
    return;
  }
  reported_members_ = members;
  metrics_.Set("members", static_cast<double>(members.size()));
  if (hooks_.on_members) {
    hooks_.on_members(members);
  }
}

std::vector<member> node::Members() const {
  const std::lock_guard lock(members_mutex_);
  return members_.Members();
}

void node::PollVmList() {
  vm_list_.list([this](const vm_list_answer& answer) {
    if (answer.state == answer_state::kDone) {
      OnVmList(answer);
    } else {
      counters_.Add("vm_list_failed");
    }
  });
}

// The VM list can be out of date, so that a process that it does not name, or
// shows as leaving, is only probed sooner. If the list does not name this
// process either, it does not list processes, and a missing name means nothing.
void node::OnVmList(const vm_list_answer& answer) {
  std::map<std::string, bool> listed;
  for (const vm_entry& entry : answer.entries) {
    listed[entry.name] = entry.is_leaving;
  }
  const bool lists_processes = listed.contains(settings_.id.value);
  std::vector<process_id> to_probe;
  for (const member& info : Members()) {
    const auto it = listed.find(info.id.value);
    if (it == listed.end() ? lists_processes : it->second) {
      to_probe.push_back(info.id);
    }
  }
  UpdateMembership([&](membership& members, random_engine& /*random*/) {
    members.OnPlatformHint(to_probe);
    return member_actions{};
  });
}

void node::Every(duration interval, std::function<void()> action) {
  RepeatTimer(std::make_shared<asio::steady_timer>(context_), interval,
              std::move(action));
}

void node::After(duration delay, std::function<void()> action) {
  CallAfter(context_, delay, std::move(action));
}

config_ptr node::Config() const {
  const std::lock_guard lock(config_mutex_);
  return config_follower_.Current();
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
      is_newer = config_follower_.IsNewer(row.value().version);
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
    AdoptConfig(row.version, answer.value);
  });
}

void node::AdoptConfig(std::uint64_t version, const std::string& content) {
  auto loaded = LoadPublishedConfig(version, content);
  if (!loaded) {
    counters_.AddError(loaded.error().kind);
    return;
  }
  bool is_adopted = false;
  {
    const std::lock_guard lock(config_mutex_);
    is_adopted = config_follower_.Offer(loaded.value());
  }
  if (!is_adopted) {
    return;
  }
  const std::uint64_t in_force = Config()->version;
  {
    const std::lock_guard lock(members_mutex_);
    members_.SetConfigVersion(in_force);
  }
  LogEvent("config_in_force", {{"version", std::to_string(version)}});
  metrics_.Set("config_version", static_cast<double>(version));
  hooks_.on_config(loaded.value());
}

// Requests a newer configuration from a peer that has announced it. The peer
// may have a version that the store no longer shows.
void node::RequestConfig(const member_actions::version_seen& seen) {
  std::optional<std::string> address;
  std::uint64_t own_version = 0;
  {
    const std::lock_guard lock(config_mutex_);
    own_version =
        config_follower_.Current() ? config_follower_.Current()->version : 0;
    address = config_peer_selector_.OnVersionSeen(
        Now(), seen.address, seen.config_version, own_version);
  }
  if (address) {
    peers_.send(*address,
                EncodePeerMessage(settings_.cluster, kConfigGetKind,
                                  {{"reply_to", settings_.peer_listen},
                                   {"have", own_version}}));
  }
}

void node::SendConfig(const peer_message& message) {
  const std::string reply_to = message.body.value("reply_to", "");
  const std::uint64_t have = message.body.value("have", std::uint64_t{0});
  const config_ptr config = Config();
  if (reply_to.empty() || !config || config->version <= have) {
    return;
  }
  const std::string bytes = EncodePeerMessage(
      settings_.cluster, kConfigContentKind,
      {{"config_version", config->version}, {"content", config->content}});
  counters_.Add("peer_bytes_config", bytes.size());
  peers_.send(reply_to, bytes);
}

void node::OnConfigContent(const peer_message& message) {
  const std::uint64_t version =
      message.body.value("config_version", std::uint64_t{0});
  bool is_newer = false;
  {
    const std::lock_guard lock(config_mutex_);
    config_peer_selector_.OnContent();
    is_newer = config_follower_.IsNewer(version);
  }
  if (is_newer) {
    counters_.Add("config_from_peer");
    AdoptConfig(version, message.body.value("content", ""));
  }
}

http_response node::MakeStatusResponse() const {
  const config_ptr config = Config();
  nlohmann::json members = nlohmann::json::array();
  for (const member& info : Members()) {
    members.push_back({{"id", info.id.value},
                       {"role", info.role},
                       {"place", info.place.value},
                       {"incarnation", info.incarnation},
                       {"state", GetName(info.state)}});
  }
  http_response response;
  response.body =
      nlohmann::json{{"process", settings_.id.value},
                     {"place", settings_.place.value},
                     {"version", SASSAFRAS_VERSION},
                     {"config_version", config ? config->version : 0},
                     {"stopping", is_stopping_.load()},
                     {"members", std::move(members)}}
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
    if (is_stopping_.load()) {
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
    exchange.reply(MakeStatusResponse());
    return;
  }
  hooks_.handle(std::move(exchange));
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

void node::RequestStop() {
  asio::post(context_, [this] { Stop(); });
}

void node::Stop() {
  if (is_stopping_.exchange(true)) {
    return;
  }
  LogEvent("process_stopping", {});
  After(settings_.drain_deadline, [this] {
    counters_.Add("stop_deadline_passed");
    context_.stop();
  });
  hooks_.on_stop([this] {
    // The process stays a member until its requests have ended, so that other
    // gateways leave it the slots that these requests use.
    UpdateMembership([](membership& members, random_engine& random) {
      return members.Leave(random);
    });
    server_->Drain();
    // The process exits only after answers that are being written have been
    // sent.
    Every(kConnectionCheckInterval, [this] {
      if (server_->CountConnections() == 0) {
        context_.stop();
      }
    });
  });
}

}  // namespace sassafras

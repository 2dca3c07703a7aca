#include "review/standin-2/world.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <future>

namespace sassafras::review {
namespace {

constexpr char kHost[] = "lab.example";
constexpr char kTeamKey[] = "team-key";
constexpr char kOtherKey[] = "other-key";
constexpr std::int64_t kStartTimeMs = 20'000;
constexpr std::uint64_t kMaxStoreBodyBytes = 16 << 20;

const std::chrono::steady_clock::time_point kBegan =
    std::chrono::steady_clock::now();

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kBegan)
      .count();
}

void recorder::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  file_ << NowMs() << " ms  " << line << std::endl;
}

json MakeConfiguration() {
  json routes = json::array();
  int priority = 0;
  for (const char* name : {"urgent", "simulation", "batch"}) {
    routes.push_back({{"name", name},
                      {"host", kHost},
                      {"prefix", "/" + std::string(name) + "/"},
                      {"service", "lab"},
                      {"priority", priority++},
                      {"attempts", 3},
                      {"stretch", 3.0},
                      {"targetDurationMs", 1000}});
  }
  return {{"version", 1},
          {"routes", routes},
          {"services", {{{"name", "lab"}, {"admissionControl", false}}}},
          {"tenants",
           {{{"name", "team"},
             {"apiKeys", {kTeamKey}},
             {"guaranteed", {{"gpu", 8}}}},
            {{"name", "other"}, {"apiKeys", {kOtherKey}}}}},
          {"limits", json::object()}};
}

json MakeJob(std::int64_t work_ms, int count, int cpu, int gpu) {
  json step = {{"count", count},
               {"cpu", cpu},
               {"memMb", 256},
               {"estimateMs", work_ms == kLasts ? 1000 : work_ms}};
  if (work_ms == kLasts) {
    step["persistent"] = true;
  }
  if (gpu > 0) {
    step["gpu"] = gpu;
  }
  return {{"spec", json{{"ms", work_ms}}.dump()}, {"steps", {step}}};
}

world::world(options chosen, minions::options fleet)
    : options_(std::move(chosen)),
      record_(options_.record),
      guard_(context_.get_executor()),
      client_(http_client::Make(context_, {}, counters_)),
      store_(context_, record_),
      minions_(context_, store_, record_, counters_, std::move(fleet)),
      policy_(context_, record_, counters_) {}

world::~world() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool world::Start(const json& configuration) {
  http_server_options server_options;
  server_options.address =
      options_.prefix + ".20:" + std::to_string(options_.port);
  server_options.max_body_bytes = kMaxStoreBodyBytes;
  auto server = http_server::Make(
      context_, server_options, counters_,
      [this](http_exchange exchange) { store_.Serve(std::move(exchange)); });
  const std::string advice =
      options_.prefix + ".21:" + std::to_string(options_.port);
  if (!server || !minions_.Start() || !policy_.Start(advice)) {
    record_.Write("a port of the stand-ins is in use");
    return false;
  }
  store_server_ = server.value();
  store_.Put("op", "config", configuration.dump());
  thread_ = std::thread([this] { context_.run(); });
  // An entry process that serves calls knows that there is no such job.
  for (std::size_t entry = 0; entry < options_.entries.size(); ++entry) {
    while (Call(entry, "GET", "batch", "00000000000000ff", json(), 1000, true)
               .status != 410) {
      if (NowMs() > kStartTimeMs) {
        record_.Write("an entry process does not serve calls");
        return false;
      }
      Sleep(100);
    }
  }
  while (!Owner()) {
    if (NowMs() > kStartTimeMs) {
      record_.Write("no entry process owns the jobs");
      return false;
    }
    Sleep(100);
  }
  return true;
}

world::reply world::Call(std::size_t entry,
                         const std::string& method,
                         const std::string& queue,
                         const std::string& id,
                         const json& body,
                         std::int64_t timeout_ms,
                         bool is_quiet) {
  http_request request;
  request.method = method;
  request.path = "/" + queue + "/" + id;
  request.headers["Host"] = kHost;
  request.headers["Authorization"] = "Bearer " + key_;
  request.headers["X-Deadline-Ms"] = std::to_string(timeout_ms);
  request.headers["Content-Type"] = "application/json";
  if (!body.is_null()) {
    request.body = body.dump();
  }
  const std::string name =
      method + " " + request.path + " at entry " + std::to_string(entry + 1);
  if (!is_quiet) {
    record_.Write("sent " + name);
  }
  const auto answered = std::make_shared<std::promise<http_answer>>();
  auto future = answered->get_future();
  client_->Call(
      options_.entries.at(entry), std::move(request), connection_choice::kFresh,
      std::chrono::milliseconds(timeout_ms),
      [answered](const http_answer& answer) { answered->set_value(answer); });
  const http_answer answer = future.get();
  reply result;
  if (answer.state == answer_state::kDone) {
    result.status = answer.response.status;
    result.body = json::parse(answer.response.body, nullptr, false);
  }
  if (!is_quiet) {
    record_.Write("answer to " + name + ": " +
                  (result.status == 0 ? "none"
                                      : std::to_string(result.status) + " " +
                                            answer.response.body));
  }
  return result;
}

void world::InLoop(const std::function<void(store&, minions&)>& action) {
  std::promise<void> finished;
  boost::asio::post(context_, [&] {
    action(store_, minions_);
    finished.set_value();
  });
  finished.get_future().wait();
}

void world::Configure(const json& configuration) {
  record_.Write("the operator writes version " +
                configuration.at("version").dump());
  InLoop([&](store& rows, minions&) {
    rows.Put("op", "config", configuration.dump());
  });
}

void world::SetAdviceTimes(std::int64_t decision_ms, std::int64_t period_ms) {
  InLoop([&](store&, minions&) { policy_.SetTimes(decision_ms, period_ms); });
}

std::vector<run_event> world::Events() {
  std::vector<run_event> events;
  InLoop([&](store&, minions& fleet) { events = fleet.Events(); });
  return events;
}

int world::CountRunning(const std::string& job) {
  int count = 0;
  InLoop([&](store&, minions& fleet) { count = fleet.CountRunning(job); });
  return count;
}

std::optional<std::size_t> world::Owner() {
  std::optional<std::string> text;
  InLoop([&](store& rows, minions&) { text = rows.Read("lease", "jobs"); });
  const json lease = json::parse(text.value_or(""), nullptr, false);
  if (!lease.is_object() || lease.value("released", false)) {
    return std::nullopt;
  }
  // Entry process i has the id "entry-i".
  const std::string holder = lease.value("holder", "");
  return static_cast<std::size_t>(holder.back() - '1');
}

void world::Signal(std::size_t entry, int signal, const std::string& what) {
  record_.Write("entry " + std::to_string(entry + 1) + " " + what);
  ::kill(options_.pids.at(entry), signal);
}

void world::Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace sassafras::review

#include <algorithm>
#include <chrono>

#include "review/standin-2/world.h"
#include "sassafras/net/call_after.h"

namespace sassafras::review {
namespace {

constexpr duration kTick = std::chrono::milliseconds(10);
constexpr duration kReportInterval = std::chrono::milliseconds(1500);
constexpr int kMinionsPerRack = 8;
constexpr int kFirstHost = 100;
// A task that lasts is at work after this time.
constexpr std::int64_t kStartupMs = 500;
constexpr std::int64_t kCheckpointMs = 1000;
constexpr std::int64_t kRestoreMs = 250;
constexpr std::size_t kCheckpointDigits = 16;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

minions::minions(boost::asio::io_context& context,
                 store& rows,
                 recorder& record,
                 counter_table& counters,
                 options chosen)
    : context_(context),
      store_(rows),
      record_(record),
      counters_(counters),
      options_(std::move(chosen)) {}

bool minions::Start() {
  for (int i = 0; i < options_.count; ++i) {
    auto added = std::make_unique<minion>();
    added->id = "minion-" + std::to_string(kFirstHost + i);
    added->address = options_.address_prefix + "." +
                     std::to_string(kFirstHost + i) + ":" +
                     std::to_string(options_.port);
    added->rack = "r" + std::to_string(i / kMinionsPerRack);
    added->born = UnixMs();
    added->clock_origin_ms = NowMs();
    minions_.push_back(std::move(added));
    minion& host = *minions_.back();
    http_server_options server_options;
    server_options.address = host.address;
    auto server = http_server::Make(context_, server_options, counters_,
                                    [this, &host](http_exchange exchange) {
                                      Serve(host, std::move(exchange));
                                    });
    if (!server) {
      return false;
    }
    host.server = server.value();
  }
  advanced_ms_ = NowMs();
  Report();
  Advance();
  return true;
}

minions::minion& minions::Find(const std::string& id) {
  return **std::find_if(minions_.begin(), minions_.end(),
                        [&](const auto& item) { return item->id == id; });
}

void minions::Crash(const std::string& id) {
  minion& host = Find(id);
  record_.Write("minion " + id + " crashes with " +
                std::to_string(host.running.size()) + " runs");
  for (const auto& [run, state] : host.running) {
    events_[state.event].ended_ms = NowMs();
    events_[state.event].how = "crash";
  }
  host.running.clear();
  host.ended.clear();
  host.closed.clear();
  host.ends = 0;
  host.fence = 0;
  host.lease_end_ms = 0;
  host.is_down = true;
}

void minions::Restart(const std::string& id) {
  minion& host = Find(id);
  record_.Write("minion " + id + " starts again");
  host.is_down = false;
  host.born = std::max(host.born + 1, UnixMs());
  host.clock_origin_ms = NowMs();
  host.sequence = 0;
}

int minions::CountRunning() const {
  std::size_t count = 0;
  for (const auto& host : minions_) {
    count += host->running.size();
  }
  return static_cast<int>(count);
}

int minions::CountRunning(const std::string& job) const {
  int count = 0;
  for (const auto& host : minions_) {
    for (const auto& [run, state] : host->running) {
      count += run.first.starts_with(job) ? 1 : 0;
    }
  }
  return count;
}

http_response minions::Answer(const minion& host, int status, json body) const {
  body["clockMs"] = NowMs() - host.clock_origin_ms;
  body["born"] = host.born;
  return {status, {}, "application/json", body.dump()};
}

// A minion that is down answers nothing.
void minions::Serve(minion& host, http_exchange exchange) {
  if (host.is_down) {
    return;
  }
  if (exchange.request.Header("x-expect-instance") != host.id) {
    exchange.reply(Answer(host, 421, json::object()));
    return;
  }
  try {
    const json order = json::parse(exchange.request.body);
    const std::string& path = exchange.request.path;
    if (path == "/run-start") {
      exchange.reply(StartRun(host, order));
    } else if (path == "/run-stop") {
      exchange.reply(StopRun(host, order));
    } else if (path == "/hold") {
      if (IsFenced(host, order)) {
        exchange.reply(Answer(host, 409, {{"reason", "fence"}}));
        return;
      }
      Extend(host, order);
      AnswerHold(host, std::move(exchange), order,
                 NowMs() + order.value("waitMs", std::int64_t{0}), host.born);
    } else {
      exchange.reply(Answer(host, path == "/pace" ? 200 : 400, json::object()));
    }
  } catch (const json::exception& failure) {
    exchange.reply(Answer(host, 400, {{"reason", failure.what()}}));
  }
}

bool minions::IsFenced(minion& host, const json& order) {
  const std::uint64_t fence = order.value("fencingToken", std::uint64_t{0});
  if (fence < host.fence) {
    return true;
  }
  host.fence = fence;
  return false;
}

void minions::Extend(minion& host, const json& order) {
  if (order.contains("untilMs")) {
    const std::int64_t until =
        host.clock_origin_ms + order.at("untilMs").get<std::int64_t>();
    host.lease_end_ms = std::max(
        host.lease_end_ms, std::min(until, NowMs() + options_.max_lease_ms));
  }
}

// A checkpoint holds the milliseconds of work in fixed width.
std::string minions::SavedOf(const run_state& state) {
  const std::int64_t worked = state.total_ms - state.left_ms;
  const std::int64_t saved =
      state.stops_at_ms >= 0 ? worked : worked - worked % kCheckpointMs;
  if (state.lasts || saved <= 0) {
    return {};
  }
  const std::string digits = std::to_string(saved);
  return std::string(kCheckpointDigits - digits.size(), '0') + digits;
}

http_response minions::StartRun(minion& host, const json& order) {
  const std::string task = order.at("task");
  const std::int64_t run = order.at("run");
  if (IsFenced(host, order)) {
    return Answer(host, 409, {{"reason", "fence"}});
  }
  if (order.at("untilMs").get<std::int64_t>() <=
      NowMs() - host.clock_origin_ms) {
    return Answer(host, 409, {{"reason", "late"}});
  }
  Extend(host, order);
  if (host.running.contains({task, run})) {
    return Answer(host, 200, json::object());
  }
  const auto closed = host.closed.find(task);
  if (closed != host.closed.end() && run <= closed->second) {
    return Answer(host, 409, {{"reason", "old"}});
  }
  const json spec = json::parse(order.at("spec").get<std::string>());
  const std::int64_t work_ms = spec.at("ms");
  events_.push_back({NowMs(), host.id, task, run, -1, "", 0});
  run_state state;
  state.total_ms = work_ms;
  state.left_ms = work_ms;
  state.lasts = work_ms == kLasts;
  state.event = events_.size() - 1;
  const std::string checkpoint = order.value("checkpoint", "");
  if (!checkpoint.empty()) {
    state.left_ms -= std::stoll(checkpoint);
    state.restores_until_ms = NowMs() + kRestoreMs;
  }
  host.running[{task, run}] = state;
  if (events_.size() <= 3000) {
    record_.Write("start " + task + " run " + std::to_string(run) + " on " +
                  host.id + (checkpoint.empty() ? "" : " from " + checkpoint));
  }
  return Answer(host, 200, json::object());
}

http_response minions::StopRun(minion& host, const json& order) {
  const std::string task = order.at("task");
  const std::int64_t run = order.at("run");
  if (IsFenced(host, order)) {
    return Answer(host, 409, {{"reason", "fence"}});
  }
  const auto it = host.running.find({task, run});
  if (it != host.running.end() && it->second.stops_at_ms < 0) {
    it->second.stops_at_ms = NowMs() + options_.stop_ms;
  }
  std::int64_t& closed = host.closed[task];
  closed = std::max(closed, run);
  return Answer(host, 200, json::object());
}

http_response minions::Hold(minion& host, const json& order) {
  const std::int64_t seen = order.value("lastSeen", std::int64_t{0});
  std::erase_if(host.ended,
                [seen](const end_row& end) { return end.number <= seen; });
  json running = json::array();
  for (const auto& [run, state] : host.running) {
    const std::int64_t worked = state.total_ms - state.left_ms;
    const std::int64_t percent =
        100 * (state.lasts ? std::min(worked, kStartupMs) : worked) /
        (state.lasts ? kStartupMs : state.total_ms);
    running.push_back(
        json::array({run.first, run.second, SavedOf(state), percent, 0}));
  }
  json ended = json::array();
  for (const end_row& end : host.ended) {
    if (ended.size() < 500) {
      ended.push_back(
          json::array({end.number, end.task, end.run, end.how, end.saved}));
    }
  }
  return Answer(host, 200, {{"running", running}, {"ended", ended}});
}

void minions::AnswerHold(minion& host,
                         http_exchange exchange,
                         json order,
                         std::int64_t until_ms,
                         std::int64_t born) {
  if (host.is_down || host.born != born) {
    return;
  }
  const std::int64_t seen = order.value("lastSeen", std::int64_t{0});
  const bool has_end =
      std::any_of(host.ended.begin(), host.ended.end(),
                  [seen](const end_row& end) { return end.number > seen; });
  if (has_end || NowMs() >= until_ms) {
    exchange.reply(Hold(host, order));
    return;
  }
  CallAfter(
      context_, kTick,
      [this, &host, exchange = std::move(exchange), order = std::move(order),
       until_ms, born] { AnswerHold(host, exchange, order, until_ms, born); });
}

void minions::EndRun(minion& host,
                     const std::pair<std::string, std::int64_t>& run,
                     const std::string& how) {
  const run_state state = host.running.at(run);
  host.running.erase(run);
  std::int64_t& closed = host.closed[run.first];
  closed = std::max(closed, run.second);
  host.ended.push_back(
      {++host.ends, run.first, run.second, how, SavedOf(state)});
  events_[state.event].work_ms = state.total_ms - state.left_ms;
  events_[state.event].ended_ms = NowMs();
  events_[state.event].how = how;
  if (events_.size() <= 3000) {
    record_.Write("end " + run.first + " run " + std::to_string(run.second) +
                  " on " + host.id + " " + how);
  }
}

void minions::Advance() {
  const std::int64_t now = NowMs();
  const std::int64_t elapsed = now - std::exchange(advanced_ms_, now);
  for (const auto& host : minions_) {
    std::vector<std::pair<std::pair<std::string, std::int64_t>, std::string>>
        ends;
    for (auto& [run, state] : host->running) {
      state.left_ms -= now < state.restores_until_ms ? 0 : elapsed;
      if (now > host->lease_end_ms) {
        ends.emplace_back(run, "lapsed");
      } else if (state.stops_at_ms >= 0) {
        if (now >= state.stops_at_ms) {
          ends.emplace_back(run, "stopped");
        }
      } else if (state.left_ms <= 0 && !state.lasts) {
        ends.emplace_back(run, "done");
      }
    }
    for (const auto& [run, how] : ends) {
      EndRun(*host, run, how);
    }
  }
  CallAfter(context_, kTick, [this] { Advance(); });
}

void minions::Report() {
  for (const auto& host : minions_) {
    if (host->is_down) {
      store_.Erase("servers", host->id);
      continue;
    }
    store_.Put("servers", host->id,
               json{{"service", "lab"},
                    {"address", host->address},
                    {"zone", "a"},
                    {"version", "1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"seq", ++host->sequence},
                    {"born", host->born},
                    {"capacity",
                     {{"cpu", 128'000},
                      {"memMb", 262'144},
                      {"gpu", options_.accelerators}}},
                    {"labels", {"a", host->rack}}}
                   .dump());
  }
  CallAfter(context_, kReportInterval, [this] { Report(); });
}

}  // namespace sassafras::review

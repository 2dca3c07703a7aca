#include "review/standin-3/minions.h"

#include <algorithm>
#include <chrono>

#include "review/standin-3/lab.h"
#include "sassafras/net/call_after.h"

namespace sassafras::review {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr duration kTick = 10ms;
constexpr duration kHeartbeat = 1500ms;
constexpr std::size_t kMaxListedEnds = 500;

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

// A gang's name: its task without the index.
std::string GangOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

work DecodeWork(const std::string& text) {
  const json document = json::parse(text);
  return {document.at("ms"), document.at("lasts"), document.at("cpu"),
          document.at("gang")};
}

}  // namespace

std::string EncodeWork(const work& what) {
  std::string text = json{
      {"ms", what.run_ms},
      {"lasts", what.lasts},
      {"cpu", what.cpu},
      {"gang",
       what.gang}}.dump();
  // JSON may end with spaces.
  text.resize(std::max(text.size(), what.spec_bytes), ' ');
  return text;
}

minions::minions(boost::asio::io_context& context, store& rows, options chosen)
    : context_(context), rows_(rows), options_(chosen) {}

bool minions::Start() {
  for (int i = 0; i < options_.count; ++i) {
    auto at = std::make_unique<worker>();
    const std::string number = std::to_string(1000 + i);
    at->id = "i-7f3a91" + number;
    at->machine = "m-" + number;
    at->address = FreeAddress();
    http_server_options server;
    server.address = at->address;
    auto made = http_server::Make(
        context_, server, counters_,
        [this, i](const http_exchange& exchange) { Serve(i, exchange); });
    if (!made) {
      return false;
    }
    at->server = made.value();
    at->born = UnixMs();
    at->clock_origin = Now();
    workers_.push_back(std::move(at));
  }
  last_advance_ = Now();
  Report();
  Advance();
  return true;
}

double minions::UsedShare() const {
  std::int64_t used = 0;
  for (const auto& at : workers_) {
    for (const auto& [task, item] : at->running) {
      used += item.what.cpu;
    }
  }
  return static_cast<double>(used) /
         static_cast<double>(options_.cpu * options_.count);
}

std::int64_t minions::RoomFor(std::int64_t cpu) const {
  std::int64_t room = 0;
  for (const auto& at : workers_) {
    std::int64_t free = options_.cpu;
    for (const auto& [task, item] : at->running) {
      free -= item.what.cpu;
    }
    room += std::max<std::int64_t>(0, free) / std::max<std::int64_t>(1, cpu);
  }
  return room;
}

int minions::CountRunning(const std::string& job) const {
  int count = 0;
  for (const auto& at : workers_) {
    for (const auto& [task, item] : at->running) {
      count += JobOf(task) == job ? 1 : 0;
    }
  }
  return count;
}

int minions::CountDone(const std::string& job) const {
  const auto it = done_.find(job);
  return it == done_.end() ? 0 : static_cast<int>(it->second.size());
}

int minions::CountFailed(const std::string& job) const {
  const auto it = failed_.find(job);
  return it == failed_.end() ? 0 : it->second;
}

int minions::CountStarts(const std::string& job) const {
  const auto it = starts_.find(job);
  return it == starts_.end() ? 0 : it->second;
}

std::int64_t minions::ClockOf(const worker& at) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now() -
                                                               at.clock_origin)
      .count();
}

void minions::Extend(worker& at, std::int64_t until) {
  const instant wanted = at.clock_origin + std::chrono::milliseconds(until);
  at.lease_end =
      std::max(at.lease_end, std::min(wanted, Now() + options_.max_hold));
}

void minions::Serve(int index, const http_exchange& exchange) {
  worker& at = *workers_[index];
  const auto answer = [&](int status, json body) {
    body["clockMs"] = ClockOf(at);
    body["born"] = at.born;
    exchange.reply({status, {}, "application/json", body.dump()});
  };
  if (exchange.request.method == "GET") {
    answer(kOk, json::object());
    return;
  }
  const std::string expected = exchange.request.Header("x-expect-instance");
  if (!expected.empty() && expected != at.id) {
    answer(kMisdirected, json::object());
    return;
  }
  const json order = json::parse(exchange.request.body, nullptr, false);
  const std::uint64_t fence = order.value("fencingToken", std::uint64_t{0});
  if (fence < at.fence) {
    answer(kConflict, {{"reason", "fence"}});
    return;
  }
  at.fence = fence;
  const std::string& path = exchange.request.path;
  if (path == "/run-start") {
    exchange.reply(HandleStart(at, order));
  } else if (path == "/run-stop") {
    exchange.reply(HandleStop(at, order));
  } else if (path == "/hold") {
    if (order.contains("untilMs")) {
      Extend(at, order.at("untilMs"));
    }
    const std::int64_t seen = order.value("lastSeen", std::int64_t{0});
    std::erase_if(at.ends, [&](const end& e) { return e.number <= seen; });
    const auto wait = std::chrono::milliseconds(
        std::min<std::int64_t>(order.value("waitMs", std::int64_t{0}), 2000));
    AnswerHold(index, exchange, at.ends.empty() ? 0 : SIZE_MAX, Now() + wait);
  } else if (path == "/pace") {
    answer(kOk, json::object());
  } else {
    answer(kNotFound, json::object());
  }
}

http_response minions::HandleStart(worker& at, const json& order) {
  const std::string task = order.at("task");
  const std::int64_t number = order.at("run");
  const std::int64_t until = order.at("untilMs");
  const auto refuse = [&](const char* reason) {
    return http_response{
        kConflict,
        {},
        "application/json",
        json{{"clockMs", ClockOf(at)}, {"reason", reason}}.dump()};
  };
  if (until <= ClockOf(at)) {
    return refuse("late");
  }
  Extend(at, until);
  const auto present = at.running.find(task);
  const bool is_there =
      present != at.running.end() && present->second.number == number;
  if (!is_there) {
    const auto closed = at.closed.find(task);
    if ((closed != at.closed.end() && number <= closed->second) ||
        present != at.running.end()) {
      return refuse("old");
    }
    at.running[task] = {number, DecodeWork(order.at("spec")), Now(), {}, {}};
    ++present_[{GangOf(task), number}];
    ++starts_[JobOf(task)];
  }
  return {kOk, {}, "application/json", json{{"clockMs", ClockOf(at)}}.dump()};
}

http_response minions::HandleStop(worker& at, const json& order) {
  const std::string task = order.at("task");
  const std::int64_t number = order.at("run");
  std::int64_t& closed = at.closed[task];
  closed = std::max(closed, number);
  const auto it = at.running.find(task);
  if (it != at.running.end() && it->second.number <= number &&
      !it->second.stops_at) {
    it->second.stops_at = Now() + options_.stop_time;
  }
  return {kOk, {}, "application/json", json{{"clockMs", ClockOf(at)}}.dump()};
}

http_response minions::MakeList(const worker& at) const {
  json running = json::array();
  for (const auto& [task, item] : at.running) {
    const auto passed =
        std::chrono::duration_cast<std::chrono::milliseconds>(item.done)
            .count();
    const std::int64_t percent =
        item.what.lasts
            ? (passed > 300 ? 100 : 0)
            : std::min<std::int64_t>(
                  99,
                  100 * passed / std::max<std::int64_t>(1, item.what.run_ms));
    running.push_back({task, item.number, "", percent, item.what.cpu});
  }
  json ended = json::array();
  for (const end& e : at.ends) {
    if (ended.size() < kMaxListedEnds) {
      ended.push_back({e.number, e.task, e.run, e.how, ""});
    }
  }
  return {kOk,
          {},
          "application/json",
          json{{"clockMs", ClockOf(at)},
               {"born", at.born},
               {"running", std::move(running)},
               {"ended", std::move(ended)}}
              .dump()};
}

void minions::AnswerHold(int index,
                         const http_exchange& exchange,
                         std::size_t known_ends,
                         instant until) {
  worker& at = *workers_[index];
  if (at.ends.size() != known_ends || Now() >= until) {
    exchange.reply(MakeList(at));
    return;
  }
  CallAfter(context_, kTick,
            [=, this] { AnswerHold(index, exchange, known_ends, until); });
}

void minions::Close(worker& at,
                    const std::string& task,
                    const std::string& how) {
  const run ended = at.running.at(task);
  at.running.erase(task);
  --present_[{GangOf(task), ended.number}];
  std::int64_t& closed = at.closed[task];
  closed = std::max(closed, ended.number);
  at.ends.push_back({++at.last_end, task, ended.number, how});
  if (how == "done") {
    done_[JobOf(task)].insert(task);
  } else if (how == "failed") {
    ++failed_[JobOf(task)];
  }
}

bool minions::IsGangPresent(const std::string& task, const run& member) const {
  const auto it = present_.find({GangOf(task), member.number});
  return it != present_.end() && it->second >= member.what.gang;
}

void minions::Advance() {
  const instant now = Now();
  const duration passed = now - last_advance_;
  last_advance_ = now;
  std::set<std::pair<std::string, std::int64_t>> done_gangs;
  for (const auto& at : workers_) {
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, item] : at->running) {
      if (now > at->lease_end) {
        ends.emplace_back(task, "lapsed");
      } else if (item.stops_at) {
        if (now >= *item.stops_at) {
          ends.emplace_back(task, "stopped");
        }
      } else if (item.what.gang > 1 && !IsGangPresent(task, item)) {
        if (now - item.began > options_.gang_timeout) {
          ends.emplace_back(task, "alone");
        }
      } else {
        item.done += passed;
        if (!item.what.lasts &&
            item.done >= std::chrono::milliseconds(item.what.run_ms)) {
          if (item.what.gang > 1) {
            done_gangs.insert({GangOf(task), item.number});
          } else {
            ends.emplace_back(task, "done");
          }
        }
      }
    }
    for (const auto& [task, how] : ends) {
      Close(*at, task, how);
    }
  }
  for (const auto& at : workers_) {
    std::vector<std::string> members;
    for (const auto& [task, item] : at->running) {
      if (done_gangs.contains({GangOf(task), item.number})) {
        members.push_back(task);
      }
    }
    for (const std::string& task : members) {
      Close(*at, task, "done");
    }
  }
  CallAfter(context_, kTick, [this] { Advance(); });
}

void minions::Report() {
  for (int i = 0; i < Count(); ++i) {
    worker& at = *workers_[i];
    rows_.Put(
        "servers", at.id,
        {{"service", "lab"},
         {"address", at.address},
         {"zone", "a"},
         {"version", "1"},
         {"slots", 8},
         {"state", "ready"},
         {"coldRemainingMs", 0},
         {"seq", ++at.seq},
         {"born", at.born},
         {"machine", at.machine},
         {"capacity",
          {{"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", 8}}},
         {"labels",
          {i < options_.special ? "b" : "a",
           "r" + std::to_string(i / options_.rack_size)}}});
  }
  CallAfter(context_, kHeartbeat, [this] { Report(); });
}

}  // namespace sassafras::review

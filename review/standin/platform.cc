#include "review/standin/platform.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <iostream>

namespace review {
namespace {

// Limits and times of the store on the sheet.
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxCallBytes = 1'000'000;
constexpr std::size_t kRowBytes = 65536;
constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kHistoryChanges = 100'000;
constexpr milliseconds kStoreTime{4};
constexpr milliseconds kTick{5};
constexpr milliseconds kClientDeadline{3000};
constexpr milliseconds kStartUp{300};
constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& plain) {
  std::string text;
  for (std::size_t i = 0; i < plain.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8 |
             (i + j < plain.size() ? static_cast<unsigned char>(plain[i + j])
                                   : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(i + j > plain.size() ? '='
                                          : kDigits[bits >> (18 - 6 * j) & 63]);
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string plain;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char* digit = std::strchr(kDigits, c);
    if (digit == nullptr || c == '\0' || c == '=') {
      continue;
    }
    bits = bits << 6 | static_cast<std::uint32_t>(digit - kDigits);
    count += 6;
    if (count >= 8) {
      count -= 8;
      plain.push_back(static_cast<char>(bits >> count & 255));
    }
  }
  return plain;
}

std::string Query(const http_request& request, const std::string& name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void SleepFor(milliseconds time) {
  std::this_thread::sleep_for(time);
}

bool WaitFor(milliseconds time, const std::function<bool()>& holds) {
  const auto deadline = clock_type::now() + time;
  while (!holds()) {
    if (clock_type::now() > deadline) {
      return false;
    }
    SleepFor(milliseconds(20));
  }
  return true;
}

record& Record() {
  static record instance;
  return instance;
}

double record::Seconds() const {
  return std::chrono::duration<double>(clock_type::now() - began_).count();
}

void record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", Seconds());
  file_ << time << line << std::endl;
}

void record::CountStart(const std::string& job) {
  const std::lock_guard lock(mutex_);
  ++starts_[job];
}

int record::Starts(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return starts_[job];
}

int store::Start() {
  return StartServer(
      [this](const http_request& request) { return Serve(request); });
}

http_response store::Serve(const http_request& request) {
  SleepFor(kStoreTime);
  try {
    if (request.path == "/rows-tx") {
      return Transact(request);
    }
    if (request.path == "/rows-get") {
      return Read(request);
    }
    if (request.path == "/rows-parts") {
      return Parts(request);
    }
    if (request.path == "/rows-feed") {
      return Feed(request);
    }
  } catch (const std::exception& failure) {
    return {400, json{{"error", failure.what()}}.dump()};
  }
  return {404};
}

json store::Answer() const {
  return {{"ver", version_},
          {"nowMs", std::chrono::duration_cast<milliseconds>(
                        clock_type::now().time_since_epoch())
                        .count()}};
}

json store::ToJson(const row_key& key, const row& value) const {
  json document = {{"table", std::get<0>(key)},
                   {"part", std::get<1>(key)},
                   {"key", std::get<2>(key)},
                   {"ver", value.version}};
  if (value.version != 0) {
    document["value"] = value.value;
  }
  return document;
}

void store::Apply(const row_key& key,
                  const std::string& value,
                  bool is_deleted) {
  if (is_deleted) {
    rows_.erase(key);
  } else {
    rows_[key] = {value, version_};
  }
  history_.push_back({key, {value, version_}, is_deleted});
  if (history_.size() > kHistoryChanges) {
    dropped_version_ = history_.front().current.version;
    history_.pop_front();
  }
}

http_response store::Transact(const http_request& request) {
  const json document = json::parse(request.body);
  const auto key_of = [](const json& row) {
    return row_key{row.at("table"), row.value("part", std::string()),
                   row.at("key")};
  };
  const json empty = json::array();
  const json& conditions =
      document.contains("precondition") ? document.at("precondition") : empty;
  const json& puts = document.contains("puts") ? document.at("puts") : empty;
  const json& removed =
      document.contains("remove") ? document.at("remove") : empty;
  const bool is_too_large =
      conditions.size() + puts.size() + removed.size() > kMaxEntries ||
      request.body.size() > kMaxCallBytes ||
      std::any_of(puts.begin(), puts.end(), [](const json& put) {
        return FromBase64(put.at("value")).size() > kRowBytes;
      });
  if (is_too_large) {
    Record().Write("store: a transaction of " +
                   std::to_string(request.body.size()) +
                   " bytes is over a limit, answered 400");
    return {400, "{}"};
  }
  bool is_delayed = false;
  milliseconds delay{0};
  {
    const std::lock_guard lock(mutex_);
    is_delayed = delayed_writes_ > 0 && !puts.empty() &&
                 puts.front().at("table") == delayed_table_;
    delayed_writes_ -= is_delayed ? 1 : 0;
    delay = write_delay_;
  }
  if (is_delayed) {
    Record().Write("store: a write of " +
                   puts.front().at("key").get<std::string>() +
                   " gets no answer");
    SleepFor(delay);
  }
  const std::lock_guard lock(mutex_);
  for (const json* rows : {&conditions, &puts, &removed}) {
    for (const json& row : *rows) {
      if (parts_down_.contains(row.value("part", std::string()))) {
        Record().Write("store: 503 for a write of " +
                       row.at("key").get<std::string>());
        return {503};
      }
    }
  }
  bool holds = true;
  json current = json::array();
  for (const json& condition : conditions) {
    const row_key key = key_of(condition);
    const auto it = rows_.find(key);
    const row value = it == rows_.end() ? row() : it->second;
    holds = holds && value.version == condition.at("ver").get<std::uint64_t>();
    current.push_back(ToJson(key, value));
  }
  json answer = Answer();
  if (!holds) {
    answer["rows"] = current;
    return {412, answer.dump(), is_delayed};
  }
  ++version_;
  for (const json& put : puts) {
    Apply(key_of(put), put.at("value"), false);
  }
  for (const json& row : removed) {
    Apply(key_of(row), "", true);
  }
  answer["ver"] = version_;
  changed_.notify_all();
  if (is_delayed) {
    Record().Write("store: the late write of " +
                   puts.front().at("key").get<std::string>() + " is performed");
  }
  return {200, answer.dump(), is_delayed};
}

http_response store::Read(const http_request& request) {
  const std::string table = Query(request, "table");
  const std::string part = Query(request, "part");
  const std::string to = Query(request, "to");
  const std::string limit_text = Query(request, "limit");
  const std::size_t limit = std::min(
      kMaxRows, limit_text.empty() ? kMaxRows : std::stoul(limit_text));
  const std::lock_guard lock(mutex_);
  if (parts_down_.contains(part)) {
    return {503};
  }
  json rows = json::array();
  bool has_more = false;
  for (auto it = rows_.lower_bound({table, part, Query(request, "from")});
       it != rows_.end() && std::get<0>(it->first) == table &&
       std::get<1>(it->first) == part;
       ++it) {
    if (!to.empty() && std::get<2>(it->first) >= to) {
      break;
    }
    if (rows.size() == limit) {
      has_more = true;
      break;
    }
    rows.push_back(ToJson(it->first, it->second));
  }
  json answer = Answer();
  answer["rows"] = rows;
  answer["hasMore"] = has_more;
  return {200, answer.dump()};
}

http_response store::Parts(const http_request& request) {
  const std::lock_guard lock(mutex_);
  std::set<std::string> parts;
  for (const auto& [key, value] : rows_) {
    if (std::get<0>(key) == Query(request, "table") &&
        std::get<1>(key) > Query(request, "after")) {
      parts.insert(std::get<1>(key));
    }
  }
  json answer = Answer();
  answer["parts"] = parts;
  return {200, answer.dump()};
}

http_response store::Feed(const http_request& request) {
  const std::string table = Query(request, "table");
  const std::uint64_t after = std::stoull("0" + Query(request, "after"));
  const auto until = clock_type::now() +
                     milliseconds(std::stoll("0" + Query(request, "waitMs")));
  std::unique_lock lock(mutex_);
  for (;;) {
    if (after < dropped_version_) {
      return {410};
    }
    json rows = json::array();
    const auto first = std::partition_point(
        history_.begin(), history_.end(),
        [&](const change& item) { return item.current.version <= after; });
    for (auto it = first; it != history_.end(); ++it) {
      if (std::get<0>(it->key) == table) {
        rows.push_back(ToJson(it->key, it->current));
        if (it->is_deleted) {
          rows.back()["deleted"] = true;
          rows.back().erase("value");
        }
      }
    }
    if (is_feed_muted_) {
      rows.clear();
    }
    if (!rows.empty() || (!is_feed_muted_ && clock_type::now() >= until)) {
      json answer = Answer();
      answer["rows"] = rows;
      return {200, answer.dump()};
    }
    changed_.wait_for(lock, milliseconds(20));
  }
}

void store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++version_;
  Apply({table, "", key}, ToBase64(value), false);
  changed_.notify_all();
}

void store::SetPartsDown(std::set<std::string> parts) {
  const std::lock_guard lock(mutex_);
  parts_down_ = std::move(parts);
}

std::vector<std::string> store::PartsOf(const std::string& table) {
  const std::lock_guard lock(mutex_);
  std::set<std::string> parts;
  for (const auto& [key, value] : rows_) {
    if (std::get<0>(key) == table) {
      parts.insert(std::get<1>(key));
    }
  }
  return {parts.begin(), parts.end()};
}

void store::SetFeedMuted(bool is_muted) {
  const std::lock_guard lock(mutex_);
  is_feed_muted_ = is_muted;
}

void store::DelayWrites(const std::string& table,
                        int count,
                        milliseconds delay) {
  const std::lock_guard lock(mutex_);
  delayed_table_ = table;
  delayed_writes_ = count;
  write_delay_ = delay;
}

void store::DropHistory() {
  const std::lock_guard lock(mutex_);
  history_.clear();
  dropped_version_ = version_;
}

void store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (rows_.contains({table, "", key})) {
    ++version_;
    Apply({table, "", key}, "", true);
    changed_.notify_all();
  }
}

std::string store::Get(const std::string& table,
                       const std::string& part,
                       const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = rows_.find({table, part, key});
  return it == rows_.end() ? std::string() : FromBase64(it->second.value);
}

minion::minion(std::string id, std::string machine)
    : id_(std::move(id)), machine_(std::move(machine)), born_(WallMs()) {}

void minion::Start() {
  port_ = StartServer(
      [this](const http_request& request) { return Serve(request); });
}

json minion::Capacity() {
  return {{"cpu", 128000}, {"memMb", 262144}, {"gpu", 8}};
}

json minion::Entry(const std::string& state) {
  return {{"service", "heater-lab"},
          {"address", "127.0.0.1:" + std::to_string(port_)},
          {"zone", "lahore"},
          {"version", "v1"},
          {"slots", 8},
          {"state", state},
          {"seq", ++sequence_},
          {"born", born_},
          {"capacity", Capacity()},
          {"labels", {"a", "r1"}}};
}

std::int64_t minion::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(clock_type::now() - began_)
             .count() +
         1000;
}

http_response minion::Serve(const http_request& request) {
  http_response dropped;
  dropped.is_dropped = true;
  // A cut: what arrives is lost, and nothing is answered while it lasts.
  if (is_cut_off_) {
    while (is_cut_off_) {
      SleepFor(kTick);
    }
    return dropped;
  }
  if (has_left_) {
    return dropped;
  }
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != id_) {
    return {421};
  }
  http_response response;
  try {
    const json order = json::parse(request.body);
    if (request.path == "/run-start") {
      response = StartRun(order);
    } else if (request.path == "/run-stop") {
      response = StopRun(order);
    } else if (request.path == "/hold") {
      response = Hold(order);
    } else if (request.path == "/pace") {
      response = {200, json{{"clockMs", ClockMs()}, {"born", born_}}.dump()};
    } else {
      return {404};
    }
  } catch (const json::exception& failure) {
    return {400, json{{"error", failure.what()}}.dump()};
  }
  while (is_cut_off_) {
    SleepFor(kTick);
    response.is_dropped = true;
  }
  response.is_dropped = response.is_dropped || has_left_;
  return response;
}

http_response minion::Refuse(const char* reason) {
  return {
      409,
      json{{"clockMs", ClockMs()}, {"born", born_}, {"reason", reason}}.dump()};
}

void minion::ExtendLease(std::int64_t until_ms) {
  const auto until = began_ + milliseconds(until_ms - 1000);
  lease_end_ =
      std::max(lease_end_, std::min(until, clock_type::now() + kMaxHold));
}

http_response minion::StartRun(const json& order) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = order.value("fencingToken", std::uint64_t{0});
  if (fence < fence_) {
    return Refuse("fence");
  }
  fence_ = fence;
  const std::string task = order.at("task");
  const std::int64_t run = order.at("run");
  ExtendLease(order.at("untilMs"));
  const std::string answer =
      json{{"clockMs", ClockMs()}, {"born", born_}}.dump();
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run == run) {
    return {200, answer};
  }
  if (highest_closed_.contains(task) && run <= highest_closed_[task]) {
    return Refuse("old");
  }
  if (lease_end_ <= clock_type::now()) {
    return Refuse("late");
  }
  const json spec = json::parse(order.at("spec").get<std::string>());
  task_run started;
  started.task = task;
  started.run = run;
  started.began = clock_type::now();
  started.work = milliseconds(spec.value("ms", 0));
  started.is_lasting = spec.value("lasting", false);
  running_[task] = started;
  Record().CountStart(JobOf(task));
  Record().Write("run: " + task + " run " + std::to_string(run) +
                 " starts on " + id_ + ", token " + std::to_string(fence));
  return {200, answer};
}

http_response minion::StopRun(const json& order) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = order.value("fencingToken", std::uint64_t{0});
  if (fence < fence_) {
    return Refuse("fence");
  }
  fence_ = fence;
  const std::string task = order.at("task");
  const std::int64_t run = order.at("run");
  highest_closed_[task] = std::max(highest_closed_[task], run);
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.run <= run && !it->second.stops_at) {
    it->second.stops_at = clock_type::now() + kStopTime / 2;
    Record().Write("order: stop of " + task + " run " + std::to_string(run) +
                   " on " + id_ + ", token " + std::to_string(fence));
  }
  return {200, json{{"clockMs", ClockMs()}, {"born", born_}}.dump()};
}

json minion::Lists() {
  json running = json::array();
  for (const auto& [task, run] : running_) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(clock_type::now() - run.began);
    const int percent =
        run.is_lasting
            ? (age > kStartUp ? 100 : 0)
            : static_cast<int>(std::min<std::int64_t>(
                  99, 100 * age.count() /
                          std::max<std::int64_t>(1, run.work.count())));
    running.push_back(json::array({task, run.run, "", percent, 0}));
  }
  json ended = json::array();
  for (const ended_run& end : ended_) {
    ended.push_back(json::array({end.number, end.task, end.run, end.how, ""}));
  }
  return {{"clockMs", ClockMs()},
          {"born", born_},
          {"running", running},
          {"ended", ended}};
}

http_response minion::Hold(const json& order) {
  std::unique_lock lock(mutex_);
  const std::uint64_t fence = order.value("fencingToken", std::uint64_t{0});
  if (fence < fence_) {
    return Refuse("fence");
  }
  fence_ = fence;
  if (order.contains("untilMs")) {
    ExtendLease(order.at("untilMs"));
  }
  const std::int64_t seen = order.value("lastSeen", std::int64_t{0});
  std::erase_if(ended_, [&](const ended_run& end) {
    if (end.number <= seen) {
      Record().Write("end: " + end.task + " run " + std::to_string(end.run) +
                     " (" + end.how + ") on " + id_ + " is taken note of");
    }
    return end.number <= seen;
  });
  const auto until =
      clock_type::now() + milliseconds(order.value("waitMs", std::int64_t{0}));
  ended_changed_.wait_until(
      lock, until, [&] { return !ended_.empty() || has_left_.load(); });
  return {200, Lists().dump()};
}

void minion::End(const std::string& task, const std::string& how) {
  const task_run run = running_.at(task);
  running_.erase(task);
  highest_closed_[task] = std::max(highest_closed_[task], run.run);
  ended_.push_back({++last_end_, task, run.run, how});
  Record().Write("run: " + task + " run " + std::to_string(run.run) +
                 " ends as " + how + " on " + id_);
  ended_changed_.notify_all();
}

void minion::Advance() {
  const std::lock_guard lock(mutex_);
  const auto now = clock_type::now();
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, run] : running_) {
    if (now > lease_end_) {
      ends.emplace_back(task, "lapsed");
    } else if (run.stops_at) {
      if (now >= *run.stops_at) {
        ends.emplace_back(task, "stopped");
      }
    } else if (run.work.count() > 0 && now >= run.began + run.work) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) {
    End(task, how);
  }
}

void minion::Leave() {
  const std::lock_guard lock(mutex_);
  has_left_ = true;
  running_.clear();
  ended_changed_.notify_all();
}

std::vector<std::string> minion::Running(const std::string& job) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : running_) {
    if (JobOf(task) == job) {
      tasks.push_back(task + " run " + std::to_string(run.run));
    }
  }
  return tasks;
}

platform::platform(platform_options options) : options_(std::move(options)) {}

void platform::EndEntries() {
  for (int i = 0; i < static_cast<int>(entries_.size()); ++i) {
    if (entries_[i].pid > 0) {
      ::kill(entries_[i].pid, SIGCONT);
      ::kill(entries_[i].pid, SIGKILL);
      ::waitpid(entries_[i].pid, nullptr, 0);
      entries_[i].pid = 0;
    }
  }
}

std::shared_ptr<minion> platform::NewMinion(const std::string& machine) {
  auto added =
      std::make_shared<minion>("i-" + std::to_string(next_minion_++), machine);
  added->Start();
  return added;
}

bool platform::Start() {
  store_port_ = store_.Start();
  machines_port_ = StartServer(
      [this](const http_request& request) { return ServeMachines(request); });
  if (store_port_ == 0 || machines_port_ == 0) {
    return false;
  }
  json routes = json::array();
  routes.push_back({{"name", "cert-batch"},
                    {"host", "grid.example"},
                    {"prefix", "/cert/"},
                    {"service", "heater-lab"},
                    {"priority", 2},
                    {"attempts", 2},
                    {"stretch", 3.0},
                    {"targetDurationMs", 3000}});
  store_.Put("op", "config",
             json{{"version", 3},
                  {"routes", routes},
                  {"services",
                   {{{"name", "heater-lab"}, {"admissionControl", false}}}},
                  {"tenants", {{{"name", "heaters"}, {"apiKeys", {"key-1"}}}}},
                  {"limits", json::object()}}
                 .dump());
  for (int i = 0; i < options_.machines; ++i) {
    const std::string name = "m-" + std::to_string(i);
    machines_[name].current = NewMinion(name);
  }
  std::thread([this] { RunMinions(); }).detach();
  for (int i = 0; i < options_.entries; ++i) {
    entries_.push_back({FreePort(), FreePort(), FreePort(), 0});
    WriteSettings(i);
    StartEntry(i);
  }
  return WaitFor(milliseconds(15000), [&] {
    for (const entry& item : entries_) {
      if (Call(item.readiness, "GET", "/ready", {}, "", milliseconds(500))
              .status != 200) {
        return false;
      }
    }
    return Leader() >= 0;
  });
}

// Settings as the template of the deploy file gives them, with the figures of
// the sheet of piwhma-grid.
void platform::WriteSettings(int index) {
  const entry& item = entries_[index];
  std::ofstream file(options_.folder + "/entry-" + std::to_string(index) +
                     ".yaml");
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  file << "id: front-" << index
       << "\nplace: lahore\ncallers: " << address(item.callers)
       << "\nreadiness: " << address(item.readiness)
       << "\nstatus: " << address(item.status)
       << "\nstore: " << address(store_port_) << "\nadvice: \"\"\nmachines: \""
       << address(machines_port_)
       << "\"\nprocessor_share: 0.25\ndescriptors: 4100\nbounds:\n"
          "  greatest_lease: 6000ms\n  stop_time: 400ms\n"
          "  checkpoint_seconds: 1\n  restore_time: 250ms\n"
          "  reclaim_time: 2900ms\n  revoke_time: 5000ms\n"
          "  stop_grace_seconds: 6\n  state_seconds: "
       << options_.status_s << "\n";
}

void platform::StartEntry(int index) {
  const std::string settings =
      options_.folder + "/entry-" + std::to_string(index) + ".yaml";
  const std::string output =
      options_.folder + "/entry-" + std::to_string(index) + ".out";
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
        ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, 1);
    ::dup2(file, 2);
    ::execl(options_.entry_binary.c_str(), "sassafras-entry", "--config",
            settings.c_str(), nullptr);
    ::_exit(127);
  }
  entries_[index].pid = pid;
  Record().Write("platform: entry " + std::to_string(index) + " started");
}

void platform::Signal(int index, int signal) {
  Record().Write("platform: signal " + std::to_string(signal) + " to entry " +
                 std::to_string(index));
  ::kill(entries_[index].pid, signal);
  if (signal == SIGKILL || signal == SIGTERM) {
    ::waitpid(entries_[index].pid, nullptr, 0);
    entries_[index].pid = 0;
  }
}

int platform::RestartEnded() {
  int ended = 0;
  for (int i = 0; i < options_.entries; ++i) {
    int status = 0;
    if (entries_[i].pid > 0 &&
        ::waitpid(entries_[i].pid, &status, WNOHANG) == entries_[i].pid) {
      ++ended;
      Record().Write(
          "platform: entry " + std::to_string(i) + " has ended by itself" +
          (WIFSIGNALED(status) ? ", signal " + std::to_string(WTERMSIG(status))
                               : ""));
      entries_[i].pid = 0;
      SleepFor(milliseconds(300));
      StartEntry(i);
    }
  }
  return ended;
}

int platform::Leader() {
  const json row = json::parse(store_.Get("lease", "", "jobs"), nullptr, false);
  if (!row.is_object() || row.value("released", false)) {
    return -1;
  }
  const std::string holder = row.value("holder", std::string());
  return holder.starts_with("front-") ? std::stoi(holder.substr(6)) : -1;
}

http_response platform::Client(int entry,
                               const std::string& method,
                               const std::string& id,
                               const std::string& body) {
  const http_response response =
      Call(entries_[entry].callers, method, "/cert/" + id,
           {{"Host", "grid.example"},
            {"Authorization", "Bearer key-1"},
            {"Content-Type", "application/json"},
            {"X-Deadline-Ms", std::to_string(kClientDeadline.count())}},
           body, kClientDeadline);
  Record().Write("client: " + method + " " + id + " at entry " +
                 std::to_string(entry) + " -> " +
                 std::to_string(response.status) + " " +
                 response.body.substr(0, 120));
  return response;
}

http_response platform::ClientRetry(const std::string& method,
                                    const std::string& id,
                                    const std::string& body,
                                    int tries) {
  http_response response;
  response.status = 0;
  for (int i = 0; i < tries; ++i) {
    response = Client(i % options_.entries, method, id, body);
    if (response.status / 100 == 2 || response.status == 410) {
      return response;
    }
    SleepFor(milliseconds(500));
  }
  return response;
}

std::string platform::State(const std::string& id) {
  const http_response response = ClientRetry("GET", id, "", 4);
  const json document = json::parse(response.body, nullptr, false);
  return document.is_object() ? document.value("state", std::string())
                              : std::string();
}

std::vector<std::shared_ptr<minion>> platform::Minions() {
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<minion>> minions;
  for (const auto& [name, state] : machines_) {
    if (state.current) {
      minions.push_back(state.current);
    }
  }
  return minions;
}

// Advances the runs, registers the minions, and brings machines back from
// their upkeep. A minion that is cut off does not register, and its row is
// removed after three heartbeats.
void platform::RunMinions() {
  auto next_report = clock_type::now();
  std::map<std::string, int> missed;
  for (;;) {
    const bool is_report_due = clock_type::now() >= next_report;
    {
      const std::lock_guard lock(mutex_);
      for (auto& [name, state] : machines_) {
        if (state.back_at && clock_type::now() >= *state.back_at) {
          state.back_at.reset();
          state.current = NewMinion(name);
          store_.Put("servers", state.current->Id(),
                     state.current->Entry("ready").dump());
          Record().Write("platform: machine " + name + " is up, minion " +
                         state.current->Id());
        }
        if (!state.current) {
          continue;
        }
        state.current->Advance();
        const std::string& id = state.current->Id();
        if (is_report_due && !state.current->IsCutOff()) {
          missed[id] = 0;
          store_.Put("servers", id, state.current->Entry("ready").dump());
        } else if (is_report_due && ++missed[id] >= 3) {
          store_.Remove("servers", id);
        }
      }
    }
    if (is_report_due) {
      next_report += kHeartbeat;
    }
    SleepFor(kTick);
  }
}

void platform::RequestWave(int number,
                           const std::vector<std::string>& machines,
                           int max_count,
                           int deadline_s) {
  {
    const std::lock_guard lock(mutex_);
    waves_[number] = {machines.begin(), machines.end()};
  }
  const std::string value = json{
      {"wave", number},
      {"machines", machines},
      {"deadlineS", deadline_s},
      {"maxCount", max_count}}.dump();
  Record().Write("operator: op/wave/" + std::to_string(number) + " = " + value);
  store_.Put("op", "wave/" + std::to_string(number), value);
}

std::string platform::WaveState(int number) {
  const json row =
      json::parse(store_.Get("status", "", "wave/" + std::to_string(number)),
                  nullptr, false);
  return row.is_object() ? row.value("state", std::string()) : std::string();
}

int platform::UpkeepsOf(const std::string& machine) {
  const std::lock_guard lock(mutex_);
  return machines_.at(machine).upkeeps;
}

http_response platform::ServeMachines(const http_request& request) {
  const std::lock_guard lock(mutex_);
  if (request.path == "/machines") {
    json rows = json::array();
    for (const auto& [name, state] : machines_) {
      json row = {{"machine", name},
                  {"pool", "heater-lab"},
                  {"state", state.current ? "up" : "upkeep"},
                  {"zone", "lahore"},
                  {"labels", {"a", "r1"}},
                  {"capacity", minion::Capacity()}};
      if (state.current) {
        row["id"] = state.current->Id();
      }
      rows.push_back(row);
    }
    return {200, json{{"machines", rows}, {"nextToken", ""}}.dump()};
  }
  if (request.path != "/machine-upkeep") {
    return {404};
  }
  const json order = json::parse(request.body, nullptr, false);
  const std::string name = order.value("machine", std::string());
  const std::int64_t wave = order.value("wave", std::int64_t{0});
  const auto token = request.headers.find("x-fencing-token");
  const std::uint64_t fence =
      token == request.headers.end() ? 0 : std::stoull(token->second);
  const auto it = machines_.find(name);
  if (it == machines_.end()) {
    return {400};
  }
  machine_state& state = it->second;
  const auto answer = [&](int status, const std::string& text) {
    Record().Write("machines: upkeep of " + name + " for wave " +
                   std::to_string(wave) + ", token " + std::to_string(fence) +
                   " -> " + std::to_string(status) + " " + text);
    return http_response{status,
                         status == 200 ? "{}" : json{{"reason", text}}.dump()};
  };
  if (fence < state.fence) {
    return answer(409, "fence");
  }
  state.fence = fence;
  if (!waves_[wave].contains(name)) {
    return answer(409, "wave");
  }
  if (state.waves.contains(wave)) {
    return answer(200, "already done");
  }
  if (!state.current) {
    return answer(409, "busy");
  }
  state.waves.insert(wave);
  ++state.upkeeps;
  state.current->Leave();
  store_.Remove("servers", state.current->Id());
  state.current.reset();
  state.back_at = clock_type::now() + kMaintenance;
  return answer(200, "begins");
}

}  // namespace review

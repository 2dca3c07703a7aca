#ifndef SASSAFRAS_REVIEW_STANDIN_2_WORLD_H_
#define SASSAFRAS_REVIEW_STANDIN_2_WORLD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_client.h"
#include "sassafras/net/http_server.h"

namespace sassafras::review {

using nlohmann::json;

/// Milliseconds of the steady clock since the stand-in has started.
std::int64_t NowMs();

/// Writes lines with their time to the record of the case. Thread-safe.
class recorder {
 public:
  explicit recorder(const std::string& path) : file_(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// The platform's store: rows, transactions and the change feed, with the
/// limits of the users' pages for a call and a row.
class store {
 public:
  store(boost::asio::io_context& context, recorder& record)
      : context_(context), record_(record) {}

  void Serve(http_exchange exchange);
  void Put(const std::string& table,
           const std::string& key,
           const std::string& text);
  void Erase(const std::string& table, const std::string& key);
  std::optional<std::string> Read(const std::string& table,
                                  const std::string& key) const;
  int RejectedTooLarge() const { return rejected_too_large_; }

 private:
  struct row {
    std::string table;
    std::string part;
    std::string key;
    std::string value;  ///< base64
    std::uint64_t version = 0;
    bool is_erased = false;
  };
  using row_name = std::tuple<std::string, std::string, std::string>;

  static json ToJson(const row& item);
  http_response Transact(const std::string& body);
  http_response Get(const std::map<std::string, std::string>& query) const;
  void ServeFeed(http_exchange exchange,
                 const std::map<std::string, std::string>& query,
                 std::int64_t until_ms);
  http_response RowsAnswer(int status, const json& rows, bool has_more) const;
  void Apply(row changed);

  boost::asio::io_context& context_;
  recorder& record_;
  std::map<row_name, row> rows_;
  std::deque<row> history_;
  std::uint64_t version_ = 0;
  int rejected_too_large_ = 0;
};

/// One run that a minion was told to start.
struct run_event {
  std::int64_t at_ms = 0;
  std::string minion;
  std::string task;
  std::int64_t run = 0;
  std::int64_t ended_ms = -1;  ///< -1: it goes on.
  std::string how;
  std::int64_t work_ms = 0;  ///< Done when it ended, with its checkpoint's.
};

/// Minions that run tasks. A task works for the time "ms" of its job's `spec`.
class minions {
 public:
  struct options {
    std::string address_prefix;  ///< Minion i listens on PREFIX.(100 + i).
    int port = 0;
    int count = 8;
    std::int64_t max_lease_ms = 6000;
    std::int64_t stop_ms = 200;
    int accelerators = 8;
  };

  minions(boost::asio::io_context& context,
          store& rows,
          recorder& record,
          counter_table& counters,
          options chosen);

  bool Start();
  /// Ends the process of a minion: nothing runs there, nothing is answered.
  void Crash(const std::string& id);
  /// Starts it again under its id.
  void Restart(const std::string& id);

  const std::vector<run_event>& Events() const { return events_; }
  int CountRunning() const;
  int CountRunning(const std::string& job) const;

 private:
  struct run_state {
    std::int64_t left_ms = 0;
    std::int64_t total_ms = 0;
    bool lasts = false;
    std::int64_t restores_until_ms = 0;
    std::int64_t stops_at_ms = -1;
    std::size_t event = 0;
  };
  struct end_row {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string saved;
  };
  struct minion {
    std::string id;
    std::string address;
    std::string rack;
    std::int64_t born = 0;
    std::int64_t clock_origin_ms = 0;
    std::int64_t lease_end_ms = 0;
    std::uint64_t fence = 0;
    std::int64_t sequence = 0;
    std::int64_t ends = 0;
    bool is_down = false;
    std::map<std::pair<std::string, std::int64_t>, run_state> running;
    std::map<std::string, std::int64_t> closed;
    std::vector<end_row> ended;
    std::shared_ptr<http_server> server;
  };

  void Serve(minion& host, http_exchange exchange);
  static std::string SavedOf(const run_state& state);
  http_response StartRun(minion& host, const json& order);
  http_response StopRun(minion& host, const json& order);
  http_response Hold(minion& host, const json& order);
  void AnswerHold(minion& host,
                  http_exchange exchange,
                  json order,
                  std::int64_t until_ms,
                  std::int64_t born);
  bool IsFenced(minion& host, const json& order);
  void Extend(minion& host, const json& order);
  http_response Answer(const minion& host, int status, json body) const;
  void EndRun(minion& host,
              const std::pair<std::string, std::int64_t>& run,
              const std::string& how);
  void Advance();
  void Report();
  minion& Find(const std::string& id);

  boost::asio::io_context& context_;
  store& store_;
  recorder& record_;
  counter_table& counters_;
  options options_;
  std::vector<std::unique_ptr<minion>> minions_;
  std::vector<run_event> events_;
  std::int64_t advanced_ms_ = 0;
};

/// The service for advice. It handles the calls of one machine in turn, each
/// for its decision time and a time for each worker named.
class policy {
 public:
  policy(boost::asio::io_context& context,
         recorder& record,
         counter_table& counters)
      : context_(context), record_(record), counters_(counters) {}

  bool Start(const std::string& address);
  void SetTimes(std::int64_t decision_ms, std::int64_t period_ms) {
    decision_ms_ = decision_ms;
    period_ms_ = period_ms;
  }

 private:
  void Serve(http_exchange exchange);

  boost::asio::io_context& context_;
  recorder& record_;
  counter_table& counters_;
  std::shared_ptr<http_server> server_;
  std::int64_t decision_ms_ = 0;
  std::int64_t period_ms_ = 0;
  std::int64_t busy_until_ms_ = 0;
  int waiting_ = 0;
};

/// Store, minions and a client, served by one thread. Scenarios call it from
/// another one.
class world {
 public:
  struct options {
    std::string prefix;  ///< First three numbers of the loopback addresses.
    int port = 0;
    std::vector<std::string> entries;  ///< "IP:port" for callers.
    std::vector<int> pids;             ///< Of the entry processes.
    std::string record;
    bool has_trouble = true;
  };
  struct reply {
    int status = 0;  ///< 0: no answer.
    json body;
  };

  world(options chosen, minions::options fleet);
  ~world();

  /// Opens the servers and waits until all entry processes serve calls.
  bool Start(const json& configuration);
  const options& Options() const { return options_; }
  void Note(const std::string& line) { record_.Write(line); }

  /// Sends a call to an entry process and waits for its answer.
  reply Call(std::size_t entry,
             const std::string& method,
             const std::string& queue,
             const std::string& id,
             const json& body = json(),
             std::int64_t timeout_ms = 3000,
             bool is_quiet = false);
  /// Key that the next calls carry.
  void UseKey(const std::string& key) { key_ = key; }
  /// Writes a configuration as the operator does.
  void Configure(const json& configuration);
  /// Runs `action` on the thread of the stand-ins.
  void InLoop(const std::function<void(store&, minions&)>& action);
  void SetAdviceTimes(std::int64_t decision_ms, std::int64_t period_ms);
  std::vector<run_event> Events();
  int CountRunning(const std::string& job = {});
  /// Index of the entry process that owns the jobs, by the lease's row.
  std::optional<std::size_t> Owner();
  void Signal(std::size_t entry, int signal, const std::string& what);
  static void Sleep(std::int64_t ms);

 private:
  options options_;
  std::string key_ = "team-key";
  recorder record_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  counter_table counters_;
  std::shared_ptr<http_client> client_;
  store store_;
  minions minions_;
  std::shared_ptr<http_server> store_server_;
  policy policy_;
  std::thread thread_;
};

/// Minions run a task of the job until it is stopped.
inline constexpr std::int64_t kLasts = 0;

/// A configuration of three queues of one service and of two teams, one with
/// guaranteed accelerators.
json MakeConfiguration();

/// A submission of one step. `work_ms` is kLasts for tasks that last.
json MakeJob(std::int64_t work_ms, int count, int cpu, int gpu);

}  // namespace sassafras::review

#endif  // SASSAFRAS_REVIEW_STANDIN_2_WORLD_H_

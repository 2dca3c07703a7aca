// The users' platform in memory, as PROTOCOL.md describes it: the store, the
// minions, the service for machines, the operator and the clients. It starts
// the entry processes and ends them.
#ifndef REVIEW_STANDIN_PLATFORM_H_
#define REVIEW_STANDIN_PLATFORM_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "review/standin/http.h"

namespace review {

using json = nlohmann::json;
using std::chrono::milliseconds;

/// Bounds of the deployment, those of the sheet of piwhma-grid.
inline constexpr milliseconds kMaxHold{6000};
inline constexpr milliseconds kStopTime{400};
inline constexpr milliseconds kCancelBound{3000};
inline constexpr milliseconds kStableWindow{3000};
inline constexpr milliseconds kMaintenance{2000};
inline constexpr milliseconds kHeartbeat{1500};

/// Writes what was sent, answered and run, with the time since the start.
class record {
 public:
  void Open(const std::string& path) { file_.open(path); }
  void Write(const std::string& line);
  double Seconds() const;
  /// Counts a task of the job as started.
  void CountStart(const std::string& job);
  int Starts(const std::string& job);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::map<std::string, int> starts_;
  clock_type::time_point began_ = clock_type::now();
};

record& Record();

class store {
 public:
  int Start();
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Value of a row of a part; empty if there is none.
  std::string Get(const std::string& table,
                  const std::string& part,
                  const std::string& key);
  /// The store is unavailable in these parts: calls to them get 503.
  void SetPartsDown(std::set<std::string> parts);
  /// Parts of a table that hold rows.
  std::vector<std::string> PartsOf(const std::string& table);
  /// While muted, the change feed tells nothing.
  void SetFeedMuted(bool is_muted);
  /// The next `count` writes of rows of `table` get no answer, and are
  /// performed after `delay` if their condition holds then.
  void DelayWrites(const std::string& table, int count, milliseconds delay);
  /// Discards the history: a feed that continues from before gets 410.
  void DropHistory();

 private:
  using row_key = std::tuple<std::string, std::string, std::string>;
  struct row {
    std::string value;  ///< Base64.
    std::uint64_t version = 0;
  };
  struct change {
    row_key key;
    row current;
    bool is_deleted = false;
  };

  http_response Serve(const http_request& request);
  http_response Transact(const http_request& request);
  http_response Read(const http_request& request);
  http_response Parts(const http_request& request);
  http_response Feed(const http_request& request);
  json ToJson(const row_key& key, const row& value) const;
  json Answer() const;
  void Apply(const row_key& key, const std::string& value, bool is_deleted);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<row_key, row> rows_;
  std::deque<change> history_;
  std::uint64_t version_ = 0;
  std::uint64_t dropped_version_ = 0;  ///< Changes up to it are discarded.
  std::set<std::string> parts_down_;
  bool is_feed_muted_ = false;
  std::string delayed_table_;
  std::atomic<int> delayed_writes_{0};
  milliseconds write_delay_{0};
};

/// One task that a minion runs. Its `spec` is JSON: `ms` is its work. A task
/// with `lasting` is at work after a short start and ends as done after `ms`,
/// if that is not 0.
struct task_run {
  std::string task;
  std::int64_t run = 0;
  clock_type::time_point began;
  milliseconds work{0};
  bool is_lasting = false;
  std::optional<clock_type::time_point> stops_at;
};

class minion {
 public:
  minion(std::string id, std::string machine);

  void Start();
  const std::string& Id() const { return id_; }
  const std::string& Machine() const { return machine_; }
  json Entry(const std::string& state);
  /// While cut off, it hears and answers nothing, and runs on.
  void SetCutOff(bool is_cut_off) { is_cut_off_ = is_cut_off; }
  bool IsCutOff() const { return is_cut_off_; }
  /// Ends the minion and all that runs on it.
  void Leave();
  bool HasLeft() const { return has_left_; }
  /// Tasks of the job that run now.
  std::vector<std::string> Running(const std::string& job);
  void Advance();
  static json Capacity();

 private:
  struct ended_run {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  http_response Serve(const http_request& request);
  http_response StartRun(const json& order);
  http_response StopRun(const json& order);
  http_response Hold(const json& order);
  http_response Refuse(const char* reason);
  json Lists();
  void End(const std::string& task, const std::string& how);
  std::int64_t ClockMs() const;
  void ExtendLease(std::int64_t until_ms);

  const std::string id_;
  const std::string machine_;
  const clock_type::time_point began_ = clock_type::now();
  const std::int64_t born_;
  int port_ = 0;
  std::int64_t sequence_ = 0;
  std::mutex mutex_;
  std::condition_variable ended_changed_;
  std::map<std::string, task_run> running_;
  std::map<std::string, std::int64_t> highest_closed_;
  std::vector<ended_run> ended_;
  std::int64_t last_end_ = 0;
  std::uint64_t fence_ = 0;
  clock_type::time_point lease_end_;
  std::atomic<bool> is_cut_off_{false};
  std::atomic<bool> has_left_{false};
};

struct platform_options {
  int entries = 3;
  int machines = 6;
  std::string entry_binary;
  std::string folder;  ///< For settings and output of the processes.
  int status_s = 120;  ///< Bound of the same name.
};

class platform {
 public:
  explicit platform(platform_options options);

  /// Ends all entry processes.
  void EndEntries();

  /// Starts everything, and waits until all entries are ready. False: the case
  /// cannot run.
  bool Start();

  store& Store() { return store_; }
  std::vector<std::shared_ptr<minion>> Minions();

  void StartEntry(int index);
  /// Sends a signal to an entry process. After SIGKILL or SIGTERM it is waited
  /// for.
  void Signal(int index, int signal);
  /// Starts entry processes that have ended by themselves again, as the
  /// platform does after a short delay. Returns how many had ended.
  int RestartEnded();
  /// The entry that last wrote the lease row; -1: none.
  int Leader();

  /// Client calls at an entry, with a deadline of 3 s. Status 0: no answer.
  http_response Client(int entry,
                       const std::string& method,
                       const std::string& id,
                       const std::string& body = "");
  /// Sends a request until it gets a 2xx answer or 410, at most `tries` times,
  /// at the next entry each time.
  http_response ClientRetry(const std::string& method,
                            const std::string& id,
                            const std::string& body,
                            int tries);
  std::string State(const std::string& id);

  /// Asks for the upkeep of the machines, as the operator does.
  void RequestWave(int number,
                   const std::vector<std::string>& machines,
                   int max_count,
                   int deadline_s);
  std::string WaveState(int number);
  /// Upkeeps begun on a machine.
  int UpkeepsOf(const std::string& machine);

 private:
  struct entry {
    int callers = 0;
    int readiness = 0;
    int status = 0;
    pid_t pid = 0;
  };
  struct machine_state {
    std::shared_ptr<minion> current;
    std::optional<clock_type::time_point> back_at;
    std::uint64_t fence = 0;
    std::set<std::int64_t> waves;
    int upkeeps = 0;
  };

  void WriteSettings(int index);
  http_response ServeMachines(const http_request& request);
  void RunMinions();
  std::shared_ptr<minion> NewMinion(const std::string& machine);

  const platform_options options_;
  store store_;
  int store_port_ = 0;
  int machines_port_ = 0;
  std::vector<entry> entries_;
  std::mutex mutex_;
  std::map<std::string, machine_state> machines_;
  std::map<std::int64_t, std::set<std::string>> waves_;
  int next_minion_ = 100;
};

void SleepFor(milliseconds time);
/// Waits until `holds` returns true, at most `time`.
bool WaitFor(milliseconds time, const std::function<bool()>& holds);

}  // namespace review

#endif  // REVIEW_STANDIN_PLATFORM_H_

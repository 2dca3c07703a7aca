#ifndef SASSAFRAS_TESTS_OWNER_WORLD_H_
#define SASSAFRAS_TESTS_OWNER_WORLD_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/decode.h"
#include "platform/machine_calls.h"
#include "programs/entry/job_owner.h"
#include "sassafras/sched/job_codec.h"
#include "tests/fake_minion.h"
#include "tests/fake_table.h"

namespace sassafras {

/// Runs one job_owner at a time against a store, minions and machines in
/// virtual time. Every call is answered after kCallTime.
class owner_world {
 public:
  static constexpr duration kCallTime = std::chrono::milliseconds(2);
  static constexpr duration kUpkeepTime = std::chrono::seconds(2);
  static constexpr int kMinions = 4;

  owner_world() {
    settings.id = {"entry-1"};
    settings.state_time = std::chrono::seconds(20);
    settings.tombstone_time = std::chrono::seconds(60);
    for (int i = 0; i < kMinions; ++i) {
      const std::string machine = "m" + std::to_string(i);
      machines[machine] = {machine, "lab", sched::machine_state::kUp, ""};
      AddMinion(machine, "old-" + machine);
    }
    MakeAdapter();
    StartOwner();
  }

  /// Ends the owner as a kill would, and starts another process, which owns the
  /// jobs once the lease has run out.
  void ReplaceOwner() {
    ++process_;  // Timers and answers of the former process are dropped.
    settings.id = {"entry-" + std::to_string(process_ + 1)};
    StartOwner();
  }

  /// Advances virtual time by `length`.
  void Run(duration length) {
    const instant end = now + length;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto timer = timers_.begin();
      now = std::max(now, timer->first);
      const std::function<void()> action = std::move(timer->second);
      timers_.erase(timer);
      action();
    }
    now = end;
  }

  void Submit(const std::string& id, int tasks, duration length) {
    sched::accepted_job job =
        sched::OneStep(id, 1, tasks, {1000, 1000, 1}, length);
    job.queue = "q";
    job.service = "lab";
    PutRow(sched::JobKey(id),
           sched::EncodeJobRow({sched::job_row_kind::kAccepted, job}));
  }

  /// Stores the cancelling of a job, as the process that acknowledges it does.
  void Cancel(const std::string& id) { PutRow(sched::CancelKey(id), "{}"); }

  /// Returns the number of runs of `job` on all minions.
  int CountRunning(const std::string& job) const {
    int count = 0;
    for (const auto& [id, minion] : minions_) {
      for (const auto& [run, held] : minion.running) {
        count += run.task.job == job ? 1 : 0;
      }
    }
    return count;
  }

  /// Requests the upkeep of `names`, as the operator does.
  void RequestWave(int number, const std::vector<std::string>& names) {
    std::string list;
    for (const std::string& name : names) {
      list += (list.empty() ? "\"" : ",\"") + name + "\"";
    }
    const std::string key = "op/wave/" + std::to_string(number);
    PutRow(key, "{\"wave\":" + std::to_string(number) + ",\"machines\":[" +
                    list + "],\"deadlineS\":60,\"maxCount\":2}");
    wave_keys_.push_back(key);
    owner->OnOperatorRow(table.Read(key));
  }

  /// Text of the status row of a wave; empty if there is none.
  std::string WaveStatus(int number) const {
    return table.Read("status/wave/" + std::to_string(number)).value;
  }

  void PutRow(const std::string& key, const std::string& value) {
    table.Commit({{key, table.Read(key).version, value}});
  }

  /// Makes the change feed continue only after a scan, once.
  void ForgetHistory() { is_history_forgotten_ = true; }

  instant now{std::chrono::hours(1)};
  fake_table table;
  entry_settings settings;
  counter_table counters;
  metrics metrics_registry{counters};
  platform_adapter adapter;
  std::shared_ptr<job_owner> owner;
  std::map<std::string, sched::machine_row> machines;
  std::map<std::string, int> starts;   ///< Executed starts by job.
  std::map<std::string, int> upkeeps;  ///< Executed upkeeps by machine.
  duration scan_time = kCallTime;      ///< From a scan to its answer.
  /// Time that passes whenever the owner reads the clock, which it does between
  /// the rows that it loads: stands for the work on each of them.
  duration clock_read_time{0};
  /// Decides the answer to a commit before it takes effect; empty: it is
  /// carried out.
  std::function<std::optional<commit_answer>(const table_transaction&)>
      intercept_commit;

 private:
  struct held_run {
    instant ends_at;
  };
  struct world_minion {
    std::int64_t incarnation_unix_ms = 1;
    std::map<sched::run_key, held_run> running;
    std::vector<sched::listed_end> ended;
    std::int64_t end_count = 0;
  };

  void After(duration delay, std::function<void()> action) {
    timers_.emplace(now + delay,
                    [this, process = process_, action = std::move(action)] {
                      if (process == process_) {
                        action();
                      }
                    });
  }

  template <class Answer>
  void Reply(const std::function<void(Answer)>& done, Answer answer) {
    After(kCallTime, [done, answer] { done(answer); });
  }

  void AddMinion(const std::string& machine, const std::string& id) {
    machines.at(machine).minion = id;
    minions_[id] = {};
    PutRow("servers/" + id,
           R"({"service":"lab","address":"10.0.0.1:80","zone":"a",)"
           R"("state":"ready","born":1,)"
           R"("capacity":{"cpu":128000,"memMb":262144,"gpu":8},)"
           R"("labels":["kind","r0"]})");
  }

  void MakeAdapter() {
    adapter.table.commit = [this](const table_transaction& transaction,
                                  std::function<void(commit_answer)> done) {
      std::optional<commit_answer> answer;
      if (intercept_commit) {
        answer = intercept_commit(transaction);
      }
      Reply<commit_answer>(done, answer ? *answer : table.Commit(transaction));
    };
    adapter.table.read = [this](const std::vector<std::string>& keys,
                                std::function<void(read_answer)> done) {
      read_answer answer{answer_state::kDone, {}};
      for (const std::string& key : keys) {
        answer.rows.push_back(table.Read(key));
      }
      Reply<read_answer>(done, answer);
    };
    adapter.table.scan = [this](const std::string& prefix,
                                const std::string& after, std::size_t limit,
                                std::function<void(read_answer)> done) {
      const read_answer answer = table.Scan(prefix, after, limit);
      After(scan_time, [done, answer] { done(answer); });
    };
    adapter.table.follow = [this](const std::string&, std::uint64_t after,
                                  duration,
                                  std::function<void(follow_answer)> done) {
      After(std::chrono::milliseconds(20),
            [this, after, done] { done(ReadFeed(after)); });
    };
    adapter.minion_table = "servers/";
    adapter.decode_minion = platform::DecodeMinion;
    adapter.decode_wave = platform::DecodeWave;
    adapter.encode_wave_status = platform::EncodeWaveStatus;
    MakeOrders();
    MakeMachines();
  }

  follow_answer ReadFeed(std::uint64_t after) {
    follow_answer answer;
    if (std::exchange(is_history_forgotten_, false)) {
      answer.is_history_truncated = true;
      return answer;
    }
    answer.state = answer_state::kDone;
    answer.store_version = after;
    for (const auto& [key, row] : table.rows) {
      if (key.starts_with("jobs:") && row.version > after) {
        answer.rows.push_back(row);
        answer.store_version = std::max(answer.store_version, row.version);
      }
    }
    return answer;
  }

  void MakeOrders() {
    adapter.orders.start = [this](
                               const sched::start_order& order,
                               std::function<void(sched::order_answer)> done) {
      world_minion& minion = minions_[order.minion.id];
      if (!minion.running.contains(order.run)) {
        ++starts[order.run.task.job];
        const auto row = sched::DecodeJobRow(
            table.Read(sched::JobKey(order.run.task.job)).value);
        const duration length =
            row ? row.value().job.spec.steps.front().estimate
                : std::chrono::seconds(1);
        minion.running[order.run] = {now + length};
      }
      Reply<sched::order_answer>(done, {sched::order_outcome::kDone});
    };
    adapter.orders.stop = [this](
                              const sched::stop_order& order,
                              std::function<void(sched::order_answer)> done) {
      world_minion& minion = minions_[order.minion.id];
      if (minion.running.erase(order.run) > 0) {
        minion.ended.push_back(
            {++minion.end_count, order.run, sched::run_end::kStopped, ""});
      }
      Reply<sched::order_answer>(done, {sched::order_outcome::kDone});
    };
    adapter.orders.poll = [this](const sched::poll_order& order,
                                 std::function<void(sched::poll_answer)> done) {
      After(std::min<duration>(order.wait, std::chrono::milliseconds(50)) +
                kCallTime,
            [this, order, done] { done(AnswerPoll(order)); });
    };
  }

  sched::poll_answer AnswerPoll(const sched::poll_order& order) {
    sched::poll_answer answer;
    const auto it = minions_.find(order.minion.id);
    if (it == minions_.end()) {
      return answer;
    }
    world_minion& minion = it->second;
    answer.outcome = sched::order_outcome::kDone;
    answer.clock_ms = now.time_since_epoch().count() / 1000;
    answer.incarnation_unix_ms = minion.incarnation_unix_ms;
    std::erase_if(minion.ended, [&](const sched::listed_end& end) {
      return end.number <= order.acknowledged;
    });
    for (auto run = minion.running.begin(); run != minion.running.end();) {
      if (now >= run->second.ends_at) {
        minion.ended.push_back(
            {++minion.end_count, run->first, sched::run_end::kDone, ""});
        run = minion.running.erase(run);
      } else {
        answer.running.push_back({run->first, "", 50, 0});
        ++run;
      }
    }
    answer.ended = minion.ended;
    return answer;
  }

  void MakeMachines() {
    adapter.machines.list =
        [this](
            std::function<void(bool, std::vector<sched::machine_row>)> done) {
          std::vector<sched::machine_row> rows;
          for (const auto& [id, row] : machines) {
            rows.push_back(row);
          }
          After(kCallTime, [done, rows] { done(true, rows); });
        };
    adapter.machines.begin_upkeep =
        [this](const sched::upkeep_order& order,
               std::function<void(sched::upkeep_outcome)> done) {
          BeginUpkeep(order);
          Reply<sched::upkeep_outcome>(done, sched::upkeep_outcome::kBegun);
        };
  }

  // A machine is taken down once for each wave.
  void BeginUpkeep(const sched::upkeep_order& order) {
    if (!done_upkeeps_.insert({order.machine, order.wave}).second) {
      return;
    }
    ++upkeeps[order.machine];
    sched::machine_row& row = machines.at(order.machine);
    minions_.erase(row.minion);
    const std::string entry = "servers/" + row.minion;
    table.Commit({{entry, table.Read(entry).version, "", true}});
    row.state = sched::machine_state::kUpkeep;
    row.minion.clear();
    timers_.emplace(
        now + kUpkeepTime, [this, machine = order.machine, wave = order.wave] {
          machines.at(machine).state = sched::machine_state::kUp;
          AddMinion(machine, "wave" + std::to_string(wave) + "-" + machine);
        });
  }

  void StartOwner() {
    job_owner::hooks hooks;
    hooks.now = [this] { return now += clock_read_time; };
    hooks.wall_unix_ms = [this] {
      return now.time_since_epoch().count() / 1000;
    };
    hooks.after = [this](duration delay, std::function<void()> action) {
      After(delay, std::move(action));
    };
    hooks.evacuations = [] { return sched::evacuations(); };
    owner = job_owner::Make(adapter, adapter.table, settings, 100, counters,
                            metrics_registry, hooks);
    auto config = std::make_shared<sched::service_config>();
    config->version = 1;
    sched::job_queue queue;
    queue.name = "q";
    queue.service = "lab";
    config->queues.push_back(queue);
    config->services["lab"] = {"lab", false, false};
    owner->OnConfig(config);
    for (const std::string& key : wave_keys_) {
      owner->OnOperatorRow(table.Read(key));
    }
    owner->Start();
  }

  int process_ = 0;
  std::multimap<instant, std::function<void()>> timers_;
  std::map<std::string, world_minion> minions_;
  std::set<std::pair<std::string, std::int64_t>> done_upkeeps_;
  std::vector<std::string> wave_keys_;
  bool is_history_forgotten_ = false;
};

}  // namespace sassafras

#endif  // SASSAFRAS_TESTS_OWNER_WORLD_H_

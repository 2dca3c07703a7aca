#ifndef SASSAFRAS_TESTS_JOB_WORLD_H_
#define SASSAFRAS_TESTS_JOB_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/job/job_core.h"
#include "sassafras/job/submission.h"
#include "tests/fake_table.h"

namespace sassafras {

using namespace std::chrono_literals;

/// A worker in memory: starts what it is given under a lease.
struct fake_worker {
  struct task {
    task_report report;
    instant lease_end;
    int throttle_percent = 0;
    instant end;  ///< When the work is done, while it runs.
  };

  void Advance(instant now) {
    for (auto& [id, item] : tasks) {
      task_state& state = item.report.state;
      const bool is_live =
          state == task_state::kHeld || state == task_state::kRunning;
      if (state == task_state::kRunning && item.end <= now &&
          item.end <= item.lease_end) {
        state = fails_work ? task_state::kFailed : task_state::kEnded;
      } else if (is_live && item.lease_end <= now) {
        state = task_state::kStopped;
      }
    }
  }

  task_report Start(const task_start& start, instant now) {
    const auto [it, is_new] = tasks.try_emplace(start.task.value);
    task_report& report = it->second.report;
    if (is_new) {
      const task_state state =
          fails_start ? task_state::kFailed : task_state::kHeld;
      report = {start.task, start.job, start.attempt, state};
      it->second.lease_end = now + start.lease;
    }
    return report;
  }

  task_report Change(const job::job_action& action,
                     const task_id& id,
                     instant now) {
    task& item = tasks[id.value];
    item.report.task = id;
    task_report& report = item.report;
    if (report.state != task_state::kHeld &&
        report.state != task_state::kRunning) {
      return report;
    }
    if (const auto* throttle = std::get_if<job::throttle_task>(&action)) {
      item.throttle_percent = throttle->throttle_percent;
      if (report.state == task_state::kHeld) {
        report.state = task_state::kRunning;
        item.end = now + work;
        ++begun[ParseTaskId(id)->job.value];
      }
    } else if (std::holds_alternative<job::checkpoint_task>(action)) {
      report.checkpoint = id.value + "-saved";
    } else {
      report.state = task_state::kStopped;
    }
    return report;
  }

  std::vector<task_report> Renew(const job::renew_tasks& renewal, instant now) {
    std::vector<task_report> reports;
    for (const task_id& id : renewal.tasks) {
      task_report report;
      report.task = id;
      const auto it = tasks.find(id.value);
      if (it != tasks.end()) {
        report = it->second.report;
        it->second.lease_end =
            std::max(it->second.lease_end, now + renewal.lease);
      }
      reports.push_back(report);
    }
    return reports;
  }

  std::map<std::string, task> tasks;
  std::map<std::string, int> begun;  ///< Tasks that left kHeld, by job.
  duration work = 20s;
  bool is_dead = false;
  bool loses_answers = false;  ///< Acts, but the answer is lost.
  bool is_hanging = false;     ///< Its checkpoints never end.
  bool fails_start = false;
  bool fails_work = false;
};

/// Schedulers over one store and a few workers, in virtual time.
class job_world {
 public:
  struct scheduler {
    std::unique_ptr<job::job_core> core;
    bool is_dead = false;
    instant paused_until;
    std::uint64_t epoch = 0;                    ///< Of its last ownership.
    std::vector<std::function<void()>> missed;  ///< Events while paused.
  };

  explicit job_world(config_ptr published, int schedulers = 2)
      : config(std::move(published)) {
    for (const auto& [id, item] : config->objects.workers) {
      workers[id.value];
    }
    for (int i = 0; i < schedulers; ++i) {
      AddScheduler();
    }
    TakeOver(0);
  }

  int AddScheduler() {
    all.push_back({std::make_unique<job::job_core>(options, counters)});
    const int index = static_cast<int>(all.size()) - 1;
    Send(index, job::config_changed{config});
    return index;
  }

  /// Makes scheduler `index` the owner; the lease fences the one before.
  void TakeOver(int index) {
    owner = index;
    all[index].epoch = ++epoch;
  }

  /// Puts a configuration in force in every scheduler.
  void Publish(const config_ptr& next) {
    config = next;
    for (int i = 0; i < static_cast<int>(all.size()); ++i) {
      Send(i, job::config_changed{config});
    }
  }

  void Kill(int index) { all[index].is_dead = true; }

  /// Runs virtual time on.
  void Run(duration length) {
    const instant end = now + length;
    while (now < end) {
      now += 100ms;
      while (!agenda_.empty() && agenda_.begin()->first <= now) {
        const auto next = agenda_.extract(agenda_.begin());
        next.mapped()();
      }
      for (auto& [id, worker] : workers) {
        worker.Advance(now);
      }
      for (int i = 0; i < static_cast<int>(all.size()); ++i) {
        Wake(i);
        Send(i, job::tick{});
      }
      if (on_step) {
        on_step();
      }
    }
  }

  /// Runs until `holds`, at most `longest`. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& holds, duration longest) {
    const instant end = now + longest;
    while (!holds() && now < end) {
      Run(100ms);
    }
    return holds();
  }

  job_id Submit(const std::string& key,
                const std::string& class_name,
                const std::string& shape,
                const char* team = "team") {
    const std::string body = R"({"class":")" + class_name + R"(","shape":")" +
                             shape + R"(","run":"20s","payload":"{}"})";
    job::job_submission submission(
        job::MakeJobRow(config->objects, team_id{team}, key, body, WallMs())
            .value());
    submission.OnCommit(store.Commit(submission.Transaction()));
    return submission.Row().id;
  }

  void Cancel(const job_id& job) {
    job::job_cancellation cancellation(job, team_id{"team"});
    const auto& keys = cancellation.Keys();
    read_answer rows{answer_state::kDone,
                     {store.Read(keys[0]), store.Read(keys[1])}};
    if (cancellation.OnRead(rows) == job::api_step::kCommit) {
      store.Commit(cancellation.Transaction());
    }
  }

  job_row Row(const job_id& job) const {
    const table_row row = store.Read(JobKey(job));
    return DecodeJobRow(row.key, row.value).value();
  }

  bool Is(const job_id& job, job_state state) const {
    return Row(job).state == state;
  }

  /// Number of tasks of `job` in `state` on all workers.
  int Tasks(const job_id& job, task_state state) const {
    int count = 0;
    for (const auto& [id, worker] : workers) {
      for (const auto& [name, item] : worker.tasks) {
        count += static_cast<int>(item.report.job == job &&
                                  item.report.state == state);
      }
    }
    return count;
  }

  /// Number of tasks of `job` that ever began to work.
  int Begun(const job_id& job) const {
    int count = 0;
    for (const auto& [id, worker] : workers) {
      const auto it = worker.begun.find(job.value);
      count += it == worker.begun.end() ? 0 : it->second;
    }
    return count;
  }

  std::int64_t WallMs() const { return now.time_since_epoch().count() / 1000; }

  config_ptr config;
  counter_table counters;
  job::job_core_options options;
  fake_table store;
  std::map<std::string, fake_worker> workers;
  std::vector<scheduler> all;
  int owner = 0;
  std::uint64_t epoch = 0;
  instant now{1'000'000s};
  std::function<void()> on_step;
  /// Sees each action before it is carried out; false drops it and the
  /// scheduler that wanted it.
  std::function<bool(const job::job_action&)> on_action;

 private:
  static constexpr duration kDelay = 10ms;

  job::job_ownership OwnershipOf(int index) const {
    job::job_ownership ownership;
    ownership.may_act = index == owner && !store.is_down;
    ownership.epoch = all[index].epoch;
    ownership.is_other_alive =
        index != owner && !all[owner].is_dead && !store.is_down;
    return ownership;
  }

  void Wake(int index) {
    if (all[index].paused_until <= now) {
      for (const auto& event : std::exchange(all[index].missed, {})) {
        event();
      }
    }
  }

  void Send(int index, const job::job_event& event) {
    if (all[index].is_dead || all[index].paused_until > now) {
      return;
    }
    const auto actions =
        all[index].core->Handle(now, OwnershipOf(index), event);
    for (const job::job_action& action : actions) {
      if (on_action && !on_action(action)) {
        all[index].is_dead = true;
      }
      if (!all[index].is_dead) {
        std::visit([&](const auto& one) { Act(index, action, one); }, action);
      }
    }
  }

  void Later(int index, job::job_event event) {
    agenda_.emplace(now + kDelay, [this, index, event = std::move(event)] {
      if (all[index].paused_until > now) {
        all[index].missed.emplace_back(
            [this, index, event] { Send(index, event); });
        return;
      }
      Send(index, event);
    });
  }

  void Act(int index, const job::job_action&, const job::scan_rows& scan) {
    Later(index,
          job::rows_scanned{scan.scan, WallMs(),
                            store.Scan(scan.prefix, scan.after, scan.limit)});
  }

  void Act(int index, const job::job_action&, const job::read_rows& read) {
    read_answer answer{
        store.is_down ? answer_state::kNotDone : answer_state::kDone, {}};
    for (const std::string& key : read.keys) {
      answer.rows.push_back(store.Read(key));
    }
    Later(index, job::rows_read{read.read, WallMs(), answer});
  }

  void Act(int index, const job::job_action&, const job::commit_rows& commit) {
    commit_answer answer{answer_state::kNotDone, error_kind::kLeaseLost, {}};
    if (index == owner) {
      answer = store.Commit(commit.transaction);
    }
    Later(index, job::rows_committed{commit.commit, answer});
  }

  void Act(int, const job::job_action&, const job::state_changed&) {}

  void Act(int index, const job::job_action&, const job::start_task& start) {
    fake_worker& worker = workers.at(start.worker.value);
    task_answer answer{answer_state::kUnknown, {}};
    if (!worker.is_dead) {
      answer = {answer_state::kDone, worker.Start(start.start, now)};
    }
    Answer(index, worker,
           {job::task_call::kStart, start.worker, start.start.task, answer});
  }

  template <class Action>
  void Act(int index, const job::job_action& action, const Action& change) {
    constexpr job::task_call kCall =
        std::is_same_v<Action, job::throttle_task> ? job::task_call::kThrottle
        : std::is_same_v<Action, job::stop_task>   ? job::task_call::kStop
                                                 : job::task_call::kCheckpoint;
    fake_worker& worker = workers.at(change.worker.value);
    task_answer answer{answer_state::kUnknown, {}};
    const bool is_stuck =
        worker.is_hanging && kCall == job::task_call::kCheckpoint;
    if (!worker.is_dead && !is_stuck) {
      answer = {answer_state::kDone, worker.Change(action, change.task, now)};
    }
    Answer(index, worker, {kCall, change.worker, change.task, answer});
  }

  void Answer(int index, const fake_worker& worker, job::task_answered event) {
    if (worker.loses_answers) {
      event.answer = {answer_state::kUnknown, {}};
    }
    Later(index, std::move(event));
  }

  void Act(int index, const job::job_action&, const job::renew_tasks& renewal) {
    fake_worker& worker = workers.at(renewal.worker.value);
    report_answer answer{answer_state::kUnknown, {}};
    if (!worker.is_dead) {
      answer = {answer_state::kDone, worker.Renew(renewal, now)};
    }
    if (worker.loses_answers) {
      answer = {answer_state::kUnknown, {}};
    }
    Later(index, job::tasks_renewed{renewal.worker, renewal.sent, answer});
  }

  void Act(int index, const job::job_action&, const job::list_tasks& list) {
    const fake_worker& worker = workers.at(list.worker.value);
    report_answer answer{answer_state::kNotDone, {}};
    if (!worker.is_dead && !worker.loses_answers) {
      answer.state = answer_state::kDone;
      for (const auto& [name, item] : worker.tasks) {
        answer.tasks.push_back(item.report);
      }
    }
    Later(index, job::tasks_listed{list.worker, list.sent, answer});
  }

  std::multimap<instant, std::function<void()>> agenda_;
};

/// A small site: `count` workers of 8 accelerators in one rack, the shapes
/// "one" (a whole worker), "four" (four whole workers) and "small" (one
/// accelerator), the classes "again", "once" and "urgent", and the team "team"
/// or also "promised", which is guaranteed one "four".
inline config_ptr MakeJobSite(int count, bool has_promise = false) {
  auto config = std::make_shared<published_config>();
  config->version = 1;
  config_set& set = config->objects;
  const resources whole{8, 128, 240'000};
  set.places[place_id{"place"}] = {place_id{"place"}, "region"};
  set.racks[rack_id{"rack"}] = {rack_id{"rack"}, place_id{"place"}};
  for (int i = 1; i <= count; ++i) {
    const worker_id id{"w" + std::to_string(i)};
    set.workers[id] = {id, rack_id{"rack"}, id.value, {8, 130, 256'000}};
  }
  const auto add_shape = [&](const char* name, int size, resources need) {
    const shape_id id{name};
    set.shapes[id] = {id, size > 1 ? shape_level::kRack : shape_level::kWorker,
                      size, need};
  };
  add_shape("one", 1, whole);
  add_shape("four", 4, whole);
  add_shape("small", 1, {1, 16, 30'000});
  set.teams[team_id{"team"}] = {team_id{"team"}};
  job_class again{class_id{"again"}, class_kind::kJob};
  again.can_checkpoint = true;
  again.checkpoint_grace = 3s;
  again.max_restarts = 2;
  set.classes[again.id] = again;
  job_class urgent{class_id{"urgent"}, class_kind::kJob, urgency::kUrgent};
  urgent.max_restarts = 2;
  set.classes[urgent.id] = urgent;
  if (has_promise) {
    team promised{team_id{"promised"}};
    promised.guarantees = {{shape_id{"four"}, 1}};
    set.teams[promised.id] = promised;
  }
  job_class once{class_id{"once"}, class_kind::kJob};
  once.is_idempotent = false;
  once.on_loss = member_loss_policy::kEnd;
  set.classes[once.id] = once;
  return config;
}

}  // namespace sassafras

#endif  // SASSAFRAS_TESTS_JOB_WORLD_H_

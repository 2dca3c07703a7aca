#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "programs/shell/lease_keeper.h"
#include "sassafras/core/invariant.h"
#include "tests/job_world.h"
#include "tests/soak_driver.h"
#include "tests/soak_store.h"

namespace sassafras {
namespace {

constexpr int kSchedulers = 3;
constexpr int kWorkers = 6;
constexpr duration kQuiet = 30min;
constexpr const char* kShapes[] = {"one", "four", "small"};

struct scheduler {
  std::string incarnation;  // Empty while it is dead.
  instant paused_until;
  std::shared_ptr<lease_keeper> keeper;
  std::unique_ptr<job::job_core> core;
};

// What is known of a job from outside.
struct known_job {
  bool is_accepted = false;
  std::set<int> recorded_running;  // Attempts.
  std::set<int> worked;            // Attempts.
  std::set<std::string> held;      // Tasks that were held once.
};

class jobs_run {
 public:
  explicit jobs_run(const soak_options& options)
      : driver_(options), store_(driver_), config_(MakeSite()) {
    SetInvariantHandler(
        [this](std::string_view name) { driver_.Check(false, name); });
    store_.on_change = [this](const table_row& old_row,
                              const table_row& new_row) {
      OnRow(old_row, new_row);
    };
    for (int i = 0; i < kSchedulers; ++i) {
      Start(i);
    }
    for (const auto& [id, item] : config_->objects.workers) {
      workers_[id.value];
    }
    driver_.After(5s, [this] { Arrive(); });
    driver_.After(9s, [this] { BringAboutFailure(); });
  }

  soak_result Run() {
    driver_.Run(kQuiet, [this] { Heal(); });
    CheckEnd();
    soak_result result = driver_.Result();
    for (const auto& [name, value] : counters_.Snapshot()) {
      result.met[name] += value;
    }
    return result;
  }

 private:
  static config_ptr MakeSite() {
    auto site = std::make_shared<published_config>(*MakeJobSite(kWorkers));
    team& owner = site->objects.teams[team_id{"team"}];
    owner.guarantees.push_back({shape_id{"one"}, 1});
    site->objects.teams[team_id{"other"}] = {team_id{"other"}};
    return site;
  }

  bool IsBorn(int index, const std::string& incarnation) const {
    return !incarnation.empty() && all_[index].incarnation == incarnation;
  }

  // Runs `act` in one start of a scheduler, later if it pauses.
  void In(int index, const std::string& born, std::function<void()> act) {
    if (!IsBorn(index, born)) {
      return;
    }
    if (all_[index].paused_until > driver_.now) {
      driver_.After(
          all_[index].paused_until - driver_.now,
          [this, index, born, act = std::move(act)] { In(index, born, act); });
      return;
    }
    act();
  }

  template <class Answered>
  std::function<void(Answered)> Guarded(int index,
                                        std::function<void(Answered)> done) {
    return [this, index, born = all_[index].incarnation,
            done = std::move(done)](Answered answer) {
      In(index, born, [done, answer] { done(answer); });
    };
  }

  void Start(int index) {
    scheduler& self = all_[index];
    self = scheduler();
    self.incarnation = std::to_string(++incarnations_);
    table_port port;
    port.commit = [this, index](table_transaction transaction,
                                std::function<void(commit_answer)> done) {
      store_.Commit(std::move(transaction), Guarded(index, std::move(done)));
    };
    port.read = [this, index](const std::vector<std::string>& keys,
                              std::function<void(read_answer)> done) {
      store_.Read(keys, Guarded(index, std::move(done)));
    };
    lease_options lease{
        "lease/jobs", {"s" + std::to_string(index)}, self.incarnation};
    self.keeper = lease_keeper::Make(
        lease, port, counters_,
        {[this] { return driver_.now; }, [](std::uint64_t) {}, [] {}});
    self.core =
        std::make_unique<job::job_core>(job::job_core_options{}, counters_);
    Give(index, job::config_changed{config_});
    Tick(index, self.incarnation);
  }

  void Tick(int index, const std::string& born) {
    In(index, born, [this, index, born] {
      all_[index].keeper->Tick();
      if (IsBorn(index, born)) {
        Give(index, job::tick{});
      }
      driver_.After(100ms, [this, index, born] { Tick(index, born); });
    });
  }

  void Kill(int index) {
    driver_.Note("fault_scheduler_killed", all_[index].incarnation);
    // A call of it may be on the stack.
    dead_.push_back(std::exchange(all_[index], scheduler()));
    driver_.After(driver_.Delay() * 5, [this, index] {
      dead_.clear();
      if (all_[index].incarnation.empty()) {
        Start(index);
      }
    });
  }

  void Give(int index, const job::job_event& event) {
    scheduler& self = all_[index];
    const std::string born = self.incarnation;
    const std::string holder = self.keeper->LastHolder();
    job::job_ownership ownership{self.keeper->MayAct(), self.keeper->Epoch()};
    ownership.is_other_alive = !ownership.may_act && !holder.empty() &&
                               holder != "s" + std::to_string(index) &&
                               !store_.is_down;
    const auto actions = self.core->Handle(driver_.now, ownership, event);
    const int dies_at =
        driver_.IsFaulty() && driver_.Pick(6'000) == 0 ? driver_.Pick(4) : -1;
    int count = 0;
    for (const job::job_action& action : actions) {
      if (count++ == dies_at) {
        Kill(index);
      }
      if (!IsBorn(index, born)) {
        return;
      }
      std::visit([&](const auto& one) { Act(index, action, one); }, action);
    }
  }

  std::int64_t WallMs() const {
    return driver_.now.time_since_epoch().count() / 1000;
  }

  void Act(int index, const job::job_action&, const job::scan_rows& scan) {
    store_.Scan(scan.prefix, scan.after, scan.limit,
                Guarded<read_answer>(index, [=, this](read_answer answer) {
                  Give(index, job::rows_scanned{scan.scan, WallMs(), answer});
                }));
  }
  void Act(int index, const job::job_action&, const job::read_rows& read) {
    store_.Read(read.keys,
                Guarded<read_answer>(index, [=, this](read_answer answer) {
                  Give(index, job::rows_read{read.read, WallMs(), answer});
                }));
  }
  void Act(int index, const job::job_action&, const job::commit_rows& commit) {
    all_[index].keeper->Commit(
        commit.transaction,
        Guarded<commit_answer>(index, [=, this](commit_answer answer) {
          Later(index, job::rows_committed{commit.commit, answer});
        }));
  }
  void Act(int, const job::job_action&, const job::state_changed& change) {
    driver_.Note("job_state_changed",
                 change.subject + " " + change.state + " " + change.reason);
  }

  void Later(int index, job::job_event event) {
    const std::string born = all_[index].incarnation;
    driver_.After(driver_.Delay(), [=, this] {
      In(index, born, [=, this] { Give(index, event); });
    });
  }

  // Delivers a call to its worker after a delay, without regard to what became
  // of the sender, and brings back the answer unless it is lost.
  template <class Answer>
  void Call(int index,
            const worker_id& worker,
            std::function<Answer(fake_worker&)> act,
            std::function<job::job_event(Answer)> event) {
    const std::string born = all_[index].incarnation;
    const bool is_lost = driver_.IsFaulty() && driver_.Chance(2);
    driver_.After(driver_.Delay(), [=, this] {
      fake_worker& item = workers_.at(worker.value);
      item.Advance(driver_.now);
      Answer answer;
      answer.state = answer_state::kUnknown;
      if (!item.is_dead && cut_links_.count({index, worker}) == 0 &&
          !(is_lost && driver_.Chance(50))) {
        answer = act(item);
      }
      if (item.loses_answers || is_lost) {
        driver_.met.Add("fault_worker_answer_lost");
        answer = Answer();
        answer.state = answer_state::kUnknown;
      }
      driver_.After(driver_.Delay(), [=, this] {
        In(index, born, [=, this] { Give(index, event(answer)); });
      });
    });
  }

  void Act(int index, const job::job_action&, const job::start_task& start) {
    if (!all_[index].keeper->MayAct()) {
      Later(index, job::task_answered{job::task_call::kStart,
                                      start.worker,
                                      start.start.task,
                                      {answer_state::kNotDone, {}}});
      return;
    }
    Call<task_answer>(
        index, start.worker,
        [=, this](fake_worker& worker) {
          driver_.Check(start.start.throttle_percent == 0, "starts_are_held");
          driver_.Note("start", start.start.task.value);
          const task_report report = worker.Start(start.start, driver_.now);
          if (report.state == task_state::kHeld) {
            jobs_[start.start.job.value].held.insert(start.start.task.value);
          }
          return task_answer{answer_state::kDone, report};
        },
        [=](task_answer answer) {
          return job::task_answered{job::task_call::kStart, start.worker,
                                    start.start.task, answer};
        });
  }

  template <class Action>
  void Act(int index, const job::job_action& action, const Action& change) {
    constexpr job::task_call kCall =
        std::is_same_v<Action, job::throttle_task> ? job::task_call::kThrottle
        : std::is_same_v<Action, job::stop_task>   ? job::task_call::kStop
                                                 : job::task_call::kCheckpoint;
    if (!all_[index].keeper->MayAct()) {
      Later(
          index,
          job::task_answered{
              kCall, change.worker, change.task, {answer_state::kNotDone, {}}});
      return;
    }
    Call<task_answer>(
        index, change.worker,
        [=, this](fake_worker& worker) {
          const bool was_held =
              StateOf(worker, change.task) == task_state::kHeld;
          const task_report report =
              worker.Change(action, change.task, driver_.now);
          driver_.Note("task_" + std::to_string(static_cast<int>(kCall)),
                       change.task.value);
          if (was_held && report.state == task_state::kRunning) {
            OnWork(change.worker, change.task);
          }
          return task_answer{answer_state::kDone, report};
        },
        [=](task_answer answer) {
          return job::task_answered{kCall, change.worker, change.task, answer};
        });
  }
  void Act(int index, const job::job_action&, const job::renew_tasks& renewal) {
    Call<report_answer>(
        index, renewal.worker,
        [=, this](fake_worker& worker) {
          return report_answer{answer_state::kDone,
                               worker.Renew(renewal, driver_.now)};
        },
        [=](report_answer answer) {
          return job::tasks_renewed{renewal.worker, renewal.sent, answer};
        });
  }
  void Act(int index, const job::job_action&, const job::list_tasks& list) {
    Call<report_answer>(
        index, list.worker,
        [](fake_worker& worker) {
          report_answer answer{answer_state::kDone, {}};
          for (const auto& [name, item] : worker.tasks) {
            answer.tasks.push_back(item.report);
          }
          return answer;
        },
        [=](report_answer answer) {
          return job::tasks_listed{list.worker, list.sent, answer};
        });
  }

  static task_state StateOf(const fake_worker& worker, const task_id& task) {
    const auto it = worker.tasks.find(task.value);
    return it == worker.tasks.end() ? task_state::kStopped
                                    : it->second.report.state;
  }

  std::optional<job_row> Row(const std::string& job) const {
    const auto it = store_.rows.find(JobKey(job_id{job}));
    if (it == store_.rows.end()) {
      return std::nullopt;
    }
    return DecodeJobRow(it->first, it->second.value).value();
  }

  // A task begins to work.
  void OnWork(const worker_id& where, const task_id& task) {
    const auto name = ParseTaskId(task);
    known_job& known = jobs_[name->job.value];
    const job_row row = *Row(name->job.value);
    known.worked.insert(name->attempt);
    driver_.Check(known.recorded_running.count(name->attempt) > 0,
                  "work_only_after_record");
    int held = 0;
    for (int i = 0; i < row.terms.tasks; ++i) {
      held += static_cast<int>(
          known.held.count(MakeTaskId(row.id, name->attempt, i).value));
    }
    driver_.Check(held == row.terms.tasks, "gang_is_whole");
    driver_.Check(row.terms.is_idempotent || known.worked.size() == 1,
                  "non_idempotent_job_works_once");
    driver_.Check(
        row.state == job_state::kRunning || row.state == job_state::kStopping,
        "no_work_after_the_record_" + std::string(GetName(row.state)));
    resources used;
    for (auto& [id, item] : workers_.at(where.value).tasks) {
      if (item.report.state == task_state::kRunning) {
        used += jobs_need_[item.report.job.value];
        driver_.Check(item.report.job != name->job ||
                          item.report.attempt == name->attempt,
                      "one_attempt_works");
      }
    }
    driver_.Check(config_->objects.workers.at(where).capacity.Holds(used),
                  "no_overcommit_at_work");
  }

  void OnRow(const table_row& old_row, const table_row& new_row) {
    if (!new_row.key.starts_with(kJobPrefix)) {
      return;
    }
    const job_row row = DecodeJobRow(new_row.key, new_row.value).value();
    jobs_need_[row.id.value] = row.terms.need;
    known_job& known = jobs_[row.id.value];
    driver_.Note("row", row.id.value + " " + std::string(GetName(row.state)) +
                            " " + std::to_string(row.attempt));
    if (old_row.version != 0) {
      const job_row old = DecodeJobRow(old_row.key, old_row.value).value();
      driver_.Check(old.state != job_state::kEnded,
                    "ended_row_is_never_changed");
    }
    if (row.state == job_state::kRunning) {
      known.recorded_running.insert(row.attempt);
    }
    if (row.state == job_state::kWaiting || row.state == job_state::kEnded) {
      for (auto& [id, worker] : workers_) {
        worker.Advance(driver_.now);
        for (const auto& [task, item] : worker.tasks) {
          driver_.Check(item.report.job != row.id ||
                            item.report.state != task_state::kRunning,
                        "nothing_works_after_it_waits_or_ended");
        }
      }
    }
    if (row.state == job_state::kEnded) {
      driver_.met.Add("outcome_" + std::string(GetName(row.outcome)));
      driver_.Check(row.outcome != job_outcome::kNotRun || known.worked.empty(),
                    "not_run_did_not_work");
      driver_.Check(row.outcome != job_outcome::kNone, "ended_has_an_outcome");
    }
  }

  void Arrive() {
    if (!driver_.IsFaulty()) {
      return;
    }
    const int count = driver_.Chance(3) ? 15 : 1;
    for (int i = 0; i < count; ++i) {
      Submit();
    }
    if (!accepted_.empty() && driver_.Chance(20)) {
      Cancel(driver_.PickRecent(accepted_));
    }
    driver_.After(std::chrono::milliseconds(driver_.Pick(20'000)),
                  [this] { Arrive(); });
  }

  // A gateway records a submission; it may die before it answers.
  void Submit() {
    const bool is_again = driver_.Chance(10) && submitted_ > 0;
    const std::string key =
        "k" + std::to_string(is_again ? submitted_ : ++submitted_);
    const std::string body = std::string(R"({"class":")") +
                             (driver_.Chance(50) ? "again" : "once") +
                             R"(","shape":")" + kShapes[driver_.Pick(3)] +
                             R"(","run":"20s","payload":"{}"})";
    const team_id owner{driver_.Chance(50) ? "team" : "other"};
    auto row = job::MakeJobRow(config_->objects, owner, key, body, WallMs());
    auto submission =
        std::make_shared<job::job_submission>(std::move(row.value()));
    Advance(submission, job::api_step::kCommit, [this](const auto& done) {
      const std::string id = done.Row().id.value;
      if (!std::exchange(jobs_[id].is_accepted, true)) {
        accepted_.push_back(id);
      }
      driver_.Note("job_accepted", id);
    });
  }

  void Cancel(const std::string& id) {
    const auto row = Row(id);
    auto cancellation = std::make_shared<job::job_cancellation>(
        job_id{id}, row ? row->team : team_id());
    Advance(cancellation, job::api_step::kRead, [this, id](const auto&) {
      driver_.Note("job_cancel_recorded", id);
    });
  }

  template <class Work, class Done>
  void Advance(const std::shared_ptr<Work>& work,
               job::api_step step,
               Done done) {
    if (driver_.IsFaulty() && driver_.Chance(1)) {
      driver_.met.Add("fault_gateway_died_in_job_api");
      return;
    }
    switch (step) {
      case job::api_step::kCommit:
        store_.Commit(work->Transaction(), [=, this](commit_answer answer) {
          Advance(work, work->OnCommit(answer), done);
        });
        return;
      case job::api_step::kRead:
        store_.Read(work->Keys(), [=, this](read_answer answer) {
          Advance(work, work->OnRead(answer), done);
        });
        return;
      case job::api_step::kDone:
        done(*work);
        return;
      case job::api_step::kFail:
        driver_.Note("job_api_failed_" +
                     std::string(GetErrorInfo(work->Failure().kind).name));
        return;
    }
  }

  void BringAboutFailure() {
    if (!driver_.IsFaulty()) {
      return;
    }
    const int index = driver_.Pick(kSchedulers);
    fake_worker& worker =
        workers_.at("w" + std::to_string(1 + driver_.Pick(kWorkers)));
    const bool is_bad = driver_.Chance(40);
    switch (driver_.Pick(11)) {
      case 10: {
        const std::pair link(
            index, worker_id{"w" + std::to_string(1 + driver_.Pick(kWorkers))});
        if (cut_links_.erase(link) == 0) {
          driver_.met.Add("fault_link_cut");
          cut_links_.insert(link);
        }
        break;
      }
      case 0:
        if (!all_[index].incarnation.empty()) {
          Kill(index);
        }
        break;
      case 1:
        driver_.Note("fault_scheduler_paused", all_[index].incarnation);
        all_[index].paused_until = driver_.now + driver_.Delay() * 15;
        break;
      case 2:
        store_.is_down = !store_.is_down;
        driver_.Note(store_.is_down ? "fault_store_down" : "store_up");
        break;
      case 3:
        store_.is_slow = !store_.is_slow;
        driver_.Note(store_.is_slow ? "fault_store_slow" : "store_fast");
        break;
      case 4:
        store_.are_reads_stale = !store_.are_reads_stale;
        store_.Snapshot();
        break;
      case 5:
        driver_.met.Add(is_bad ? "fault_worker_dead" : "worker_back");
        worker.is_dead = is_bad;
        break;
      case 6:
        driver_.met.Add("fault_worker_restarted");
        worker.tasks.clear();
        break;
      case 7:
        driver_.met.Add(is_bad ? "fault_worker_fails_starts" : "worker_good");
        worker.fails_start = is_bad;
        break;
      case 8:
        driver_.met.Add(is_bad ? "fault_worker_fails_work" : "worker_good");
        worker.fails_work = is_bad;
        break;
      default:
        driver_.met.Add(is_bad ? "fault_worker_silent" : "worker_good");
        worker.loses_answers = is_bad;
    }
    driver_.After(std::chrono::milliseconds(driver_.Pick(20'000)),
                  [this] { BringAboutFailure(); });
  }

  void Heal() {
    store_.is_down = store_.is_slow = store_.are_reads_stale = false;
    cut_links_.clear();
    for (auto& [id, worker] : workers_) {
      worker.is_dead = worker.loses_answers = false;
      worker.fails_start = worker.fails_work = false;
    }
    for (scheduler& item : all_) {
      item.paused_until = std::min(item.paused_until, driver_.now);
    }
  }

  void CheckEnd() {
    for (const std::string& id : accepted_) {
      const auto row = Row(id);
      driver_.Check(row.has_value(), "accepted_job_is_kept " + id);
      driver_.Check(!row || row->state == job_state::kEnded,
                    "accepted_job_ends " + id + " " +
                        (row ? std::string(GetName(row->state)) : "") + " " +
                        (row ? row->reason : ""));
    }
  }

  soak_driver driver_;
  soak_store store_;
  config_ptr config_;
  counter_table counters_;
  scheduler all_[kSchedulers];
  std::vector<scheduler> dead_;
  std::map<std::string, fake_worker> workers_;
  std::set<std::pair<int, worker_id>> cut_links_;  // Scheduler to worker.
  std::map<std::string, known_job> jobs_;
  std::map<std::string, resources> jobs_need_;
  std::vector<std::string> accepted_;
  int submitted_ = 0;
  int incarnations_ = 0;
};

}  // namespace

soak_result SoakJobs(const soak_options& options) {
  return jobs_run(options).Run();
}

}  // namespace sassafras

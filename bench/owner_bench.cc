#include "bench/owner_bench.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/bench_report.h"
#include "bench/capacity_bench.h"
#include "sassafras/core/random.h"
#include "sassafras/sched/work_core.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;
using namespace sched;

constexpr duration kStep = 5ms;
constexpr duration kLength = 30s;
constexpr duration kListInterval = 600ms;
constexpr int kMinionsPerRack = 8;
constexpr int kQueues = 3;
// Accelerators asked for, as a share of all there are: an ordinary load, and
// one that leaves jobs waiting and evicts for urgent ones.
constexpr double kOrdinaryUse = 0.67;
constexpr double kCrowdedUse = 1.2;
constexpr std::int64_t kAccelerators = 8;

// A kind of jobs: what one job holds, for how long, and its share of all jobs.
struct job_kind {
  int priority;
  int count;
  resource_amounts needs;
  duration length;
  bool is_gang;
  double share;
};

constexpr std::array<job_kind, 3> kKinds = {{
    {0, 3, {15'000, 22'000, 4}, 2'500ms, true, 0.65},
    {1, 5, {52'000, 140'000, 4}, 11s, true, 0.17},
    {2, 16, {11'000, 16'000, 1}, 9'500ms, false, 0.18},
}};

double MeanAcceleratorSeconds() {
  double sum = 0;
  for (const job_kind& kind : kKinds) {
    sum += kind.share * kind.count *
           static_cast<double>(kind.needs.accelerators) *
           std::chrono::duration<double>(kind.length).count();
  }
  return sum;
}

// Minions that do what they are told at once, and an owner that they drive.
class owner_run {
 public:
  owner_run(int minions, double use, std::uint64_t seed)
      : use_(use), now_(1h), random_(seed), core_({}, 1000, now_, counters_) {
    auto config = std::make_shared<service_config>();
    for (int priority = 0; priority < kQueues; ++priority) {
      job_queue queue;
      queue.name = "q" + std::to_string(priority);
      queue.service = "lab";
      queue.priority = priority;
      config->queues.push_back(queue);
    }
    core_.OnConfig(config);
    minions_.resize(static_cast<std::size_t>(minions));
    for (int i = 0; i < minions; ++i) {
      minion_report report;
      report.id = "minion-" + std::to_string(10'000 + i);
      report.incarnation_unix_ms = 1;
      report.service = "lab";
      report.address = "10.0.0.1:80";
      report.capacity = {128'000, 262'144, kAccelerators};
      report.rack = "r" + std::to_string(i / kMinionsPerRack);
      index_of_[report.id] = static_cast<std::size_t>(i);
      reports_.push_back(std::move(report));
    }
    jobs_per_step_ = use * minions * kAccelerators / MeanAcceleratorSeconds() *
                     std::chrono::duration<double>(kStep).count();
  }

  bench_run Measure(std::uint64_t seed) {
    const instant end = now_ + kLength;
    instant next_list = now_;
    double due = 0;
    while (now_ < end) {
      now_ += kStep;
      if (now_ >= next_list) {
        Timed([&] { core_.OnMinions(now_, reports_); });
        next_list = now_ + kListInterval;
      }
      for (due += jobs_per_step_; due >= 1; due -= 1) {
        Submit();
      }
      Work();
      Decide();
    }
    const double seconds = std::chrono::duration<double>(kLength).count();
    const std::string load = use_ > 1 ? ", crowded" : "";
    bench_run run{
        std::to_string(minions_.size()) + " minions" + load, seed, {}};
    run.figures = {
        {"processor, decisions only", seconds_ / seconds, "cores"},
        {"processor a look", seconds_ / std::max(1, looks_) * 1e6, "us"},
        {"looks", looks_ / seconds, "1/s"},
        {"starts", starts_ / seconds, "1/s"},
        {"jobs", jobs_ / seconds, "1/s"},
        {"records", static_cast<double>(record_bytes_) / seconds, "B/s"},
        {"jobs waiting at the end", Waiting(), ""},
    };
    return run;
  }

 private:
  struct held_run {
    instant ends;
    run_end how = run_end::kDone;
  };
  struct waiting_look {
    poll_order order;
    instant sent;
    instant until;
  };
  struct minion {
    std::map<run_key, held_run> running;
    std::vector<listed_end> ended;
    std::int64_t ends = 0;
    std::vector<waiting_look> looks;
  };

  template <class Act>
  void Timed(Act act) {
    const cost_meter meter;
    act();
    seconds_ += meter.Seconds();
  }

  double Waiting() const {
    int waiting = 0;
    for (const auto& [queue, count] : core_.WaitingByQueue()) {
      waiting += count;
    }
    return waiting;
  }

  void Submit() {
    double chance = std::uniform_real_distribution<double>(0, 1)(random_);
    const job_kind* kind = &kKinds.back();
    for (const job_kind& candidate : kKinds) {
      if (chance < candidate.share) {
        kind = &candidate;
        break;
      }
      chance -= candidate.share;
    }
    accepted_job job;
    job.id = "job" + std::to_string(1'000'000 + jobs_++);
    job.queue = "q" + std::to_string(kind->priority);
    job.service = "lab";
    job.priority = kind->priority;
    job.max_attempts = 3;
    step_spec step;
    step.count = kind->count;
    step.needs = kind->needs;
    step.estimate = kind->length;
    step.is_gang = kind->is_gang;
    step.wants_one_rack = kind->is_gang;
    job.spec.steps = {step};
    lengths_[job.id] = kind->length;
    Timed([&] {
      core_.OnJob(now_, job, static_cast<std::uint64_t>(jobs_), std::nullopt,
                  0);
    });
  }

  // Runs end, and looks are answered when something has ended or in time.
  void Work() {
    for (minion& at : minions_) {
      std::vector<run_key> over;
      for (const auto& [run, held] : at.running) {
        if (now_ >= held.ends) {
          over.push_back(run);
        }
      }
      for (const run_key& run : over) {
        at.ended.push_back({++at.ends, run, at.running.at(run).how, ""});
        at.running.erase(run);
      }
      std::vector<waiting_look> looks = std::exchange(at.looks, {});
      for (waiting_look& look : looks) {
        if (at.ended.empty() && now_ < look.until) {
          at.looks.push_back(std::move(look));
        } else {
          AnswerLook(at, look);
        }
      }
    }
  }

  void AnswerLook(minion& at, const waiting_look& look) {
    std::erase_if(at.ended, [&](const listed_end& end) {
      return end.number <= look.order.acknowledged;
    });
    poll_answer answer;
    answer.outcome = order_outcome::kDone;
    answer.clock_ms = now_.time_since_epoch().count() / 1000;
    answer.incarnation_unix_ms = 1;
    for (const auto& [run, held] : at.running) {
      const duration left = held.ends - now_;
      const duration length = lengths_.at(run.task.job);
      answer.running.push_back(
          {run, "", static_cast<int>(100 * (length - left) / length), 0});
    }
    answer.ended = at.ended;
    Timed([&] { core_.OnPolled(now_, look.sent, look.order, answer); });
  }

  void Decide() {
    work_actions actions;
    Timed([&] {
      actions = core_.Decide(now_, now_.time_since_epoch().count() / 1000);
    });
    for (const start_order& order : actions.starts) {
      ++starts_;
      minions_.at(index_of_.at(order.minion.id)).running[order.run] = {
          now_ + lengths_.at(order.run.task.job), run_end::kDone};
      Timed([&] { core_.OnStarted(now_, order, {order_outcome::kDone}); });
    }
    for (const stop_order& order : actions.stops) {
      auto& running = minions_.at(index_of_.at(order.minion.id)).running;
      const auto it = running.find(order.run);
      if (it != running.end()) {
        it->second = {now_ + 200ms, run_end::kStopped};
      }
      Timed([&] { core_.OnStopped(now_, order, {order_outcome::kDone}); });
    }
    for (const poll_order& order : actions.polls) {
      ++looks_;
      minions_.at(index_of_.at(order.minion.id))
          .looks.push_back({order, now_, now_ + order.wait});
    }
    if (actions.commit) {
      commit_answer written{answer_state::kDone, error_kind::kInternal, {}};
      for (const table_write& write : *actions.commit) {
        record_bytes_ += write.value.size();
        written.rows.push_back({write.key, "", ++version_});
      }
      Timed([&] { core_.OnCommit(now_, written); });
    }
  }

  const double use_;
  instant now_;
  random_engine random_;
  counter_table counters_;
  work_core core_;
  std::vector<minion_report> reports_;
  std::map<std::string, std::size_t> index_of_;
  std::vector<minion> minions_;
  std::map<std::string, duration> lengths_;
  double jobs_per_step_ = 0;
  double seconds_ = 0;
  int looks_ = 0;
  int starts_ = 0;
  int jobs_ = 0;
  std::size_t record_bytes_ = 0;
  std::uint64_t version_ = 0;
};

}  // namespace

int RunOwnerBench(const bench_options& options) {
  bench_report report;
  for (const int minions : {48, 96, 350, 950, 1900}) {
    ShowProgress(std::to_string(minions) + " minions");
    for (const double use : {kOrdinaryUse, kCrowdedUse}) {
      for (int i = 0; i < options.seeds; ++i) {
        const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(i);
        owner_run run(minions, use, seed);
        report.runs.push_back(run.Measure(seed));
      }
    }
  }
  PrintReport(report, options.json);
  return 0;
}

}  // namespace sassafras

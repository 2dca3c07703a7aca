#include "bench/policy_run.h"

#include <algorithm>
#include <chrono>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "bench/policy_fragmentation.h"
#include "sassafras/core/random.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStartTime = milliseconds(300);  // Until all tasks run.
constexpr duration kStopTime = milliseconds(200);
constexpr duration kRestartTime = seconds(30);  // Loading a checkpoint.
constexpr duration kLeastCheckpoint = milliseconds(500);
constexpr duration kTick = seconds(10);
constexpr duration kSample = seconds(60);

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

// What a worker reports, or what the driver does next.
enum class event_kind : std::uint8_t {
  kSubmit,
  kStarted,
  kEnded,
  kStopped,
  kTick,
  kSample,
};

struct event {
  instant at;
  std::uint64_t order = 0;
  event_kind kind = event_kind::kTick;
  int job = -1;
  int attempt = 0;
  bool checkpointed = false;

  bool operator>(const event& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

// A gang on fake workers.
struct fake_gang {
  duration left{0};  // Work that no checkpoint holds.
  instant running_since;
  bool running = false;
  bool stopping = false;
  bool restarted = false;
  bool placed = false;
  bool borrowed = false;
  int attempt = 0;
  std::vector<worker_id> workers;
};

class policy_world {
 public:
  policy_world(const policy_site& site,
               const std::vector<offered_job>& load,
               const planner_options& options,
               std::uint64_t seed)
      : site_(site),
        load_(load),
        planner_(options, counters_),
        random_(seed),
        gangs_(load.size()),
        map_(site.config->objects) {
    trace_.jobs.resize(load.size());
    planner_.SetConfig(site.config);
  }

  policy_trace Run() {
    for (std::size_t i = 0; i < load_.size(); ++i) {
      Push(load_[i].job.submitted, event_kind::kSubmit, static_cast<int>(i));
      index_[load_[i].job.id] = static_cast<int>(i);
      gangs_[i].left = load_[i].work;
    }
    Push({}, event_kind::kTick, -1);
    Push({}, event_kind::kSample, -1);
    while (ended_ < load_.size()) {
      now_ = events_.top().at;
      while (!events_.empty() && events_.top().at == now_) {
        const event next = events_.top();
        events_.pop();
        Handle(next);
      }
      Decide();
    }
    Summarize();
    return std::move(trace_);
  }

 private:
  void Push(instant at,
            event_kind kind,
            int job,
            int attempt = 0,
            bool checkpointed = false) {
    events_.push({at, order_++, kind, job, attempt, checkpointed});
  }

  void Handle(const event& next) {
    switch (next.kind) {
      case event_kind::kSubmit:
        return Submit(next.job);
      case event_kind::kStarted:
        return Started(next);
      case event_kind::kEnded:
        return Ended(next);
      case event_kind::kStopped:
        return Stopped(next);
      case event_kind::kTick:
        return Push(now_ + kTick, event_kind::kTick, -1);
      case event_kind::kSample:
        return Sample();
    }
  }

  const planned_job& JobOf(int job) const {
    return load_[static_cast<std::size_t>(job)].job;
  }

  fake_gang& GangOf(int job) { return gangs_[static_cast<std::size_t>(job)]; }

  job_trace& TraceOf(int job) {
    return trace_.jobs[static_cast<std::size_t>(job)];
  }

  void Submit(int job) {
    TraceOf(job).entitled = IsEntitled(job);
    if (planner_.Add(JobOf(job))) {
      ++ended_;
      TraceOf(job).end = now_;
      return;
    }
    active_[JobOf(job).team].insert(job);
  }

  // Whether the guarantees of the shape's exact size cover this job and those
  // of the team that wait for or hold them.
  bool IsEntitled(int job) {
    const team& owner = site_.config->objects.teams.at(JobOf(job).team);
    int promised = 0;
    for (const guarantee& item : owner.guarantees) {
      promised += item.shape == JobOf(job).shape ? item.count : 0;
    }
    int taken = 0;
    for (const int other : active_[owner.id]) {
      taken += GangOf(other).placed && GangOf(other).borrowed ? 0 : 1;
    }
    return taken < promised;
  }

  void Started(const event& next) {
    fake_gang& gang = GangOf(next.job);
    if (next.attempt != gang.attempt || gang.stopping) {
      return;
    }
    gang.running = true;
    gang.running_since = now_;
    planner_.SetPhase(JobOf(next.job).id, job_phase::kRunning, now_);
    const duration extra = gang.restarted ? kRestartTime : duration(0);
    Push(now_ + extra + gang.left, event_kind::kEnded, next.job, gang.attempt);
  }

  void Ended(const event& next) {
    fake_gang& gang = GangOf(next.job);
    if (next.attempt != gang.attempt || gang.stopping) {
      return;
    }
    ++ended_;
    Free(next.job);
    TraceOf(next.job).end = now_;
    active_[JobOf(next.job).team].erase(next.job);
    planner_.Remove(JobOf(next.job).id,
                    load_[static_cast<std::size_t>(next.job)].work);
  }

  void Stopped(const event& next) {
    fake_gang& gang = GangOf(next.job);
    const int accelerators =
        load_[static_cast<std::size_t>(next.job)].accelerators;
    if (gang.running) {
      const duration extra = gang.restarted ? kRestartTime : duration(0);
      const duration run = now_ - gang.running_since;
      const duration done =
          next.checkpointed ? std::clamp(run - extra, duration(0), gang.left)
                            : duration(0);
      gang.left -= done;
      trace_.lost_seconds += Seconds(run - done) * accelerators;
    }
    gang.restarted = true;
    gang.running = false;
    gang.stopping = false;
    Free(next.job);
    planner_.SetPhase(JobOf(next.job).id, job_phase::kWaiting, now_);
  }

  void Decide() {
    const auto before = std::chrono::steady_clock::now();
    const plan decided = planner_.Decide(now_);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - before;
    decide_us_.push_back(took.count());
    starts_ += decided.starts.size();
    trace_.broken_decisions += planner_.BrokenGuarantees().empty() ? 0 : 1;
    for (const planned_stop& stop : decided.stops) {
      Stop(index_.at(stop.job), stop.should_checkpoint);
    }
    for (const planned_start& start : decided.starts) {
      StartGang(index_.at(start.job), start);
    }
  }

  void Stop(int job, bool checkpoint) {
    fake_gang& gang = GangOf(job);
    if (gang.stopping) {
      return;
    }
    gang.stopping = true;
    planner_.SetPhase(JobOf(job).id, job_phase::kStopping, now_);
    ++trace_.evictions;
    ++TraceOf(job).evictions;
    duration time = kStopTime;
    if (checkpoint) {
      const duration grace =
          site_.config->objects.classes.at(JobOf(job).job_class)
              .checkpoint_grace;
      std::uniform_int_distribution<std::int64_t> taken(
          kLeastCheckpoint.count(), grace.count());
      time += duration(taken(random_));
    }
    Push(now_ + time, event_kind::kStopped, job, gang.attempt, checkpoint);
  }

  void StartGang(int job, const planned_start& start) {
    fake_gang& gang = GangOf(job);
    gang.placed = true;
    gang.borrowed = start.is_borrowed;
    gang.workers = start.workers;
    ++gang.attempt;
    map_.Take(JobOf(job).shape, start.workers);
    if (TraceOf(job).first_start == instant()) {
      TraceOf(job).first_start = now_ + kStartTime;
    }
    Push(now_ + kStartTime, event_kind::kStarted, job, gang.attempt);
  }

  void Free(int job) {
    fake_gang& gang = GangOf(job);
    map_.Give(JobOf(job).shape, gang.workers);
    gang.workers.clear();
    gang.placed = false;
  }

  void Sample() {
    if (now_ >= instant(site_.length)) {
      return;
    }
    if (now_ >= instant(site_.warm_up)) {
      ++samples_;
      trace_.use += map_.Use();
      for (const auto& [id, value] : map_.Fragmentation()) {
        trace_.fragmentation[id] += value.actual;
        trace_.least_fragmentation[id] += value.least;
      }
    }
    Push(now_ + kSample, event_kind::kSample, -1);
  }

  void Summarize() {
    trace_.use /= samples_;
    for (auto& [id, value] : trace_.fragmentation) {
      value /= samples_;
    }
    for (auto& [id, value] : trace_.least_fragmentation) {
      value /= samples_;
    }
    double sum = 0;
    for (const double took : decide_us_) {
      sum += took;
    }
    trace_.start_mean_us =
        sum / static_cast<double>(std::max<std::uint64_t>(starts_, 1));
    std::sort(decide_us_.begin(), decide_us_.end());
    trace_.decide_p50_us = decide_us_[decide_us_.size() / 2];
    trace_.decide_p99_us = decide_us_[decide_us_.size() * 99 / 100];
  }

  const policy_site& site_;
  const std::vector<offered_job>& load_;
  counter_table counters_;
  planner planner_;
  random_engine random_;
  std::vector<fake_gang> gangs_;
  free_map map_;
  policy_trace trace_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::map<job_id, int> index_;
  std::map<team_id, std::set<int>> active_;
  std::vector<double> decide_us_;
  std::uint64_t order_ = 0;
  std::uint64_t starts_ = 0;
  std::size_t ended_ = 0;
  double samples_ = 0;
  instant now_;
};

}  // namespace

policy_trace RunPolicy(const policy_site& site,
                       const std::vector<offered_job>& load,
                       const planner_options& options,
                       std::uint64_t seed) {
  return policy_world(site, load, options, seed).Run();
}

}  // namespace sassafras

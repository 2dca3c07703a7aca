#ifndef SASSAFRAS_SCHED_JOB_MODEL_H_
#define SASSAFRAS_SCHED_JOB_MODEL_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Resources of a minion, or those that one task needs. Processor time is in
/// thousandths of a core, because a task may need a fraction of one; the struct
/// `resources` counts whole cores.
struct resource_amounts {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const resource_amounts&) const = default;

  resource_amounts& operator+=(const resource_amounts& other) {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }

  resource_amounts& operator-=(const resource_amounts& other) {
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }

  /// Whether `need` is no greater in any dimension.
  bool Holds(const resource_amounts& need) const {
    return need.millicores <= millicores && need.memory_mb <= memory_mb &&
           need.accelerators <= accelerators;
  }
};

inline resource_amounts operator-(resource_amounts left,
                                  const resource_amounts& right) {
  return left -= right;
}

inline resource_amounts operator+(resource_amounts left,
                                  const resource_amounts& right) {
  return left += right;
}

/// Limit of each amount of a task or minion. Far above any of them, and so low
/// that sums over a fleet do not overflow.
inline constexpr std::int64_t kMaxAmount = 1'000'000'000;

/// Whether each amount is from 0 to kMaxAmount.
bool IsInRange(const resource_amounts& amounts);

/// One step of a job: `count` identical tasks.
struct step_spec {
  int count = 0;
  resource_amounts needs;  ///< Needs of one task.
  duration estimate{0};    ///< Run time of a task, as estimated by the caller.
  /// Indices, from 0, of steps that must be done first.
  std::vector<int> after;
  bool saves_progress = false;  ///< Its tasks write checkpoints.
  bool is_gang = false;  ///< All tasks run at the same time or none does.
  bool wants_one_rack = false;  ///< Runs slower when spread over racks.
  bool is_persistent = false;   ///< Runs until the job is cancelled.
  bool may_run_copies = false;  ///< Speculative copies of a task may run.
  int max_per_minion = 0;       ///< Limit of its tasks on one minion; 0: none.
  std::string required_label;   ///< Label its minions must have; empty: none.
  std::string data_rack;  ///< Rack that holds its input data; empty: none.
  std::string image;      ///< Image that its tasks run; empty: not stated.
  duration tail_latency_target{0};  ///< For users served by a task; 0: none.
  bool is_filler = false;           ///< Uses idle cores; no cores are reserved.
  /// Tasks of a persistent step that may be unavailable (not running) at the
  /// same time.
  int max_unavailable = 0;

  /// Resources to reserve for one task: `needs`, without cores for a filler.
  resource_amounts Reserved() const {
    resource_amounts reserved = needs;
    if (is_filler) {
      reserved.millicores = 0;
    }
    return reserved;
  }
};

/// A job as a caller submits it.
struct job_spec {
  std::string payload;  ///< Passed unchanged to each task.
  std::vector<step_spec> steps;
  int occurrences = 0;  ///< Number of occurrences; 0: one, due immediately.
  std::int64_t first_due_unix_ms = 0;  ///< Due time of occurrence 0.
  std::int64_t interval_ms = 0;  ///< Between the due times of occurrences.
};

/// Limits of a job. The owner of the jobs holds each task of each occurrence in
/// memory.
inline constexpr std::size_t kMaxSteps = 1000;
inline constexpr int kMaxTasksPerStep = 10'000;
inline constexpr int kMaxOccurrences = 10'000;
inline constexpr std::int64_t kMaxTasksPerJob = 100'000;

/// Describes why `spec` is no sound job: a number is out of range, or a step
/// depends on itself or a later one. Empty if it is sound. The scheduler's
/// decisions rely on sound jobs, so that each job is checked when a caller
/// submits it and when its row is read.
std::optional<std::string> FindFault(const job_spec& spec);

/// An accepted job, with the settings of its queue at the time of acceptance.
struct accepted_job {
  std::string id;
  std::string queue;     ///< Name of the queue.
  std::string service;   ///< Service whose minions run it.
  std::string team;      ///< Empty: submitted without an API key.
  int priority = 0;      ///< 0 is the most urgent.
  int max_attempts = 1;  ///< Failed runs after which a unit has failed.
  double stretch = 1;    ///< Objective: stretch x critical path + target.
  duration target{0};
  job_spec spec;
};

/// One task of one occurrence of a job's step.
struct task_key {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const task_key&) const = default;
};

/// Crashes of minions under one task of a unit.
struct task_crashes {
  int index = 0;    ///< Index of the task in its step.
  int crashes = 0;  ///< Minions that crashed under its runs.
  int blamed = 0;   ///< Of these, crashes that it alone can have caused.
};

/// One run of a task. Runs of a task are numbered from 1.
struct run_key {
  task_key task;
  std::int64_t run = 0;

  auto operator<=>(const run_key&) const = default;
};

/// State of a job as callers see it.
enum class job_state : std::uint8_t {
  kQueued,  ///< Accepted, nothing has started.
  kRunning,
  kComplete,  ///< Every task is done.
  kFailed,    ///< A unit has failed in max_attempts runs.
  kCancelled,
};

/// Name of `state` in the scheduler's rows and logs.
std::string_view GetName(job_state state);

/// How a run ended.
enum class run_end : std::uint8_t {
  kDone,
  kFailed,           ///< The task or its minion failed.
  kStopped,          ///< The scheduler sent a stop.
  kLeaseExpired,     ///< Its lease expired.
  kGangMemberEnded,  ///< Another member of its gang ended.
  kGangIncomplete,   ///< Not all members of its gang started in time.
  kLost,             ///< It no longer runs and the minion listed no end.
};

/// Name of `how` in logs.
std::string_view GetName(run_end how);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_JOB_MODEL_H_

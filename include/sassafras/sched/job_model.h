#ifndef SASSAFRAS_SCHED_JOB_MODEL_H_
#define SASSAFRAS_SCHED_JOB_MODEL_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// What a minion has, or what one task needs. Fractions of a core count, so
/// the unit differs from that of `resources`.
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

  /// Whether `need` fits in every dimension.
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

/// One step of a job: `count` equal tasks.
struct step_spec {
  int count = 0;
  resource_amounts needs;       ///< Of one task.
  duration estimate{0};         ///< The submitter's guess of a task's run time.
  std::vector<int> after;       ///< Steps that must be done before, from 0.
  bool saves_progress = false;  ///< Its tasks write checkpoints.
  bool is_gang = false;         ///< Its tasks run all together or not at all.
  bool wants_one_rack = false;  ///< Slower when spread over racks.
  bool is_persistent = false;   ///< Runs until the job is cancelled.
  bool may_run_copies = false;  ///< Copies of a task may run side by side.
  int max_per_minion = 0;       ///< 0: no limit.
  std::string required_label;   ///< Empty: any minion.
  std::string data_rack;        ///< Rack of its data; empty: none.
  std::string image;            ///< What its tasks run; empty: not stated.
  duration tail_latency_target{0};  ///< Of the users a task serves; 0: none.
  bool is_filler = false;  ///< Uses leftover cores; none are reserved for it.
  int max_unavailable =
      0;  ///< Tasks of a persistent step that may be away at once.

  /// Room to reserve for one task.
  resource_amounts Reserved() const {
    resource_amounts reserved = needs;
    if (is_filler) {
      reserved.millicores = 0;
    }
    return reserved;
  }
};

/// What a caller hands in.
struct job_spec {
  std::string payload;  ///< Passed on to each task as it is.
  std::vector<step_spec> steps;
  int occurrences = 0;                 ///< 0: once, at once.
  std::int64_t first_due_unix_ms = 0;  ///< Of occurrence 0.
  std::int64_t interval_ms = 0;        ///< Between occurrences.
};

/// An accepted job with the terms of its queue at acceptance.
struct accepted_job {
  std::string id;
  std::string queue;     ///< Name of the queue.
  std::string service;   ///< Whose minions run it.
  std::string team;      ///< Empty: handed in without a key.
  int priority = 0;      ///< 0 is the most urgent.
  int max_attempts = 1;  ///< Failed runs after which a task is given up.
  double stretch = 1;    ///< Objective: stretch x longest chain + target.
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

/// One run of a task. Runs of a task are numbered from 1.
struct run_key {
  task_key task;
  std::int64_t run = 0;

  auto operator<=>(const run_key&) const = default;
};

/// What a caller is told about a job.
enum class job_state : std::uint8_t {
  kQueued,  ///< Accepted, nothing has started.
  kRunning,
  kComplete,  ///< Each task has ended well.
  kFailed,    ///< A task or gang has failed as often as its queue allows.
  kCancelled,
};

/// Names of job_state in our rows and logs.
std::string_view GetName(job_state state);

/// How a run ended.
enum class run_end : std::uint8_t {
  kDone,
  kFailed,           ///< Its own fault or the minion's.
  kStopped,          ///< By an order of ours.
  kLeaseExpired,     ///< Its lease ran out.
  kGangMemberEnded,  ///< Another member of its gang ended.
  kGangIncomplete,   ///< Its gang did not become whole in time.
  kLost,             ///< It is gone and no end was listed.
};

/// Names of run_end in logs.
std::string_view GetName(run_end how);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_JOB_MODEL_H_

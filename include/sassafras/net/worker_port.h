#ifndef SASSAFRAS_NET_WORKER_PORT_H_
#define SASSAFRAS_NET_WORKER_PORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/id.h"
#include "sassafras/core/time.h"
#include "sassafras/net/answer.h"
#include "sassafras/world/resources.h"

namespace sassafras {

/// State of a task as its worker reports it.
enum class task_state : std::uint8_t {
  kHeld,     ///< Started at throttle 0: it does no work yet.
  kRunning,  ///< It works.
  kEnded,    ///< It ended by itself with success.
  kFailed,   ///< It ended by itself with a failure.
  kStopped,  ///< It was stopped, or its lease lapsed.
};

/// Names of task_state: "held", "running", "ended", "failed", "stopped".
std::string_view GetName(task_state state);

/// Starts one task of a gang. A worker starts what it is given, whether it
/// fits or not. Starting a task id that the worker already knows has no
/// effect and reports the existing state.
struct task_start {
  task_id task;
  job_id job;
  int attempt = 0;  ///< Attempt of the job, from 1.
  resources need;
  duration lease{0};         ///< The task stops itself when this lapses.
  int throttle_percent = 0;  ///< 0 starts it held.
  std::string payload;       ///< Passed through from the submission.
  std::string checkpoint;    ///< Name of the object to resume from, or empty.
};

/// One task as its worker last saw it. Usage lags.
struct task_report {
  task_id task;
  job_id job;
  int attempt = 0;
  task_state state = task_state::kStopped;
  resources used;
  double progress = 0;     ///< Part of the work done, 0 to 1.
  std::string checkpoint;  ///< Name of the last whole checkpoint, or empty.
};

/// Answer about one task. kNotDone: the worker refused or was not reached
/// with a single byte.
struct task_answer {
  answer_state state = answer_state::kUnknown;
  task_report report;  ///< Valid if kDone.
};

/// Answer to a report of all tasks of a worker.
struct report_answer {
  answer_state state = answer_state::kNotDone;
  std::vector<task_report> tasks;
};

/// The task interface of workers, by the worker's address. Each hook calls
/// `done` exactly once.
struct worker_port {
  std::function<void(std::string address,
                     task_start start,
                     std::function<void(task_answer)> done)>
      start;

  /// Sets the share of its resources that a task may use; above 0 releases a
  /// held task.
  std::function<void(std::string address,
                     task_id task,
                     int throttle_percent,
                     std::function<void(task_answer)> done)>
      throttle;

  /// Extends leases. Never starts or revives a task; answers the state of
  /// each. A task not known to the worker is reported as kStopped.
  std::function<void(std::string address,
                     std::vector<task_id> tasks,
                     duration lease,
                     std::function<void(report_answer)> done)>
      renew;

  /// Writes a checkpoint and keeps running.
  std::function<void(std::string address,
                     task_id task,
                     std::function<void(task_answer)> done)>
      checkpoint;

  /// Stops a task for good. A later start of the same task id has no effect,
  /// also when the worker had not seen the task before.
  std::function<void(std::string address,
                     task_id task,
                     std::function<void(task_answer)> done)>
      stop;

  /// Lists all tasks that the worker remembers.
  std::function<void(std::string address,
                     std::function<void(report_answer)> done)>
      report;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_WORKER_PORT_H_

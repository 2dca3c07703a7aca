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

/// State of a task as reported by its worker.
enum class task_state : std::uint8_t {
  kHeld,     ///< Started at throttle 0; it does not use resources yet.
  kRunning,  ///< It runs at a throttle above 0.
  kEnded,    ///< It ended on its own with success.
  kFailed,   ///< It ended on its own with a failure.
  kStopped,  ///< It was stopped, or its lease expired.
};

/// Names of task_state: "held", "running", "ended", "failed", "stopped".
std::string_view GetName(task_state state);

/// Starts one task of a gang. A worker has no admission control: it starts a
/// task even if its resources do not suffice. Starting a known task id has no
/// effect and reports the existing state.
struct task_start {
  task_id task;
  job_id job;
  int attempt = 0;  ///< Attempt of the job, from 1.
  resources need;
  duration lease{0};         ///< The task stops itself when it expires.
  int throttle_percent = 0;  ///< 0: started in state kHeld.
  std::string payload;       ///< Passed through from the submission.
  std::string checkpoint;    ///< Name of the object to resume from, or empty.
};

/// Last known state of a task. Usage is delayed.
struct task_report {
  task_id task;
  job_id job;
  int attempt = 0;
  task_state state = task_state::kStopped;
  resources used;
  double progress = 0;     ///< Completed fraction, 0 to 1.
  std::string checkpoint;  ///< Name of the last complete checkpoint, or empty.
};

/// Answer about one task. kNotDone: the worker refused the call, or no byte of
/// it was sent.
struct task_answer {
  answer_state state = answer_state::kUnknown;
  task_report report;  ///< Valid if kDone.
};

/// Answer to a report of all tasks of a worker.
struct report_answer {
  answer_state state = answer_state::kNotDone;
  std::vector<task_report> tasks;
};

/// The task interface of workers. `address` is that of the worker. Each
/// function calls `done` exactly once.
struct worker_port {
  std::function<void(std::string address,
                     task_start start,
                     std::function<void(task_answer)> done)>
      start;

  /// Sets the percentage of its resources that a task may use. A value above 0
  /// lets a held task run.
  std::function<void(std::string address,
                     task_id task,
                     int throttle_percent,
                     std::function<void(task_answer)> done)>
      throttle;

  /// Renews the leases of `tasks` and reports their states. Never starts or
  /// restarts a task. A task unknown to the worker is reported as kStopped.
  std::function<void(std::string address,
                     std::vector<task_id> tasks,
                     duration lease,
                     std::function<void(report_answer)> done)>
      renew;

  /// Writes a checkpoint of a task without stopping it.
  std::function<void(std::string address,
                     task_id task,
                     std::function<void(task_answer)> done)>
      checkpoint;

  /// Stops a task permanently. A later start of the same task id has no effect,
  /// even if the worker did not know the task at the time of the stop.
  std::function<void(std::string address,
                     task_id task,
                     std::function<void(task_answer)> done)>
      stop;

  /// Lists all tasks known to the worker.
  std::function<void(std::string address,
                     std::function<void(report_answer)> done)>
      report;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_WORKER_PORT_H_

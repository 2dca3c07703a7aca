#ifndef SASSAFRAS_JOB_JOB_EVENT_H_
#define SASSAFRAS_JOB_JOB_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/core/time.h"
#include "sassafras/job/job_row.h"
#include "sassafras/net/table_port.h"
#include "sassafras/net/worker_port.h"

// Events that job_core processes and actions that it returns.

namespace sassafras::job {

/// State of the job lease in this process, read at each event.
struct job_ownership {
  bool may_act = false;     ///< lease::MayAct() now.
  std::uint64_t epoch = 0;  ///< lease::Epoch().
  /// Whether another process renewed the lease within the last term.
  bool is_other_alive = false;
};

/// A newer configuration is in force.
struct config_changed {
  config_ptr config;
};

/// Timer event, sent about every 100 ms.
struct tick {};

/// Answer to scan_rows.
struct rows_scanned {
  std::uint64_t scan = 0;    ///< As in the action.
  std::int64_t wall_ms = 0;  ///< Unix time by this process's clock.
  read_answer answer;
};

/// Answer to read_rows.
struct rows_read {
  std::uint64_t read = 0;
  std::int64_t wall_ms = 0;
  read_answer answer;
};

/// Answer to commit_rows, without the rows of the lease.
struct rows_committed {
  std::uint64_t commit = 0;
  commit_answer answer;
};

/// Kind of a call that changes a task.
enum class task_call : std::uint8_t {
  kStart,
  kThrottle,
  kCheckpoint,
  kStop,
};

/// Answer to start_task, throttle_task, checkpoint_task or stop_task.
struct task_answered {
  task_call call = task_call::kStart;
  worker_id worker;
  task_id task;
  task_answer answer;
};

/// Answer to renew_tasks.
struct tasks_renewed {
  worker_id worker;
  instant sent;  ///< As in the action.
  report_answer answer;
};

/// Answer to list_tasks.
struct tasks_listed {
  worker_id worker;
  instant sent;
  report_answer answer;
};

using job_event = std::variant<config_changed,
                               tick,
                               rows_scanned,
                               rows_read,
                               rows_committed,
                               task_answered,
                               tasks_renewed,
                               tasks_listed>;

/// Scans up to `limit` rows with `prefix` whose keys come after `after`.
struct scan_rows {
  std::uint64_t scan = 0;
  std::string prefix;
  std::string after;
  std::size_t limit = 0;
};

/// Reads the rows of `keys`.
struct read_rows {
  std::uint64_t read = 0;
  std::vector<std::string> keys;
};

/// Commits a transaction together with lease::Guard(). If lease::MayAct() is
/// false by then, the answer is kNotDone with kLeaseLost. At most one commit is
/// in flight.
struct commit_rows {
  std::uint64_t commit = 0;
  table_transaction transaction;
};

/// Calls worker_port::start.
struct start_task {
  worker_id worker;
  std::string address;
  task_start start;
};

/// Calls worker_port::throttle.
struct throttle_task {
  worker_id worker;
  std::string address;
  task_id task;
  int throttle_percent = 0;
};

/// Calls worker_port::checkpoint.
struct checkpoint_task {
  worker_id worker;
  std::string address;
  task_id task;
};

/// Calls worker_port::stop.
struct stop_task {
  worker_id worker;
  std::string address;
  task_id task;
};

/// Calls worker_port::renew.
struct renew_tasks {
  worker_id worker;
  std::string address;
  instant sent;
  std::vector<task_id> tasks;
  duration lease{0};
};

/// Calls worker_port::report.
struct list_tasks {
  worker_id worker;
  std::string address;
  instant sent;
};

/// A recorded state change of a job, for the log.
struct state_changed {
  std::string subject;  ///< Id of the job.
  std::string state;
  std::string reason;
};

using job_action = std::variant<scan_rows,
                                read_rows,
                                commit_rows,
                                start_task,
                                throttle_task,
                                checkpoint_task,
                                stop_task,
                                renew_tasks,
                                list_tasks,
                                state_changed>;

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_JOB_EVENT_H_

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

// What goes into job_core and what comes out of it.

namespace sassafras::job {

/// Whether this process owns the jobs, asked from the lease at each event.
struct job_ownership {
  bool may_act = false;     ///< lease::MayAct() now.
  std::uint64_t epoch = 0;  ///< lease::Epoch().
  /// Whether another process was seen renewing the lease within its term.
  bool is_other_alive = false;
};

/// A newer configuration is in force.
struct config_changed {
  config_ptr config;
};

/// Time has passed. Sent every 100 ms or so.
struct tick {};

/// Answer to scan_rows.
struct rows_scanned {
  std::uint64_t scan = 0;    ///< As in the action.
  std::int64_t wall_ms = 0;  ///< Since 1970, by this process's clock.
  read_answer answer;
};

/// Answer to read_rows.
struct rows_read {
  std::uint64_t read = 0;
  std::int64_t wall_ms = 0;
  read_answer answer;
};

/// Answer to commit_rows. Rows of the lease are left out.
struct rows_committed {
  std::uint64_t commit = 0;
  commit_answer answer;
};

/// What was asked of a task.
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

/// Scan the table.
struct scan_rows {
  std::uint64_t scan = 0;
  std::string prefix;
  std::string after;
  std::size_t limit = 0;
};

/// Read rows.
struct read_rows {
  std::uint64_t read = 0;
  std::vector<std::string> keys;
};

/// Commit a transaction together with lease::Guard(). If the lease may not be
/// acted on by then, answer kNotDone with kLeaseLost. One is in flight at a
/// time.
struct commit_rows {
  std::uint64_t commit = 0;
  table_transaction transaction;
};

/// worker_port::start.
struct start_task {
  worker_id worker;
  std::string address;
  task_start start;
};

/// worker_port::throttle.
struct throttle_task {
  worker_id worker;
  std::string address;
  task_id task;
  int throttle_percent = 0;
};

/// worker_port::checkpoint.
struct checkpoint_task {
  worker_id worker;
  std::string address;
  task_id task;
};

/// worker_port::stop.
struct stop_task {
  worker_id worker;
  std::string address;
  task_id task;
};

/// worker_port::renew.
struct renew_tasks {
  worker_id worker;
  std::string address;
  instant sent;
  std::vector<task_id> tasks;
  duration lease{0};
};

/// worker_port::report.
struct list_tasks {
  worker_id worker;
  std::string address;
  instant sent;
};

/// A recorded change of a job or a change of a worker's standing, for the log.
struct state_changed {
  std::string subject;  ///< Job or worker.
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

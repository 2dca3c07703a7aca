#ifndef SASSAFRAS_JOB_JOB_ROW_H_
#define SASSAFRAS_JOB_JOB_ROW_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/core/id.h"
#include "sassafras/core/result.h"
#include "sassafras/core/time.h"
#include "sassafras/world/job_class.h"
#include "sassafras/world/resources.h"

namespace sassafras {

/// Key prefix of the rows of jobs, "job/ID".
inline constexpr std::string_view kJobPrefix = "job/";

/// Key prefix of the markers of rows that a gateway has written, "job-new/ID".
/// The owner reads the row of each marker and erases the marker.
inline constexpr std::string_view kJobMarkerPrefix = "job-new/";

/// Recorded state of a job.
enum class job_state : std::uint8_t {
  kWaiting,   ///< Holds no worker; no task of it may start.
  kPlacing,   ///< Its tasks may be held on the recorded placement.
  kRunning,   ///< All tasks were held; they may have begun to work.
  kStopping,  ///< Its tasks are being stopped.
  kEnded,     ///< Has its outcome; the row is never changed again.
};

/// Names of job_state: "waiting", "placing", "running", "stopping", "ended".
std::string_view GetName(job_state state);

/// How a job ended.
enum class job_outcome : std::uint8_t {
  kNone,       ///< It has not ended.
  kSucceeded,  ///< Every task ended with success.
  kFailed,     ///< A task failed, or the restarts are used up.
  kCancelled,  ///< It was cancelled before it succeeded.
  kNotRun,     ///< It ended without any work.
  kUnknown,    ///< It may have done its work; it is not run again.
};

/// Names of job_outcome: "none", "succeeded", "failed", "cancelled",
/// "not_run", "unknown".
std::string_view GetName(job_outcome outcome);

/// Why a gang is being stopped.
enum class stop_reason : std::uint8_t {
  kNone,
  kStartFailed,  ///< Not every task could be held in time.
  kTaskFailed,   ///< A task ended with a failure.
  kTaskLost,     ///< A worker died or a lease lapsed.
  kEvicted,      ///< Its workers are wanted for another job.
  kCancelled,    ///< The team cancelled it.
  kTakenOver,    ///< Its owner died while it was being placed.
};

/// Names of stop_reason: "none", "start_failed", "task_failed", "task_lost",
/// "evicted", "cancelled", "taken_over".
std::string_view GetName(stop_reason reason);

/// What the job's class and shape said when it was submitted. A job keeps
/// these terms, also when its class or team is removed.
struct job_terms {
  bool is_idempotent = true;
  bool can_checkpoint = false;
  duration checkpoint_grace{0};
  int max_restarts = 0;
  member_loss_policy on_loss = member_loss_policy::kRequeue;
  int tasks = 1;   ///< Number of tasks of the gang.
  resources need;  ///< Of each task.
  bool operator==(const job_terms&) const = default;
};

/// Where one task of the gang runs.
struct task_place {
  worker_id worker;
  std::string address;  ///< "IP:port" of the worker.
  bool operator==(const task_place&) const = default;
};

/// An attempt in which tasks ended with a failure.
struct failed_attempt {
  int attempt = 0;
  std::set<worker_id> workers;  ///< On which they failed.
  bool operator==(const failed_attempt&) const = default;
};

/// One job as recorded under "job/ID".
struct job_row {
  int format = 1;  ///< Of the row as it was read; newer ones are kept.
  job_id id;
  job_state state = job_state::kWaiting;
  team_id team;
  class_id job_class;
  shape_id shape;
  duration declared_run{0};
  std::string payload;
  std::string body_sha256;        ///< Of the submission.
  std::int64_t submitted_ms = 0;  ///< Since 1970, by the gateway's clock.
  job_terms terms;

  int attempt = 0;                    ///< Of the placement; grows with each.
  std::vector<task_place> placement;  ///< Of the attempt; index is the task's.
  bool is_borrowed = false;           ///< Not on a guarantee.
  bool was_released = false;          ///< Was recorded running in any attempt.
  bool is_attempt_released = false;   ///< Was recorded running in this attempt.
  std::vector<std::string> checkpoints;  ///< One per task, or empty.
  std::vector<failed_attempt> failures;  ///< Attempts in which a task failed.
  int losses = 0;  ///< Attempts that lost a task or could not be started.
  bool cancel_requested = false;
  stop_reason stopping_for = stop_reason::kNone;
  job_outcome outcome = job_outcome::kNone;
  std::string reason;  ///< Of the outcome, or why it waits: one sentence.

  std::string unknown_fields;  ///< JSON of fields of a newer format.
};

/// Encodes a row as JSON, unknown fields included.
std::string EncodeJobRow(const job_row& row);

/// Decodes the JSON under `key`. Fails with kMalformed.
result<job_row> DecodeJobRow(std::string_view key, std::string_view text);

/// Key of the row or marker of a job.
std::string JobKey(const job_id& job);
std::string JobMarkerKey(const job_id& job);

/// Id of the job that `team` submits under `key`, so that a second submission
/// finds the first.
job_id MakeJobId(const team_id& team, std::string_view key);

/// Id of task `index` of an attempt: JOB.ATTEMPT.INDEX.
task_id MakeTaskId(const job_id& job, int attempt, int index);

/// The parts of a task's id.
struct task_parts {
  job_id job;
  int attempt = 0;
  int index = 0;
};

/// Takes a task id apart; empty if it is no id that MakeTaskId() made.
std::optional<task_parts> ParseTaskId(const task_id& task);

/// The terms of a job of `job_class` in `shape`.
job_terms MakeTerms(const job_class& job_class, const shape& shape);

/// Takes in a cancellation: a waiting job ends at once, any other is marked.
/// Returns whether the row was changed.
bool RequestCancel(job_row& row);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_JOB_ROW_H_

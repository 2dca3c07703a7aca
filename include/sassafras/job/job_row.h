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
/// The owner reads the row that each marker names and then erases the marker.
inline constexpr std::string_view kJobMarkerPrefix = "job-new/";

/// Recorded state of a job.
enum class job_state : std::uint8_t {
  kWaiting,   ///< Holds no workers; none of its tasks may start.
  kPlacing,   ///< Tasks may be held on the workers of `placement`.
  kRunning,   ///< All tasks were held and may have started work.
  kStopping,  ///< Its tasks are being stopped.
  kEnded,     ///< Has its outcome; the row no longer changes.
};

/// Returns the name of a state: "waiting", "placing", "running", "stopping",
/// "ended".
std::string_view GetName(job_state state);

/// How a job ended.
enum class job_outcome : std::uint8_t {
  kNone,       ///< It has not ended.
  kSucceeded,  ///< Every task ended with success.
  kFailed,     ///< A task failed, or no restarts are left.
  kCancelled,  ///< It was cancelled before it succeeded.
  kNotRun,     ///< It ended before any task started work.
  kUnknown,    ///< It may have run; it is not run again.
};

/// Returns the name of an outcome: "none", "succeeded", "failed", "cancelled",
/// "not_run", "unknown".
std::string_view GetName(job_outcome outcome);

/// Why a gang is being stopped.
enum class stop_reason : std::uint8_t {
  kNone,
  kStartFailed,  ///< Not all tasks were held before the deadline.
  kTaskFailed,   ///< A task ended with a failure.
  kTaskLost,     ///< A worker died or a lease expired.
  kEvicted,      ///< Its workers are needed for another job.
  kCancelled,    ///< The team cancelled it.
  kTakenOver,    ///< Its owner died while it was being placed.
};

/// Returns the name of a reason: "none", "start_failed", "task_failed",
/// "task_lost", "evicted", "cancelled", "taken_over".
std::string_view GetName(stop_reason reason);

/// Properties of the job's class and shape at submission. A job keeps them when
/// its class or team is removed.
struct job_terms {
  bool is_idempotent = true;
  bool can_checkpoint = false;
  duration checkpoint_grace{0};
  int max_restarts = 0;
  member_loss_policy on_loss = member_loss_policy::kRequeue;
  int tasks = 1;   ///< Number of tasks of the gang.
  resources need;  ///< Resources of each task.
  bool operator==(const job_terms&) const = default;
};

/// Worker that one task of the gang is placed on.
struct task_place {
  worker_id worker;
  std::string address;  ///< "IP:port" of the worker.
  bool operator==(const task_place&) const = default;
};

/// An attempt in which tasks ended with a failure.
struct failed_attempt {
  int attempt = 0;
  std::set<worker_id> workers;  ///< Workers on which tasks failed.
  bool operator==(const failed_attempt&) const = default;
};

/// One job as recorded under "job/ID".
struct job_row {
  int format = 1;  ///< Format of the row as read; kept if newer.
  job_id id;
  job_state state = job_state::kWaiting;
  team_id team;
  class_id job_class;
  shape_id shape;
  duration declared_run{0};
  std::string payload;
  std::string body_sha256;        ///< Hash of the submitted body.
  std::int64_t submitted_ms = 0;  ///< Unix time by the gateway's clock.
  job_terms terms;

  int attempt = 0;  ///< Number of the placement; 0 before the first.
  std::vector<task_place> placement;  ///< One per task of the attempt.
  bool is_borrowed = false;           ///< Not placed on a guarantee.
  bool was_released = false;          ///< Recorded as running in any attempt.
  bool is_attempt_released = false;   ///< Recorded as running in this attempt.
  std::vector<std::string> checkpoints;  ///< One per task, or empty.
  std::vector<failed_attempt> failures;  ///< Attempts in which a task failed.
  int losses = 0;  ///< Attempts that lost a task or could not be started.
  bool cancel_requested = false;
  stop_reason stopping_for = stop_reason::kNone;
  job_outcome outcome = job_outcome::kNone;
  std::string reason;  ///< One sentence: of the outcome or the wait.

  std::string unknown_fields;  ///< Fields of a newer format, as JSON.
};

/// Encodes a row as JSON, including `unknown_fields`.
std::string EncodeJobRow(const job_row& row);

/// Decodes the JSON stored under `key`. Fails with kMalformed.
result<job_row> DecodeJobRow(std::string_view key, std::string_view text);

/// Returns the key of the row or of the marker of a job.
std::string JobKey(const job_id& job);
std::string JobMarkerKey(const job_id& job);

/// Derives the id of a job from `team` and the idempotency key `key`, so that a
/// repeated submission gets the same id.
job_id MakeJobId(const team_id& team, std::string_view key);

/// Returns the id of task `index` of an attempt: JOB.ATTEMPT.INDEX.
task_id MakeTaskId(const job_id& job, int attempt, int index);

/// The parts of a task's id.
struct task_parts {
  job_id job;
  int attempt = 0;
  int index = 0;
};

/// Parses a task id; empty if it does not have the form of MakeTaskId().
std::optional<task_parts> ParseTaskId(const task_id& task);

/// Returns the terms of a job of `job_class` in `shape`.
job_terms MakeTerms(const job_class& job_class, const shape& shape);

/// Applies a cancellation: a waiting job ends at once; any other unended job
/// gets `cancel_requested`. Returns whether the row was changed.
bool RequestCancel(job_row& row);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_JOB_ROW_H_

#ifndef SASSAFRAS_SCHED_JOB_CODEC_H_
#define SASSAFRAS_SCHED_JOB_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/result.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// Table of the store with accepted jobs, in kJobParts parts. The store commits
/// the transactions on one part one after another; with several parts, callers
/// do not wait for each other's commits, nor the owner of the jobs for theirs,
/// while the store is slow. Use as a prefix to follow the changes of all parts.
inline constexpr char kJobTable[] = "jobs/";
inline constexpr int kJobParts = 16;

/// Prefix of the keys of the jobs in part `part`, from 0 to kJobParts - 1.
std::string JobPartPrefix(int part);

/// Key of the row of job `id`.
std::string JobKey(const std::string& id);

/// Table of the store with the progress of jobs, one job_record each. A row's
/// key is the name of the table followed by the job's id.
inline constexpr char kRecordTable[] = "records/";

/// Key of the row with the number of waiting jobs by queue. The owner of the
/// jobs writes it.
inline constexpr char kWaitingCountsKey[] = "queues/waiting";

/// Key of the row that cancels job `id`. It is in the same table and part as
/// the job's, so that one change feed delivers both.
std::string CancelKey(const std::string& id);

/// Id of the job that the row under `key` cancels; empty if `key` is not a
/// cancel key.
std::string CancelledId(const std::string& key);

/// Content of a job's row. A tombstone takes the place of a job that was not
/// accepted; its version makes a late write of the job fail.
enum class job_row_kind : std::uint8_t {
  kAccepted,
  kRefused,    ///< Tombstone; a later submission may replace it.
  kCancelled,  ///< Tombstone of a job that its caller cancelled before it was
               ///< accepted; no submission replaces it.
};

/// An accepted job, or a tombstone.
struct job_row {
  job_row_kind kind = job_row_kind::kAccepted;
  accepted_job job;  ///< Default value in a tombstone.
  /// Of a refused job: submissions of it that admission control has refused.
  int refusals = 0;

  bool IsAccepted() const { return kind == job_row_kind::kAccepted; }
};

/// Greatest number of bytes of a job's row and of its record.
inline constexpr std::size_t kMaxRowBytes = 65'536;

/// Bytes that a record takes for each task of a gang, at least.
inline constexpr int kMinMemberBytes = 34;

/// Describes why the store cannot keep a job whose row has `row_bytes`: the row
/// is too large, or the record of a gang would be. Empty if neither is known.
std::optional<std::string> FindStorageFault(const job_spec& spec,
                                            std::size_t row_bytes);

/// Returns the name of `kind`, which marks the rows of tombstones.
std::string_view GetName(job_row_kind kind);

/// Encodes a row as JSON; invalid UTF-8 in texts is replaced.
std::string EncodeJobRow(const job_row& row);

/// Decodes a row; kMalformed if it is not JSON, if a field is missing or has
/// another type, or if the job is not sound.
result<job_row> DecodeJobRow(const std::string& text);

/// Minion to which one member of a run was sent.
struct recorded_member {
  int index = 0;  ///< Index of the task in its step.
  std::string minion;
  std::int64_t incarnation_unix_ms = 0;  ///< Start time; names the incarnation.
  std::string address;  ///< "IP:port"; empty in rows of earlier builds.
};

/// Progress of a unit: a whole gang, or one task of a step that is not a gang.
struct recorded_unit {
  int occurrence = 0;
  int step = 0;
  int index = 0;         ///< 0 for a gang.
  std::int64_t run = 0;  ///< Number of the latest run, from 1.
  int failed_runs = 0;   ///< Number of runs that failed.
  bool is_done = false;
  std::string checkpoint;
  std::vector<recorded_member> members;  ///< Members that may still run.
  /// The latest run is among `failed_runs`; further members of it may fail.
  bool has_run_failed = false;
  std::vector<task_crashes> crashes;  ///< Of its tasks that met any.
  /// Members of earlier runs whose lease has expired; their minions may have
  /// crashed.
  std::vector<recorded_member> unresolved;
};

/// Units of one step that are done and have no members: those from one to
/// another, both included, by occurrence, then by index.
struct done_units {
  int step = 0;
  int first_occurrence = 0;
  int first_index = 0;
  int last_occurrence = 0;
  int last_index = 0;
};

/// State of one job that the next owner needs. Its size follows from the number
/// of units in progress: the units of a step end about in order, so that those
/// which are done form few ranges, however many they are.
struct job_record {
  job_state state = job_state::kQueued;
  std::vector<done_units> done;
  std::vector<recorded_unit> units;  ///< Others that ran at least once.
};

/// Limit of tasks of one job that have started and are not done. The record of
/// each takes up to 120 bytes.
inline constexpr int kMaxTasksInProgress = 480;

/// Limit of `unresolved` members in one record; further ones are not recorded.
inline constexpr std::size_t kMaxUnresolvedMembers = 20;

/// Encodes the number of waiting jobs by queue as JSON.
std::string EncodeWaitingCounts(const std::map<std::string, int>& waiting);

/// Decodes what EncodeWaitingCounts() returns; kMalformed if it cannot.
result<std::map<std::string, int>> DecodeWaitingCounts(const std::string& text);

/// Encodes a record as JSON. Ranges within one occurrence can be read by builds
/// that know no others; these refuse a record with a longer range.
std::string EncodeRecord(const job_record& record);

/// Decodes a record; kMalformed if it is not JSON, a field is missing or has
/// another type, or the state is unknown.
result<job_record> DecodeRecord(const std::string& text);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_JOB_CODEC_H_

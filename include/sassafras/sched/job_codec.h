#ifndef SASSAFRAS_SCHED_JOB_CODEC_H_
#define SASSAFRAS_SCHED_JOB_CODEC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafras/core/result.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// Tables of the store that hold jobs. A key is table + id.
inline constexpr char kJobTable[] = "jobs/";        ///< Accepted jobs.
inline constexpr char kRecordTable[] = "records/";  ///< Progress of jobs.

/// Row of the counts of waiting jobs by queue, as the owner last wrote them.
inline constexpr char kWaitingCountsKey[] = "queues/waiting";

/// Key of the row that cancels job `id`. It stands in the table of jobs, so
/// that one feed brings both.
std::string CancelKey(const std::string& id);

/// The id of the job that the row under `key` cancels, or empty.
std::string CancelledId(const std::string& key);

/// Content of a job's row: an accepted job, or a mark that the submission of
/// this id was refused and a late write of it must fail.
struct job_row {
  bool is_refusal = false;
  accepted_job job;  ///< Unless is_refusal.
};

std::string EncodeJobRow(const job_row& row);
result<job_row> DecodeJobRow(const std::string& text);

/// Where one member of a run was sent.
struct recorded_member {
  int index = 0;  ///< Of the task in its step.
  std::string minion;
  std::int64_t incarnation_unix_ms = 0;  ///< Names the life of the minion.
};

/// Progress of a gang, or of one task of another step.
struct recorded_unit {
  int occurrence = 0;
  int step = 0;
  int index = 0;  ///< 0 for a gang.
  std::int64_t run = 0;
  int failed_runs = 0;  ///< Runs that ended as failed.
  bool is_done = false;
  std::string checkpoint;
  std::vector<recorded_member> members;  ///< Of a run that may be going on.
};

/// What must outlive the owner about one job. Of a unit that is done and that
/// no minion may still run, only that is kept.
struct job_record {
  job_state state = job_state::kQueued;
  std::vector<recorded_unit> units;  ///< Those that ran at least once.
};

/// Tasks of one job that may be begun and not done at one time: what is
/// recorded of each takes up to 100 bytes, and a row of the store 64 KB.
inline constexpr int kMaxTasksInProgress = 600;

std::string EncodeWaitingCounts(const std::map<std::string, int>& waiting);
result<std::map<std::string, int>> DecodeWaitingCounts(const std::string& text);

std::string EncodeRecord(const job_record& record);
result<job_record> DecodeRecord(const std::string& text);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_JOB_CODEC_H_

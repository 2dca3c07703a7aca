#ifndef SASSAFRAS_JOB_SUBMISSION_H_
#define SASSAFRAS_JOB_SUBMISSION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sassafras/config/config_set.h"
#include "sassafras/core/error.h"
#include "sassafras/core/result.h"
#include "sassafras/job/job_row.h"
#include "sassafras/net/table_port.h"

namespace sassafras::job {

/// Longest accepted idempotency key, in bytes.
inline constexpr std::size_t kMaxKeyLength = 256;

/// Makes the row of a submission: JSON with "class", "shape", "run" (declared
/// duration, e.g. "20s") and "payload" (text). Fails with kKeyMissing,
/// kMalformed or kNotFound.
result<job_row> MakeJobRow(const config_set& objects,
                           const team_id& team,
                           std::string_view key,
                           const std::string& body,
                           std::int64_t wall_ms);

/// Next step of a submission or cancellation.
enum class api_step : std::uint8_t {
  kCommit,  ///< Commit Transaction().
  kRead,    ///< Read Keys().
  kDone,    ///< Answer with Row().
  kFail,    ///< Answer with Failure().
};

/// Records one submission. The row's key follows from the idempotency key, so
/// that a commit without an answer is resolved by reading the row and, if it is
/// missing, repeating the conditional write.
class job_submission {
 public:
  explicit job_submission(job_row row) : row_(std::move(row)) {}

  table_transaction Transaction() const;
  std::vector<std::string> Keys() const { return {JobKey(row_.id)}; }
  api_step OnCommit(const commit_answer& answer);
  api_step OnRead(const read_answer& answer);

  /// The recorded row.
  const job_row& Row() const { return row_; }

  /// Whether an earlier submission recorded the row.
  bool WasAlreadyRecorded() const { return was_already_recorded_; }

  const error& Failure() const { return failure_; }

 private:
  api_step ProcessRecordedRow(const table_row& row);
  api_step Retry(error_kind kind);
  api_step FailWith(error_kind kind, std::string detail);

  job_row row_;
  bool was_already_recorded_ = false;
  bool may_have_written_ = false;
  int attempts_ = 0;
  error failure_;
};

/// Records one cancellation on behalf of `team`, or of an operator if empty.
/// Begins with a read.
class job_cancellation {
 public:
  job_cancellation(job_id job, team_id team)
      : job_(std::move(job)), team_(std::move(team)) {}

  table_transaction Transaction() const { return transaction_; }
  std::vector<std::string> Keys() const {
    return {JobKey(job_), JobMarkerKey(job_)};
  }
  api_step OnCommit(const commit_answer& answer);
  api_step OnRead(const read_answer& answer);

  /// The recorded row.
  const job_row& Row() const { return row_; }
  const error& Failure() const { return failure_; }

 private:
  api_step FailWith(error_kind kind);

  job_id job_;
  team_id team_;
  job_row row_;
  table_transaction transaction_;
  bool may_have_written_ = false;
  int attempts_ = 0;
  error failure_;
};

/// Whether `team` may see `row`. An empty `team` is an operator, who sees all.
bool IsVisible(const job_row& row, const team_id& team);

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_SUBMISSION_H_

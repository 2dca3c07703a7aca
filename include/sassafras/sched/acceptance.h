#ifndef SASSAFRAS_SCHED_ACCEPTANCE_H_
#define SASSAFRAS_SCHED_ACCEPTANCE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "sassafras/net/table_port.h"
#include "sassafras/sched/job_codec.h"

namespace sassafras::sched {

/// Outcome of a submission.
enum class acceptance_result : std::uint8_t {
  kAccepted,   ///< The job is stored, by this call or an earlier one.
  kRefused,    ///< This call has not stored the job and never will.
  kCancelled,  ///< The job was cancelled before it was accepted. It is not
               ///< stored and never will be.
  kUnknown,    ///< The job may be stored.
};

/// State machine that decides one submission from the store's answers; it does
/// no I/O itself. A write whose answer was lost may still take effect.
/// Therefore a tombstone, whose version makes the lost write fail, is written
/// to the job's row before the submission is reported as refused. A tombstone
/// of a cancelled job is final: the submission may be a copy that was read
/// late.
class acceptance {
 public:
  explicit acceptance(accepted_job job);

  /// Returns the first write. Called once.
  table_transaction Begin();

  /// Processes the answer to the last write. Returns the next write, or empty
  /// if the submission is decided and Result() is set.
  std::optional<table_transaction> OnAnswer(const commit_answer& answer);

  /// Empty until the submission is decided.
  const std::optional<acceptance_result>& Result() const { return result_; }

  /// Whether the last write of the job was to replace a tombstone.
  bool HasReplacedTombstone() const { return expected_version_ != 0; }

 private:
  std::optional<table_transaction> OnConflict(const commit_answer& answer);
  table_transaction Submit(std::uint64_t expected_version);
  table_transaction Refuse();
  std::optional<table_transaction> Finish(acceptance_result how);

  accepted_job job_;
  std::string key_;
  std::uint64_t expected_version_ = 0;
  bool is_refusing_ = false;
  bool has_unknown_write_ = false;
  int writes_ = 0;
  std::optional<acceptance_result> result_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_ACCEPTANCE_H_

#ifndef SASSAFRAS_SCHED_ACCEPTANCE_H_
#define SASSAFRAS_SCHED_ACCEPTANCE_H_

#include <cstdint>
#include <functional>
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

  /// Whether to refuse a submission of which earlier ones were refused so
  /// often.
  using refusal_rule = std::function<bool(int earlier_refusals)>;

  /// Returns the first write. Called once.
  table_transaction Begin();

  /// Like Begin(), for a submission that admission control refuses. The
  /// tombstone is written first, so that no write of an earlier call can take
  /// effect afterwards; a later submission may replace it, as after any
  /// refusal. It counts the refusals, and if `should_refuse` no longer holds
  /// for their number, the job is submitted after all.
  table_transaction BeginRefusal(refusal_rule should_refuse);

  /// Processes the answer to the last write. Returns the next write, or empty
  /// if the submission is decided and Result() is set.
  std::optional<table_transaction> OnAnswer(const commit_answer& answer);

  /// Empty until the submission is decided.
  const std::optional<acceptance_result>& Result() const { return result_; }

  /// Whether admission control has refused the job, with a stored tombstone.
  bool IsRefusedByRule() const {
    return has_stored_tombstone_ && should_refuse_ != nullptr;
  }

  /// Whether the last write of the job was to replace a tombstone.
  bool HasReplacedTombstone() const { return expected_version_ != 0; }

 private:
  std::optional<table_transaction> OnConflict(const commit_answer& answer);
  std::optional<table_transaction> OnTombstone(std::uint64_t version,
                                               int refusals);
  table_transaction Submit(std::uint64_t expected_version);
  table_transaction Refuse();
  std::optional<table_transaction> Finish(acceptance_result how);

  accepted_job job_;
  std::string key_;
  std::uint64_t expected_version_ = 0;
  bool is_refusing_ = false;
  refusal_rule should_refuse_;  // Empty: the submission is to be accepted.
  int refusals_ = 0;            // Stated in the tombstone.
  bool has_stored_tombstone_ = false;
  bool has_unknown_write_ = false;
  int writes_ = 0;
  std::optional<acceptance_result> result_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_ACCEPTANCE_H_

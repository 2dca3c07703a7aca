#ifndef SASSAFRAS_SCHED_ACCEPTANCE_H_
#define SASSAFRAS_SCHED_ACCEPTANCE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "sassafras/net/table_port.h"
#include "sassafras/sched/job_codec.h"

namespace sassafras::sched {

/// How a submission ended.
enum class acceptance_result : std::uint8_t {
  kAccepted,  ///< The job is stored, by this call or an earlier one.
  kRefused,   ///< It is not stored by this call and never will be.
  kUnknown,   ///< It may be stored.
};

/// Decides one submission from the answers of the store. A write whose answer
/// was lost may still take effect, so before "refused" is said, a mark is
/// written in the row's place that makes the lost write fail.
class acceptance {
 public:
  explicit acceptance(accepted_job job);

  /// The first write.
  table_transaction Begin();

  /// Takes in the answer to the last write; returns the next one, or empty
  /// when Result() is set.
  std::optional<table_transaction> OnAnswer(const commit_answer& answer);

  const std::optional<acceptance_result>& Result() const { return result_; }

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

#ifndef SASSAFRAS_CORE_ERROR_H_
#define SASSAFRAS_CORE_ERROR_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace sassafras {

/// What a caller may conclude about its request or job.
enum class run_outcome : std::uint8_t {
  kRan,      ///< It was executed.
  kNotRun,   ///< No part of it reached a minion or worker.
  kUnknown,  ///< It may have been executed.
};

/// The closed list of error kinds. Every refusal and failure is reported as one
/// of these.
enum class error_kind : std::uint8_t {
  kMalformed,            ///< The message could not be parsed.
  kTooLarge,             ///< The message exceeds a size limit.
  kTooSlow,              ///< The sender did not complete its message in time.
  kUnauthenticated,      ///< Missing or unknown token.
  kForbidden,            ///< The token's team or role lacks the permission.
  kNotFound,             ///< No such object, request or job.
  kNoConfiguration,      ///< No configuration is in force yet.
  kStopping,             ///< The process takes no new work.
  kQueueFull,            ///< The bounded queue of the team and class is full.
  kDeadlineUnreachable,  ///< The timeout can no longer be met.
  kTimedOut,             ///< The timeout passed before dispatch.
  kNoMinion,             ///< The target has no minion that may take work.
  kTargetLeaving,        ///< The target takes no new work.
  kKeyReused,            ///< The idempotency key was used with another body.
  kKeyMissing,           ///< A non-idempotent class needs an idempotency key.
  kInProgress,           ///< The first submission of this key is in progress.
  kStoreUnavailable,     ///< The table service or object store did not answer.
  kStoreUnknown,         ///< A write may or may not have taken effect.
  kConflict,             ///< Another writer changed the row first.
  kMinionFailed,         ///< The minion answered with an error.
  kMinionLost,           ///< No complete answer after bytes were sent.
  kCancelled,            ///< The caller cancelled the request or job.
  kNeverFits,            ///< No worker set of the inventory can hold the shape.
  kWorkerFailed,         ///< A task failed on its worker.
  kLeaseLost,            ///< The holder's lease expired before it acted.
  kInvalidConfig,        ///< The configured object set is invalid.
  kInvalidSettings,      ///< The settings file is invalid.
  kWrongCluster,         ///< The peer's cluster name differs.
  kNoSuchJob,            ///< No job with this id was accepted.
  kInternal,             ///< An invariant was violated.
};

/// Number of entries of error_kind.
inline constexpr int kErrorKindCount =
    static_cast<int>(error_kind::kInternal) + 1;

/// Properties of one error kind.
struct error_info {
  error_kind kind;
  std::string_view name;     ///< Stable name in answers, e.g. "queue_full".
  int http_status;           ///< Status code of the answer.
  run_outcome outcome;       ///< Default outcome reported with this error.
  bool retryable;            ///< Whether the caller may retry unchanged.
  std::string_view counter;  ///< Name of the counter of its occurrences.
  std::string_view text;     ///< Human-readable description, one sentence.
};

/// Returns the properties of `kind`.
const error_info& GetErrorInfo(error_kind kind);

/// Returns the stable name of `outcome`: "ran", "not_run" or "unknown".
std::string_view GetName(run_outcome outcome);

/// One occurrence of an error.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string detail;  ///< What failed, with the values met.
};

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_ERROR_H_

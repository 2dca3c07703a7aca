#include "sassafras/core/error.h"

#include <array>

namespace sassafras {
namespace {

constexpr auto kRan = run_outcome::kRan;
constexpr auto kNotRun = run_outcome::kNotRun;
constexpr auto kUnknown = run_outcome::kUnknown;

// clang-format off
constexpr std::array<error_info, kErrorKindCount> kErrorTable = {{
    {error_kind::kMalformed, "malformed", 400, kNotRun, false, "refused_malformed", "The message could not be parsed."},
    {error_kind::kTooLarge, "too_large", 413, kNotRun, false, "refused_too_large", "The message exceeds the size limit."},
    {error_kind::kTooSlow, "too_slow", 408, kNotRun, true, "refused_too_slow", "The message was not complete in time."},
    {error_kind::kUnauthenticated, "unauthenticated", 401, kNotRun, false, "refused_unauthenticated", "The token is missing or unknown."},
    {error_kind::kForbidden, "forbidden", 403, kNotRun, false, "refused_forbidden", "The token's team or role does not allow this."},
    {error_kind::kNotFound, "not_found", 404, kNotRun, false, "refused_not_found", "There is no such object."},
    {error_kind::kNoConfiguration, "no_configuration", 503, kNotRun, true, "refused_no_configuration", "No configuration is in force yet."},
    {error_kind::kStopping, "stopping", 503, kNotRun, true, "refused_stopping", "The process is stopping and takes no new work."},
    {error_kind::kQueueFull, "queue_full", 429, kNotRun, true, "refused_queue_full", "The queue of this team and class is full."},
    {error_kind::kDeadlineUnreachable, "deadline_unreachable", 503, kNotRun, true, "refused_deadline_unreachable", "The timeout can no longer be met."},
    {error_kind::kTimedOut, "timed_out", 504, kNotRun, true, "refused_timed_out", "The timeout passed before the request was dispatched."},
    {error_kind::kNoMinion, "no_minion", 503, kNotRun, true, "refused_no_minion", "The target has no minion that takes work."},
    {error_kind::kTargetLeaving, "target_leaving", 503, kNotRun, false, "refused_target_leaving", "The target takes no new work."},
    {error_kind::kKeyReused, "key_reused", 422, kNotRun, false, "refused_key_reused", "The idempotency key was used with another body."},
    {error_kind::kKeyMissing, "key_missing", 400, kNotRun, false, "refused_key_missing", "This class needs an idempotency key."},
    {error_kind::kInProgress, "in_progress", 409, kUnknown, true, "refused_in_progress", "The first submission with this key is in progress."},
    {error_kind::kStoreUnavailable, "store_unavailable", 503, kNotRun, true, "refused_store_unavailable", "The platform's store did not answer."},
    {error_kind::kStoreUnknown, "store_unknown", 503, kUnknown, true, "refused_store_unknown", "A write may or may not have taken effect."},
    {error_kind::kConflict, "conflict", 409, kNotRun, false, "refused_conflict", "Another writer changed the object first."},
    {error_kind::kMinionFailed, "minion_failed", 502, kRan, false, "failed_minion", "The minion answered with a failure."},
    {error_kind::kMinionLost, "minion_lost", 504, kUnknown, false, "failed_minion_lost", "The minion gave no whole answer."},
    {error_kind::kCancelled, "cancelled", 409, kNotRun, false, "refused_cancelled", "It was cancelled."},
    {error_kind::kNeverFits, "never_fits", 422, kNotRun, false, "refused_never_fits", "No set of workers can hold this shape."},
    {error_kind::kWorkerFailed, "worker_failed", 502, kRan, false, "failed_worker", "A task failed on its worker."},
    {error_kind::kLeaseLost, "lease_lost", 503, kUnknown, true, "failed_lease_lost", "The holder's lease lapsed."},
    {error_kind::kInvalidConfig, "invalid_config", 422, kNotRun, false, "refused_invalid_config", "The object set has faults."},
    {error_kind::kInvalidSettings, "invalid_settings", 400, kNotRun, false, "refused_invalid_settings", "The settings file has faults."},
    {error_kind::kWrongCluster, "wrong_cluster", 403, kNotRun, false, "refused_wrong_cluster", "The peer belongs to another cluster."},
    {error_kind::kNoSuchJob, "no_such_job", 410, kNotRun, false, "refused_no_such_job", "No job was accepted under this id."},
    {error_kind::kInternal, "internal", 500, kUnknown, false, "failed_internal", "An invariant did not hold."},
}};
// clang-format on

constexpr bool IsTableInOrder() {
  for (int i = 0; i < kErrorKindCount; ++i) {
    if (static_cast<int>(kErrorTable[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsTableInOrder(), "kErrorTable must follow error_kind");

}  // namespace

const error_info& GetErrorInfo(error_kind kind) {
  return kErrorTable.at(static_cast<std::size_t>(kind));
}

std::string_view GetName(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kRan:
      return "ran";
    case run_outcome::kNotRun:
      return "not_run";
    case run_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace sassafras

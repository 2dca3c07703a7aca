#ifndef SASSAFRAS_SCHED_CALLER_H_
#define SASSAFRAS_SCHED_CALLER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "sassafras/core/error.h"
#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// Operation that a caller requests on a path.
enum class caller_verb : std::uint8_t { kSubmit, kQuery, kCancel, kOther };

/// A decoded request of a caller. The configuration is needed to tell whether
/// `path` names a job or a queue.
struct caller_call {
  caller_verb verb = caller_verb::kOther;
  std::string host;
  std::string path;                  ///< Without a query.
  std::string key;                   ///< API key of the team; empty: none sent.
  std::optional<duration> deadline;  ///< Time limit that the caller set.
  std::string body;
};

/// Answer to a caller, before it is encoded.
struct caller_answer {
  /// Type of a successful answer; ignored if `failure` is set.
  enum class kind : std::uint8_t { kAccepted, kState, kCancelled, kCount };

  kind what = kind::kAccepted;
  job_state state = job_state::kQueued;  ///< For kState.
  int waiting = 0;  ///< For kCount: waiting jobs of the queue.
  std::optional<error_kind> failure;
  std::string detail;                   ///< Human-readable reason of `failure`.
  std::optional<duration> retry_after;  ///< Delay before the next try.
};

/// Whether `text` is a well-formed job id: 16 hexadecimal digits.
bool IsJobId(std::string_view text);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_CALLER_H_

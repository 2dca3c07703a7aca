#ifndef SASSAFRAS_SCHED_CALLER_H_
#define SASSAFRAS_SCHED_CALLER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "sassafras/core/error.h"
#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// What a caller wants done with the path it names.
enum class caller_verb : std::uint8_t { kSubmit, kQuery, kCancel, kOther };

/// One call as it came in. Whether `path` names a job or a queue shows only
/// with the configuration.
struct caller_call {
  caller_verb verb = caller_verb::kOther;
  std::string host;
  std::string path;                  ///< Without a query.
  std::string key;                   ///< Of its team; empty: none given.
  std::optional<duration> deadline;  ///< How long the caller waits.
  std::string body;
};

/// What a caller is told.
struct caller_answer {
  /// What happened, unless `failure` is set.
  enum class kind : std::uint8_t { kAccepted, kState, kCancelled, kCount };

  kind what = kind::kAccepted;
  job_state state = job_state::kQueued;  ///< Of kState.
  int waiting = 0;                       ///< Of kCount.
  std::optional<error_kind> failure;
  std::string detail;                   ///< Why it failed, for a person.
  std::optional<duration> retry_after;  ///< When to come back.
};

/// Whether `text` has the form of a job's id.
bool IsJobId(std::string_view text);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_CALLER_H_

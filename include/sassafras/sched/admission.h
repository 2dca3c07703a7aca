#ifndef SASSAFRAS_SCHED_ADMISSION_H_
#define SASSAFRAS_SCHED_ADMISSION_H_

#include <chrono>
#include <optional>

#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// Answers the load in which jobs wait for longer than their objectives allow:
/// a job that is known not to be served in time is refused at once, and its
/// caller is told when to come back.

/// Wait that every job tolerates: forecasts are no more accurate.
inline constexpr duration kMinTolerableWait = std::chrono::seconds(3);
/// Multiple of its objective by which a job is expected to end that is still
/// admitted. An answer is worth something up to three times the objective, and
/// forecasts are off by up to half.
inline constexpr double kPatience = 2;
/// Refusals after which a job is admitted up to twice its tolerable wait, so
/// that newcomers do not keep those out who came back.
inline constexpr int kRefusalsBeforeTolerance = 2;

/// Returns the longest wait for its start that `job` tolerates; nothing if it
/// is never refused, because it has no objective.
std::optional<duration> TolerableWait(const accepted_job& job);

/// Returns by how much the expected wait exceeds the tolerable one; nothing if
/// the job is admitted.
std::optional<duration> FindExcessWait(duration expected,
                                       duration tolerable,
                                       int earlier_refusals);

/// Returns when the caller should come back. `random` from 0 to 1 spreads
/// callers who are refused together.
duration RetryDelayFor(duration excess, double random);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_ADMISSION_H_

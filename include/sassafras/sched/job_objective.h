#ifndef SASSAFRAS_SCHED_JOB_OBJECTIVE_H_
#define SASSAFRAS_SCHED_JOB_OBJECTIVE_H_

#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// Returns, for each step, the longest chain of estimated run times from its
/// start to the end of the job.
std::vector<duration> LongestChains(const std::vector<step_spec>& steps);

/// Returns the time from acceptance within which a job whose longest chain is
/// `longest` should have ended; 0 if its queue sets no objective, or if the job
/// has due times or steps without an end.
duration ObjectiveOf(const accepted_job& job, duration longest);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_JOB_OBJECTIVE_H_

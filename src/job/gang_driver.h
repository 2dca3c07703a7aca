#ifndef SASSAFRAS_JOB_GANG_DRIVER_H_
#define SASSAFRAS_JOB_GANG_DRIVER_H_

#include <cstdint>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"
#include "sassafras/job/job_core.h"
#include "src/job/tracked_job.h"

namespace sassafras::job {

/// Prepares the tracking of the recorded attempt's tasks. `was_ours` says that
/// this process has just recorded the row; else any lease may have been
/// renewed by another process until now.
void TrackTasks(tracked_job& job,
                bool is_recorded_here,
                instant now,
                const job_core_options& options);

/// Appends the worker calls that are due for the job's recorded state: starts
/// while placing, releases while running, checkpoints and stops while
/// stopping. Notes in the job why it has to stop, if it has to.
void DriveGang(tracked_job& job,
               instant now,
               const job_core_options& options,
               std::vector<job_action>& actions);

/// Notes that a renewal was sent for the tasks on `worker`.
void RecordRenewal(tracked_job& job,
                   const worker_id& worker,
                   instant now,
                   const job_core_options& options);

/// What a report changed.
enum class report_effect : std::uint8_t { kNone, kFailed, kEnded };

/// Takes in what a worker said of task `index`, asked at `sent`. Lowers
/// the wanted throttle of a task that uses more than it needs by declaration.
report_effect OnTaskReport(tracked_job& job,
                           int index,
                           instant sent,
                           const task_report& report);

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_GANG_DRIVER_H_

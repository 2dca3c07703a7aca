#ifndef SASSAFRAS_JOB_GANG_DRIVER_H_
#define SASSAFRAS_JOB_GANG_DRIVER_H_

#include <cstdint>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"
#include "sassafras/job/job_core.h"
#include "src/job/tracked_job.h"

namespace sassafras::job {

/// Initializes the task state for the recorded attempt. `is_recorded_here` says
/// that this process has just recorded the row. Otherwise another process may
/// have renewed any lease until `now`, and the expiry is computed from `now`.
void TrackTasks(tracked_job& job,
                bool is_recorded_here,
                instant now,
                const job_core_options& options);

/// Appends the worker calls that are due for the job's recorded state: starts
/// while placing, releases while running, checkpoints and stops while
/// stopping. Sets `pending_stop` if the gang must stop.
void DriveGang(tracked_job& job,
               instant now,
               const job_core_options& options,
               std::vector<job_action>& actions);

/// Extends the lease expiry of the tasks on `worker` after a renewal was sent.
void RecordRenewal(tracked_job& job,
                   const worker_id& worker,
                   instant now,
                   const job_core_options& options);

/// Final state that a report showed for the first time.
enum class report_effect : std::uint8_t { kNone, kFailed, kEnded };

/// Applies a worker's report on task `index`; the call was sent at `sent`.
/// Lowers the desired throttle of a task that uses more than it declared.
report_effect OnTaskReport(tracked_job& job,
                           int index,
                           instant sent,
                           const task_report& report);

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_GANG_DRIVER_H_

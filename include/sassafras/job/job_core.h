#ifndef SASSAFRAS_JOB_JOB_CORE_H_
#define SASSAFRAS_JOB_JOB_CORE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"
#include "sassafras/job/job_event.h"
#include "sassafras/job/planner.h"
#include "sassafras/job/worker_health.h"

namespace sassafras::job {

/// Settings of job_core.
struct job_core_options {
  planner_options planner;
  worker_health_options health;
  /// Lease of a held task, which is never renewed.
  duration first_lease{10'000'000};
  duration lease{30'000'000};  ///< Lease of a running task.
  /// Margin for message delay and clock drift.
  duration lease_margin{2'000'000};
  /// Minimum between two renewals to one worker.
  duration renew_interval{2'000'000};
  int renewals_per_second = 200;  ///< Maximum rate of renewal calls.
  /// Between task lists of a worker without renewals.
  duration list_interval{10'000'000};
  /// Between task lists of a worker with renewals.
  duration busy_list_interval{60'000'000};
  /// Before an unanswered task call is repeated.
  duration resend_interval{1'000'000};
  duration marker_interval{500'000};  ///< Between scans of the row markers.
  /// Between scans of a process that is not the owner.
  duration standby_scan_interval{10'000'000};
  /// Store outage during which a standby still renews leases.
  duration max_store_outage{900'000'000};
  std::size_t scan_limit = 500;  ///< Maximum number of rows per scan.
  std::size_t max_rows_per_commit = 64;
  int max_losses = 20;  ///< Maximum number of lost attempts of a job.
};

/// Carries out what the planner decides: records, starts and stops gangs,
/// renews task leases, and ends every job with exactly one outcome. The owner
/// does all of it. Any other process only renews the leases of gangs recorded
/// as running, and only while it sees no owner alive, e.g. while the store is
/// unavailable.
///
/// A state machine without I/O: it returns the actions to carry out. Not safe
/// for concurrent use.
class job_core {
 public:
  job_core(job_core_options options, counter_table& counters);
  ~job_core();
  job_core(const job_core&) = delete;
  job_core& operator=(const job_core&) = delete;

  /// Processes one event and returns the actions to carry out. Every scan,
  /// read, commit and worker call must be answered by exactly one event, or by
  /// none if the process stops.
  std::vector<job_action> Handle(instant now,
                                 const job_ownership& ownership,
                                 const job_event& event);

  /// Whether this process acts as the owner and has read all rows.
  bool IsReady() const;

  /// Returns the number of tracked jobs in `state`.
  std::size_t Count(job_state state) const;

  /// Returns the teams whose guarantees cannot be met on the usable workers.
  std::vector<team_id> BrokenGuarantees() const;

  /// Returns the workers in quarantine.
  std::vector<worker_id> Quarantined() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_JOB_CORE_H_

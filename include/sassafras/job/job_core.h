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
  duration first_lease{10'000'000};    ///< Of held tasks; never renewed.
  duration lease{30'000'000};          ///< Of running tasks.
  duration lease_margin{2'000'000};    ///< For delays and clock rates.
  duration renew_interval{2'000'000};  ///< Least between two to a worker.
  int renewals_per_second = 200;       ///< Greatest number of calls.
  duration list_interval{10'000'000};  ///< Between lists of an idle worker.
  duration busy_list_interval{60'000'000};  ///< If its tasks are renewed.
  duration resend_interval{1'000'000};      ///< Of an unanswered task call.
  duration marker_interval{500'000};        ///< Between scans of markers.
  duration standby_scan_interval{
      10'000'000};  ///< Between scans while not the owner.
  duration max_store_outage{900'000'000};  ///< Renewals without the store.
  std::size_t scan_limit = 500;            ///< Rows of one scan.
  std::size_t max_rows_per_commit = 64;
  int max_losses = 20;  ///< Attempts lost to workers before a job ends.
};

/// Carries out what the planner decides: records, starts and stops gangs,
/// renews task leases, and ends every job with exactly one outcome. The owner
/// does all of it; any other process only renews the leases of gangs that are
/// recorded as running, and only while no owner is seen alive or the store is
/// away.
///
/// A decision object without input or output of its own. Not safe for
/// concurrent use.
class job_core {
 public:
  job_core(job_core_options options, counter_table& counters);
  ~job_core();
  job_core(const job_core&) = delete;
  job_core& operator=(const job_core&) = delete;

  /// Takes in one event and returns what to do. Every scan, read, commit and
  /// worker call is answered by exactly one event, or by none if the process
  /// stops.
  std::vector<job_action> Handle(instant now,
                                 const job_ownership& ownership,
                                 const job_event& event);

  /// Whether this process acts as the owner and has read all rows.
  bool IsReady() const;

  /// Number of jobs known in `state`.
  std::size_t Count(job_state state) const;

  /// Teams whose guarantees cannot be honoured on the usable workers.
  std::vector<team_id> BrokenGuarantees() const;

  /// Workers in quarantine.
  std::vector<worker_id> Quarantined() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_JOB_CORE_H_

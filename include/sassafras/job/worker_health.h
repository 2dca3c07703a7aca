#ifndef SASSAFRAS_JOB_WORKER_HEALTH_H_
#define SASSAFRAS_JOB_WORKER_HEALTH_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/id.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Settings of worker_health.
struct worker_health_options {
  /// Distinct failed jobs after which a worker is quarantined.
  int quarantine_failed_jobs = 2;
  /// Maximum share of all workers that is excluded, suspects included.
  int quarantine_cap_percent = 20;
  /// Consecutive failed calls after which a worker counts as unreachable.
  int failed_calls = 2;
  /// Exclusion after a first failure; doubles with each further failure, up to
  /// quarantine_time.
  duration suspect_hold{20'000'000};
  /// First quarantine; doubles with each further one, up to
  /// max_quarantine_time.
  duration quarantine_time{60'000'000};
  duration max_quarantine_time{3'600'000'000};
};

/// Tracks the health of workers from the jobs that fail on them and from calls
/// that are answered or not. After a first failure a worker is a suspect: it
/// gets no work for suspect_hold, so that the job is retried on other workers.
/// Failures of distinct jobs without a success between them quarantine it. A
/// successful probe ends the quarantine and puts it on probation, in which one
/// failure quarantines it again. Suspects and quarantined workers together
/// never exceed quarantine_cap_percent of all workers; one worker can always be
/// excluded.
///
/// State machine without I/O. Not safe for concurrent use.
class worker_health {
 public:
  worker_health(worker_health_options options, counter_table& counters);

  /// Replaces the set of workers. A new one is unreachable until it answers.
  void SetWorkers(const std::set<worker_id>& workers);

  /// Marks all workers unreachable, as after a takeover. Recorded failures and
  /// quarantines stay.
  void ResetReachable();

  /// Records whether a call to the worker was answered.
  void OnAnswer(const worker_id& worker, bool is_answered);

  /// Records that the worker's task list was read. `is_clean` if it has no
  /// unexpected task.
  void OnTasksListed(const worker_id& worker, bool is_clean);

  /// Records that a task of `job` failed, or that a task succeeded.
  void OnTaskFailed(const worker_id& worker, const job_id& job, instant now);
  void OnTaskSucceeded(const worker_id& worker);

  /// Removes the evidence of a job whose failures are its own fault. Ends a
  /// first quarantine for which the remaining evidence is not sufficient.
  void OnJobAtFault(const job_id& job);

  /// Returns the workers whose quarantine has expired and that need a probe.
  std::vector<worker_id> DueProbes(instant now) const;

  /// Handles the result of a probe. After a failure a longer quarantine starts.
  void OnProbe(const worker_id& worker, bool is_success, instant now);

  /// Whether the worker can be assigned new tasks.
  bool IsUsable(const worker_id& worker, instant now) const;

  /// Whether the worker is in quarantine and no probe has succeeded since.
  bool IsQuarantined(const worker_id& worker) const;

  /// Returns the workers in quarantine.
  std::vector<worker_id> Quarantined() const;

 private:
  struct worker_record {
    bool is_reachable = false;
    bool is_clean = false;
    int failed_calls = 0;
    std::set<job_id> failed_jobs;
    int failures = 0;  ///< Consecutive.
    bool is_quarantined = false;
    bool is_on_probation = false;
    int quarantines = 0;
    instant excluded_until;
  };

  bool CanExcludeAnother(instant now) const;
  void Quarantine(worker_record& record, instant now);

  worker_health_options options_;
  counter_table& counters_;
  std::map<worker_id, worker_record> workers_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_WORKER_HEALTH_H_

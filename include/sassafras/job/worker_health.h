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
  int quarantine_failed_jobs =
      2;  ///< Distinct failed jobs that put into quarantine.
  int quarantine_cap_percent = 20;  ///< Greatest share of all workers.
  int failed_calls = 2;  ///< Failed calls in a row that make unreachable.
  duration suspect_hold{20'000'000};     ///< Pause after a first failure.
  duration quarantine_time{60'000'000};  ///< Doubles with each return.
  duration max_quarantine_time{3'600'000'000};
};

/// Judges workers by the jobs that fail on them and by their answers. A first
/// failure makes a worker a suspect: it draws no work for a short while, so
/// that the job is tried elsewhere. Failures of distinct jobs without a
/// success between them put it into quarantine, from which a probe brings it
/// back on trial. Both together never take more than the capped share.
///
/// A decision object. Not safe for concurrent use.
class worker_health {
 public:
  worker_health(worker_health_options options, counter_table& counters);

  /// Replaces the set of workers. New ones are unreachable until they answer.
  void SetWorkers(const std::set<worker_id>& workers);

  /// Forgets who answered, as after a takeover; evidence stays.
  void ResetReachable();

  /// Notes that a call was answered or was not.
  void OnAnswer(const worker_id& worker, bool is_answered);

  /// Notes that the worker's list of tasks was read and holds no task that
  /// should not be there, or that it holds some.
  void OnTasksListed(const worker_id& worker, bool is_clean);

  /// Notes that a task of `job` failed, or ended well.
  void OnTaskFailed(const worker_id& worker, const job_id& job, instant now);
  void OnTaskSucceeded(const worker_id& worker);

  /// Takes back the evidence of a job whose failures are its own fault.
  void OnJobAtFault(const job_id& job);

  /// Workers in quarantine whose time is over and that want a probe now.
  std::vector<worker_id> DueProbes(instant now) const;

  /// Takes in the answer to a probe.
  void OnProbe(const worker_id& worker, bool is_success, instant now);

  /// Whether the worker may take new tasks.
  bool IsUsable(const worker_id& worker, instant now) const;

  /// Whether the worker failed distinct jobs and was not cleared since.
  bool IsQuarantined(const worker_id& worker) const;

  /// Workers in quarantine.
  std::vector<worker_id> Quarantined() const;

 private:
  struct worker_record {
    bool is_reachable = false;
    bool is_clean = false;
    int failed_calls = 0;
    std::set<job_id> failed_jobs;
    int failures = 0;  ///< In a row.
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

#ifndef SASSAFRAS_JOB_RENEWAL_TABLE_H_
#define SASSAFRAS_JOB_RENEWAL_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/job/job_event.h"
#include "sassafras/job/job_row.h"

namespace sassafras::job {

/// Tasks of gangs recorded as running, by worker, with the time of the next
/// lease renewal. One call renews all tasks of a worker.
class renewal_table {
 public:
  /// Adds the tasks of a row recorded as running. They are due at once.
  void Add(const job_row& row);

  /// Removes the tasks of a job; their leases are no longer renewed.
  void Remove(const job_row& row);

  /// Removes all tasks.
  void Clear();

  /// Which tasks Due() renews.
  enum class scope : std::uint8_t {
    kAll,         ///< All tasks: for the owner, which stops partial gangs.
    kWholeGangs,  ///< Tasks of gangs whose tasks were all confirmed live
                  ///< within the last lease: for a standby, which may not
                  ///< know that a gang is being stopped.
  };

  /// Returns renewals that are due, a bounded number per call. Skips workers
  /// that have a call in flight.
  std::vector<renew_tasks> Due(instant now,
                               duration interval,
                               duration lease,
                               scope selected);

  /// Marks every task as confirmed at `now`, when a standby begins to renew.
  void ConfirmAll(instant now);

  /// Processes the answer to the call that was sent to `worker` at `sent`.
  void OnAnswer(const worker_id& worker,
                instant sent,
                const report_answer& answer);

  /// Returns the jobs with tasks on `worker`.
  std::set<job_id> JobsOn(const worker_id& worker) const;

  /// Number of workers with tasks to renew.
  std::size_t Workers() const { return workers_.size(); }

  /// Whether the worker has tasks to renew.
  bool Has(const worker_id& worker) const { return workers_.count(worker) > 0; }

 private:
  struct worker_tasks {
    std::string address;
    std::map<task_id, job_id> tasks;
    instant next;
    bool is_in_flight = false;
  };

  bool IsWhole(const job_id& job, instant now, duration lease) const;

  std::map<worker_id, worker_tasks> workers_;
  /// Time when each task was last known to be live; instant::max() once it has
  /// ended with success.
  std::map<job_id, std::map<task_id, instant>> confirmed_;
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_RENEWAL_TABLE_H_

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

/// The tasks of gangs that are recorded as running, by worker, and when their
/// leases are renewed next. One call renews all tasks of a worker.
class renewal_table {
 public:
  /// Adds the tasks of a row that is recorded as running. They are due at once.
  void Add(const job_row& row);

  /// Removes the tasks of a job; nothing renews them from here any more.
  void Remove(const job_row& row);

  /// Removes everything.
  void Clear();

  /// Which tasks Due() renews.
  enum class scope : std::uint8_t {
    kAll,         ///< All of them: for the owner, who stops partial gangs.
    kWholeGangs,  ///< Those of gangs whose tasks were all confirmed to live
                  ///< within a lease: for a process that stands in, and that
                  ///< may not know that a gang is being stopped.
  };

  /// Returns calls that are due, a bounded part of all at once. A worker whose
  /// call is unanswered is passed over.
  std::vector<renew_tasks> Due(instant now,
                               duration interval,
                               duration lease,
                               scope selected);

  /// Takes every task as confirmed at `now`, when a process begins to stand in.
  void ConfirmAll(instant now);

  /// Takes in the answer to the call that was sent to `worker` at `sent`.
  void OnAnswer(const worker_id& worker,
                instant sent,
                const report_answer& answer);

  /// Jobs with tasks on `worker`.
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
  /// When each task was last known to live or to have ended well.
  std::map<job_id, std::map<task_id, instant>> confirmed_;
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_RENEWAL_TABLE_H_

#ifndef SASSAFRAS_PROGRAMS_SCHEDULER_JOB_SCHEDULER_H_
#define SASSAFRAS_PROGRAMS_SCHEDULER_JOB_SCHEDULER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "programs/shell/lease_keeper.h"
#include "programs/shell/node.h"
#include "sassafras/job/job_core.h"

namespace sassafras {

/// Turns answers of the ports and timers into events of job_core and carries
/// its actions out. One lock guards the decisions; no port is called under it.
class job_scheduler {
 public:
  explicit job_scheduler(node& owner);

  /// Begins to tick. To be called once, before node::Run().
  void Start();

  /// Answers GET /v1/scheduler: what this process owns and knows.
  void Handle(http_exchange exchange);

  void OnConfig(const config_ptr& config);

  /// Gives ownership up, then calls `done`.
  void Stop(std::function<void()> done);

 private:
  job::job_ownership Ownership() const;
  void Dispatch(const job::job_event& event);
  void UpdateGauges();

  void Carry(job::scan_rows action);
  void Carry(job::read_rows action);
  void Carry(job::commit_rows action);
  void Carry(job::start_task action);
  void Carry(job::throttle_task action);
  void Carry(job::checkpoint_task action);
  void Carry(job::stop_task action);
  void Carry(job::renew_tasks action);
  void Carry(job::list_tasks action);
  void Carry(job::state_changed action);
  std::function<void(task_answer)> OnTask(job::task_call call,
                                          const worker_id& worker,
                                          const task_id& task);
  bool RefuseUnlessOwner(job::task_call call,
                         const worker_id& worker,
                         const task_id& task);

  node& node_;
  std::shared_ptr<lease_keeper> keeper_;
  std::atomic<bool> is_store_answering_{false};
  std::mutex mutex_;  // Taken before the keeper's lock.
  job::job_core core_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SCHEDULER_JOB_SCHEDULER_H_

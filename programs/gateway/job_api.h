#ifndef SASSAFRAS_PROGRAMS_GATEWAY_JOB_API_H_
#define SASSAFRAS_PROGRAMS_GATEWAY_JOB_API_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "programs/shell/node.h"
#include "sassafras/config/access.h"
#include "sassafras/job/planner.h"
#include "sassafras/job/submission.h"

namespace sassafras {

/// Serves /v1/jobs: POST submits a job, GET /v1/jobs/ID returns its state and
/// outcome, POST /v1/jobs/ID/cancel cancels it. Safe to use from several
/// threads.
class job_api {
 public:
  explicit job_api(node& owner) : node_(owner) {}

  /// Answers one request whose path begins with "/v1/jobs".
  void Handle(http_exchange exchange);

  /// Applies a newer configuration.
  void OnConfig(const config_ptr& config);

  /// Handles a peer message. Jobs use none, so this does nothing.
  void OnPeerMessage(const std::string& kind, const std::string& body);

  /// Refuses new operations and calls `done` when none is in progress.
  void Stop(std::function<void()> done);

 private:
  // An operation in progress, with what is needed to reply to its caller.
  template <class Operation>
  struct pending_operation {
    Operation operation;
    http_reply reply;
    int success_status;
  };

  void Submit(const config_ptr& config,
              const caller_identity& caller,
              const http_exchange& exchange);
  void ReplyWithJob(const caller_identity& caller,
                    const std::string& id,
                    const http_exchange& exchange);
  void Cancel(const caller_identity& caller,
              const std::string& id,
              const http_exchange& exchange);
  template <class Operation>
  void ExecuteStep(job::api_step step,
                   const std::shared_ptr<pending_operation<Operation>>& work);
  void Refuse(const http_reply& reply, const error& failure);
  std::optional<error> CheckFit(const job_row& row);
  bool BeginOperation(const http_reply& reply);
  void FinishOperation();

  node& node_;
  std::mutex mutex_;  // Acquired after the node's configuration lock.
  counter_table planner_counters_;
  std::unique_ptr<planner> fit_planner_;
  int in_progress_ = 0;
  bool is_stopping_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_GATEWAY_JOB_API_H_

#ifndef SASSAFRAS_PROGRAMS_GATEWAY_JOB_API_H_
#define SASSAFRAS_PROGRAMS_GATEWAY_JOB_API_H_

#include <functional>
#include <string>

#include "programs/shell/node.h"

namespace sassafras {

/// Serves /v1/jobs: POST submits a job, GET /v1/jobs/ID tells its state and
/// outcome, POST /v1/jobs/ID/cancel cancels it.
class job_api {
 public:
  explicit job_api(node& owner) : node_(owner) {}

  /// Answers one request whose path begins with "/v1/jobs".
  void Handle(http_exchange exchange);

  /// Takes in a newer configuration.
  void OnConfig(const config_ptr& config);

  /// Takes in a peer message of one of its kinds.
  void OnPeer(const std::string& kind, const std::string& body);

  /// Takes no new work and calls `done` when none is left.
  void Stop(std::function<void()> done);

 private:
  node& node_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_GATEWAY_JOB_API_H_

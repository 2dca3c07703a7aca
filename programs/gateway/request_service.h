#ifndef SASSAFRAS_PROGRAMS_GATEWAY_REQUEST_SERVICE_H_
#define SASSAFRAS_PROGRAMS_GATEWAY_REQUEST_SERVICE_H_

#include <functional>
#include <string>

#include "programs/shell/node.h"

namespace sassafras {

/// Serves POST /v1/requests/CLASS: turns exchanges, answers of the ports and
/// timers into events of the request decisions, and carries out their actions.
class request_service {
 public:
  explicit request_service(node& owner) : node_(owner) {}

  /// Answers one request. `class_name` is the part of the path after
  /// "/v1/requests/".
  void Handle(http_exchange exchange, const std::string& class_name);

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

#endif  // SASSAFRAS_PROGRAMS_GATEWAY_REQUEST_SERVICE_H_

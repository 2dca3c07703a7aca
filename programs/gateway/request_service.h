#ifndef SASSAFRAS_PROGRAMS_GATEWAY_REQUEST_SERVICE_H_
#define SASSAFRAS_PROGRAMS_GATEWAY_REQUEST_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "programs/shell/node.h"
#include "sassafras/request/request_core.h"

namespace sassafras {

/// Serves POST /v1/requests/CLASS: turns HTTP exchanges, answers of the ports
/// and timers into events of request_core, and executes its actions. Safe to
/// use from several threads: one mutex guards request_core and the bodies, and
/// no port is called with it held.
class request_service {
 public:
  explicit request_service(node& owner);

  /// Handles one request. `class_name` is the part of the path after
  /// "/v1/requests/".
  void Handle(http_exchange exchange, const std::string& class_name);

  /// Applies a newer configuration.
  void OnConfig(const config_ptr& config);

  /// Handles a peer message; ignores kinds other than slot messages.
  void OnPeerMessage(const std::string& kind, const std::string& body);

  /// Refuses new requests and calls `done` when all have ended.
  void Stop(std::function<void()> done);

 private:
  /// State of a request until request_ended.
  struct open_request {
    http_reply reply;
    std::shared_ptr<const std::string> body;
    std::map<send_id, minion_answer> answers;
    minion_answer stored;  ///< Read from the object store.
  };
  using task = std::function<void()>;
  using tasks = std::vector<task>;

  void HandleEvent(const request_event& event);
  task Plan(reply_error action);
  task Plan(const reply_answer& action);
  task Plan(const reply_stored& action);
  task Plan(send_request action);
  task Plan(const trim_connections& action);
  task Plan(commit_rows action);
  task Plan(read_rows action);
  task Plan(const store_answer& action);
  task Plan(const load_answer& action);
  task Plan(const send_slot_message& action);
  task Plan(const request_ended& action);
  task Plan(const stop_completed& action);
  void PlanWakeUp(tasks& planned);
  void Reply(const http_reply& reply, const minion_answer& answer) const;
  void OnSendEnded(request_id request, send_id send, minion_answer answer);
  void OnLoaded(request_id request, const object_answer& answer);
  void RefreshMembers();
  void RefreshLeavingMinions();

  node& node_;
  gateway_member self_;
  std::mutex mutex_;
  random_engine random_;
  request_core core_;
  request_id next_request_ = 1;
  std::map<request_id, open_request> open_;
  instant wake_at_ = instant::max();
  std::function<void()> on_stopped_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_GATEWAY_REQUEST_SERVICE_H_

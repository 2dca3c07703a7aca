#ifndef SASSAFRAS_NET_MINION_PORT_H_
#define SASSAFRAS_NET_MINION_PORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sassafras/core/time.h"
#include "sassafras/net/answer.h"

namespace sassafras {

/// Selects the connection on which a request is sent.
enum class connection_choice : std::uint8_t {
  kPooled,  ///< An idle connection if there is one, else a new one.
  kFresh,   ///< A new connection; an idle one may have failed unnoticed.
};

/// One request sent to a minion.
struct minion_request {
  std::string path;  ///< HTTP path.
  std::string key;   ///< Idempotency key, sent as a header unless empty.
  std::shared_ptr<const std::string> body;
  connection_choice connection = connection_choice::kPooled;
  duration timeout{0};  ///< From the send to the complete answer.
};

/// Answer of a minion. kDone: a complete answer to this request. kNotDone: no
/// byte of the request was sent. kUnknown: any other case.
struct minion_answer {
  answer_state state = answer_state::kUnknown;
  int status = 0;  ///< HTTP status, if kDone.
  std::string body;
  bool is_refused_as_leaving = false;  ///< Answer has x-leaving.
};

/// Cancels one send: closes its connection and calls `done` with kNotDone if no
/// byte can have been sent yet, else with kUnknown.
using cancel_function = std::function<void()>;

/// The HTTP interface of minions. `address` is that of the minion.
struct minion_port {
  /// Sends `request` and calls `done` exactly once.
  std::function<cancel_function(std::string address,
                                minion_request request,
                                std::function<void(minion_answer)> done)>
      send;

  /// Closes the oldest idle connections to `address` until `keep` are left.
  std::function<void(std::string address, int keep)> trim;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_MINION_PORT_H_

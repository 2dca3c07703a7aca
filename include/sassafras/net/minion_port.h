#ifndef SASSAFRAS_NET_MINION_PORT_H_
#define SASSAFRAS_NET_MINION_PORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sassafras/core/time.h"
#include "sassafras/net/answer.h"

namespace sassafras {

/// Which connection a request may go out on.
enum class connection_choice : std::uint8_t {
  kPooled,  ///< An idle one if there is any, else a new one.
  kFresh,   ///< Always a new one, never one that may have gone silent.
};

/// One request as it goes to a minion.
struct minion_request {
  std::string path;  ///< HTTP path.
  std::string key;   ///< Idempotency key, passed on as a header; may be empty.
  std::shared_ptr<const std::string> body;
  connection_choice connection = connection_choice::kPooled;
  duration timeout{0};  ///< From now to the whole answer.
};

/// Answer of a minion. kDone: a whole answer to this request. kNotDone: no
/// byte of the request left this process. kUnknown: anything else.
struct minion_answer {
  answer_state state = answer_state::kUnknown;
  int status = 0;  ///< HTTP status, if kDone.
  std::string body;
  bool is_refused_as_leaving = false;  ///< The minion said that it is leaving.
};

/// Abandons one send: its connection is closed and `done` is called with the
/// state that holds at that moment.
using cancel_function = std::function<void()>;

/// The HTTP interface of minions, by the minion's address.
struct minion_port {
  /// Sends `request` and calls `done` exactly once.
  std::function<cancel_function(std::string address,
                                minion_request request,
                                std::function<void(minion_answer)> done)>
      send;

  /// Closes idle connections to `address` beyond `keep`.
  std::function<void(std::string address, int keep)> trim;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_MINION_PORT_H_

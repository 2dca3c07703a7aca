#ifndef SASSAFRAS_NET_PEER_PORT_H_
#define SASSAFRAS_NET_PEER_PORT_H_

#include <functional>
#include <string>

namespace sassafras {

/// Messages between the system's processes. Delivery is not certain: a
/// message may be lost, late or repeated, and no answer is implied.
struct peer_port {
  /// Sends `message` to the peer socket at `address` without waiting. Returns
  /// false if it was dropped at once.
  std::function<bool(const std::string& address, const std::string& message)>
      send;
};

/// Called with each message that arrives, from any thread of the process.
using peer_receiver = std::function<void(std::string message)>;

}  // namespace sassafras

#endif  // SASSAFRAS_NET_PEER_PORT_H_

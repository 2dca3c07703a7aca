#ifndef SASSAFRAS_NET_PEER_PORT_H_
#define SASSAFRAS_NET_PEER_PORT_H_

#include <functional>
#include <string>

namespace sassafras {

/// Sends messages between the system's processes. Delivery is best-effort: a
/// message may be lost, delayed or duplicated, and is not acknowledged.
struct peer_port {
  /// Sends `message` to the peer socket at `address` without blocking. Returns
  /// false if the message was dropped immediately.
  std::function<bool(const std::string& address, const std::string& message)>
      send;
};

/// Called with each received message, on any thread of the process.
using peer_receiver = std::function<void(std::string message)>;

}  // namespace sassafras

#endif  // SASSAFRAS_NET_PEER_PORT_H_

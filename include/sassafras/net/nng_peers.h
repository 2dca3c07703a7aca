#ifndef SASSAFRAS_NET_NNG_PEERS_H_
#define SASSAFRAS_NET_NNG_PEERS_H_

#include <memory>
#include <string>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/result.h"
#include "sassafras/net/peer_port.h"

namespace sassafras {

/// Peer messages over nng. Each process has one pull socket, and per peer one
/// push socket (link), opened on first use and reopened after Reset().
class nng_peers {
 public:
  /// Listens on `address` ("IP:port") and calls `receive` on a dedicated
  /// thread. Fails with kInvalidSettings if the address cannot be bound.
  static result<std::shared_ptr<nng_peers>> Make(const std::string& address,
                                                 counter_table& counters,
                                                 peer_receiver receive);

  ~nng_peers();
  nng_peers(const nng_peers&) = delete;
  nng_peers& operator=(const nng_peers&) = delete;

  /// Returns a port that sends over the links of this object.
  peer_port Port();

  /// Closes the link to `address`; the next send opens a new one.
  void Reset(const std::string& address);

  /// Stops receiving and closes all links.
  void Close();

 private:
  class impl;
  explicit nng_peers(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_NNG_PEERS_H_

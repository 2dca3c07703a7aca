#ifndef SASSAFRAS_NET_NNG_PEERS_H_
#define SASSAFRAS_NET_NNG_PEERS_H_

#include <memory>
#include <string>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/result.h"
#include "sassafras/net/peer_port.h"

namespace sassafras {

/// Peer messages over nng: each process pulls on one address and pushes to
/// others. Links are made on first use and again after silence.
class nng_peers {
 public:
  /// Listens on `address` ("IP:port") and calls `receive` from a thread of its
  /// own. Fails with kInvalidSettings if the address cannot be bound.
  static result<std::shared_ptr<nng_peers>> Make(const std::string& address,
                                                 counter_table& counters,
                                                 peer_receiver receive);

  ~nng_peers();
  nng_peers(const nng_peers&) = delete;
  nng_peers& operator=(const nng_peers&) = delete;

  /// Returns the port that sends through this object's links.
  peer_port Port();

  /// Closes the link to `address`, so that the next send makes a new one.
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

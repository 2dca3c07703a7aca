#ifndef SASSAFRAS_SRC_NET_SOCKET_OPTIONS_H_
#define SASSAFRAS_SRC_NET_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "sassafras/core/time.h"

namespace sassafras {

/// Makes the kernel detect a dead connection: it sends TCP keepalive probes
/// after `idle`, and fails if data is unacknowledged for `user_timeout`.
/// Disables Nagle's algorithm. Failures to set an option are ignored.
void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        duration idle,
                        duration user_timeout);

}  // namespace sassafras

#endif  // SASSAFRAS_SRC_NET_SOCKET_OPTIONS_H_

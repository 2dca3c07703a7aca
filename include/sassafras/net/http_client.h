#ifndef SASSAFRAS_NET_HTTP_CLIENT_H_
#define SASSAFRAS_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"
#include "sassafras/net/answer.h"
#include "sassafras/net/http_types.h"
#include "sassafras/net/minion_port.h"

namespace sassafras {

/// Settings of outgoing connections.
struct http_client_options {
  duration connect_timeout{1'000'000};
  duration tcp_user_timeout{3'000'000};  ///< Unacknowledged data fails after.
  duration keepalive_idle{2'000'000};    ///< Idle time before a TCP probe.
  duration idle_limit{20'000'000};       ///< Idle connections close after it.
  int max_connections = 0;  ///< Open ones, idle ones included; 0: no limit.
  int max_idle = 0;         ///< Idle ones to all addresses; 0: no limit.
  std::uint64_t max_body_bytes = 16 << 20;
};

/// Answer of a call. kDone: `response` is whole. kNotDone: no byte left.
struct http_answer {
  answer_state state = answer_state::kUnknown;
  http_response response;
};

/// HTTP/1.1 calls with a pool of idle connections per address. Safe to use
/// from several threads.
class http_client {
 public:
  static std::shared_ptr<http_client> Make(boost::asio::io_context& context,
                                           http_client_options options,
                                           counter_table& counters);

  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends `request` to `address` and calls `done` exactly once, with
  /// kUnknown or kNotDone at the latest after `timeout`. A pooled connection
  /// that was closed before a byte left is replaced by a new one. At the limit
  /// of connections the idle one that was used longest ago gives way; if none
  /// is idle, the answer is kNotDone.
  cancel_function Call(const std::string& address,
                       http_request request,
                       connection_choice connection,
                       duration timeout,
                       std::function<void(http_answer)> done);

  /// Closes idle connections to `address` beyond `keep`.
  void Trim(const std::string& address, int keep);

  /// Open connections to `address`, idle ones included.
  int CountConnections(const std::string& address) const;

  /// Open connections to all addresses, idle ones included.
  int CountConnections() const;

 private:
  class impl;
  explicit http_client(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_HTTP_CLIENT_H_

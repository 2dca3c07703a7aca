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
#include "sassafras/net/memory_budget.h"
#include "sassafras/net/minion_port.h"

namespace sassafras {

/// Settings of outgoing connections.
struct http_client_options {
  duration connect_timeout{1'000'000};
  duration tcp_user_timeout{3'000'000};  ///< Limit for unacknowledged data.
  duration keepalive_idle{2'000'000};    ///< Idle time before a TCP probe.
  duration idle_limit{20'000'000};       ///< Close an idle connection after.
  int max_connections = 0;               ///< Open, including idle; 0: no limit.
  int max_idle = 0;  ///< Idle, over all addresses; 0: no limit.
  std::uint64_t max_body_bytes = 16 << 20;
  /// For all answers that are incomplete. Null: no limit.
  std::shared_ptr<memory_budget> memory;
};

/// Result of a call. kDone: `response` is complete. kNotDone: no byte was sent.
struct http_answer {
  answer_state state = answer_state::kUnknown;
  http_response response;
};

/// HTTP/1.1 client with a pool of idle connections per address. Thread-safe:
/// it may be used from several threads.
class http_client {
 public:
  static std::shared_ptr<http_client> Make(boost::asio::io_context& context,
                                           http_client_options options,
                                           counter_table& counters);

  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends `request` to `address` and calls `done` exactly once; on expiry of
  /// `timeout` with kUnknown or kNotDone. A pooled connection that was closed
  /// before a byte was sent is replaced by a new one. At the connection limit
  /// the least recently used idle connection is closed; if none is idle, the
  /// result is kNotDone.
  cancel_function Call(const std::string& address,
                       http_request request,
                       connection_choice connection,
                       duration timeout,
                       std::function<void(http_answer)> done);

  /// Closes the oldest idle connections to `address` until `keep` are left.
  void Trim(const std::string& address, int keep);

  /// Number of open connections to `address`, including idle ones.
  int CountConnections(const std::string& address) const;

  /// Number of open connections to all addresses, including idle ones.
  int CountConnections() const;

 private:
  class impl;
  explicit http_client(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_HTTP_CLIENT_H_

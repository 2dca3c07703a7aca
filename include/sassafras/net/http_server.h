#ifndef SASSAFRAS_NET_HTTP_SERVER_H_
#define SASSAFRAS_NET_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/result.h"
#include "sassafras/core/time.h"
#include "sassafras/net/http_types.h"
#include "sassafras/net/memory_budget.h"

namespace sassafras {

/// Limit that a client has exceeded.
enum class client_limit : std::uint8_t {
  kHeaderBytes,   ///< Request line and header fields.
  kHeaderFields,  ///< Number of header and trailer fields.
  kFraming,       ///< A chunk line or the trailer section.
  kBody,
  kTime,         ///< Time to read a request.
  kMemory,       ///< Memory of all connections of the process.
  kConnections,  ///< Connections of the address.
};

/// Name of `limit` in counters and logs.
std::string_view GetName(client_limit limit);

/// Limits of an HTTP server.
struct http_server_options {
  std::string address;  ///< "IP:port" to listen on.
  std::uint64_t max_body_bytes = 1 << 20;
  /// The read buffer is a quarter larger, which bounds chunk lines and trailer
  /// sections.
  std::uint32_t max_header_bytes = 16 << 10;
  int max_header_fields = 100;
  duration read_timeout{10'000'000};  ///< Maximum time to read a request.
  duration idle_timeout{60'000'000};  ///< Maximum time between requests.
  /// At this number the connection that has been longest without a complete
  /// request is closed in favour of a new one.
  int max_connections = 10'000;
  /// Receive buffer of each connection in the kernel; 0: the system's default.
  int receive_buffer_bytes = 16 << 10;
  /// Shared with other servers of the process. Null: one of its own, of
  /// kDefaultMemoryBytes or four bodies.
  std::shared_ptr<memory_budget> memory;
  /// Called when a client exceeds a limit; may be empty.
  std::function<void(client_limit limit, const std::string& address)> on_limit;

  static constexpr std::uint64_t kDefaultMemoryBytes = 64 << 20;
};

/// Called when the caller closes its connection before the answer is sent.
using disconnect_handler = std::function<void()>;

/// One request and the functions to answer it.
struct http_exchange {
  http_request request;
  http_reply reply;  ///< Call exactly once. Ignored after a disconnect.
  /// Installs a handler for the caller's disconnect. Call at most once.
  std::function<void(disconnect_handler)> on_disconnect;
};

/// An HTTP/1.1 server on one address. Requests on one connection are handled
/// sequentially.
class http_server {
 public:
  using handler = std::function<void(http_exchange)>;

  /// Starts to listen. Fails with kInvalidSettings if bind or listen fails.
  static result<std::shared_ptr<http_server>> Make(
      boost::asio::io_context& context,
      http_server_options options,
      counter_table& counters,
      handler handle);

  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Stops accepting connections and closes each open one after its current
  /// answer. Does not wait; CountConnections() reaches 0 when all are closed.
  void Drain();

  /// Closes each connection after its next answer, but continues to accept
  /// new connections.
  void DisableKeepAlive();

  /// Number of open connections.
  int CountConnections() const;

 private:
  class impl;
  explicit http_server(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_HTTP_SERVER_H_

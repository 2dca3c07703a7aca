#ifndef SASSAFRAS_SRC_NET_CONNECTION_POOL_H_
#define SASSAFRAS_SRC_NET_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_client.h"

namespace sassafras {

/// One open connection to an address.
struct connection {
  explicit connection(boost::asio::io_context& context)
      : stream(boost::asio::make_strand(context)) {}

  /// Bounds the header, chunk lines and trailer section of an answer.
  static constexpr std::size_t kMaxBufferBytes = 64 << 10;

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxBufferBytes};
  std::chrono::steady_clock::time_point idle_since;
};

using connection_ptr = std::unique_ptr<connection>;

/// Tracks open and idle connections by address. Enforces the limits of
/// `http_client_options`: the least recently used idle connection over all
/// addresses is closed first. Thread-safe.
class connection_pool {
 public:
  connection_pool(boost::asio::io_context& context,
                  const http_client_options& options,
                  counter_table& counters)
      : context_(context), options_(options), counters_(counters) {}

  /// Removes and returns an idle open connection to `address`, or null.
  connection_ptr TakeIdle(const std::string& address);

  /// Returns a connection to `address` that is not connected yet, or null if
  /// max_connections are open and none of them is idle.
  connection_ptr Open(const std::string& address);

  /// Returns a connection to the pool after a complete answer.
  void Return(const std::string& address, connection_ptr returned);

  /// Closes a connection that must not be used again.
  void Drop(const std::string& address, connection_ptr dropped);

  /// Closes idle connections to `address` beyond `keep`, oldest first.
  void Trim(const std::string& address, int keep);

  /// Number of open connections, including idle ones.
  int CountConnections(const std::string& address) const;
  int CountConnections() const;

 private:
  struct idle_connection {
    std::string address;
    connection_ptr connection;
  };
  using idle_list = std::list<idle_connection>;

  struct address_state {
    std::vector<idle_list::iterator> idle;  // Most recent at the back.
    int open_count = 0;
  };

  // Require mutex_ to be held.
  connection_ptr RemoveIdle(address_state& state, idle_list::iterator it);
  void CloseOldest(const char* reason);
  void RecordClosed(const std::string& address);

  boost::asio::io_context& context_;
  const http_client_options options_;
  counter_table& counters_;
  mutable std::mutex mutex_;
  idle_list idle_;  // Least recently used at the front.
  std::map<std::string, address_state> addresses_;
  int open_count_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_SRC_NET_CONNECTION_POOL_H_

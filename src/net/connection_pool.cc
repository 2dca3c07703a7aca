#include "src/net/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <utility>

#include "sassafras/core/invariant.h"

namespace sassafras {
namespace {

using tcp = boost::asio::ip::tcp;

// Returns true if the connection is open and has no unread data. Unread bytes
// would belong to no request; end of stream means that the server closed it.
bool IsReusable(connection& pooled) {
  if (!pooled.stream.socket().is_open() || pooled.buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  const auto received = ::recv(pooled.stream.socket().native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

connection_ptr connection_pool::TakeIdle(const std::string& address) {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  for (auto at = addresses_.find(address);
       at != addresses_.end() && !at->second.idle.empty();
       at = addresses_.find(address)) {
    connection_ptr taken = RemoveIdle(at->second, at->second.idle.back());
    if (now - taken->idle_since < options_.idle_limit && IsReusable(*taken)) {
      return taken;
    }
    RecordClosed(address);
    counters_.Add("client_idle_connection_dropped");
  }
  return nullptr;
}

connection_ptr connection_pool::Open(const std::string& address) {
  const std::lock_guard lock(mutex_);
  const bool is_full =
      options_.max_connections > 0 && open_count_ >= options_.max_connections;
  if (is_full && idle_.empty()) {
    counters_.Add("client_connection_limit_reached");
    return nullptr;
  }
  if (is_full) {
    CloseOldest("client_idle_connection_gave_way");
  }
  ++open_count_;
  ++addresses_[address].open_count;
  return std::make_unique<connection>(context_);
}

void connection_pool::Return(const std::string& address,
                             connection_ptr returned) {
  const auto now = std::chrono::steady_clock::now();
  returned->idle_since = now;
  const std::lock_guard lock(mutex_);
  idle_.push_back({address, std::move(returned)});
  addresses_[address].idle.push_back(std::prev(idle_.end()));
  while (!idle_.empty() &&
         now - idle_.front().connection->idle_since >= options_.idle_limit) {
    CloseOldest("client_idle_connection_dropped");
  }
  if (options_.max_idle > 0 &&
      static_cast<int>(idle_.size()) > options_.max_idle) {
    CloseOldest("client_idle_connection_gave_way");
  }
}

void connection_pool::Drop(const std::string& address, connection_ptr dropped) {
  boost::beast::error_code ignored;
  dropped->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  dropped.reset();
  const std::lock_guard lock(mutex_);
  RecordClosed(address);
}

void connection_pool::Trim(const std::string& address, int keep) {
  const std::lock_guard lock(mutex_);
  for (auto at = addresses_.find(address);
       at != addresses_.end() &&
       static_cast<int>(at->second.idle.size()) > std::max(0, keep);
       at = addresses_.find(address)) {
    RemoveIdle(at->second, at->second.idle.front());
    RecordClosed(address);
  }
}

int connection_pool::CountConnections(const std::string& address) const {
  const std::lock_guard lock(mutex_);
  const auto it = addresses_.find(address);
  return it == addresses_.end() ? 0 : it->second.open_count;
}

int connection_pool::CountConnections() const {
  const std::lock_guard lock(mutex_);
  return open_count_;
}

connection_ptr connection_pool::RemoveIdle(address_state& state,
                                           idle_list::iterator it) {
  connection_ptr taken = std::move(it->connection);
  state.idle.erase(std::find(state.idle.begin(), state.idle.end(), it));
  idle_.erase(it);
  return taken;
}

void connection_pool::CloseOldest(const char* reason) {
  const std::string address = idle_.front().address;
  RemoveIdle(addresses_.at(address), idle_.begin());
  RecordClosed(address);
  counters_.Add(reason);
}

void connection_pool::RecordClosed(const std::string& address) {
  --open_count_;
  const auto it = addresses_.find(address);
  CheckInvariant(it != addresses_.end() && it->second.open_count > 0,
                 "closed_connection_was_open");
  if (--it->second.open_count == 0) {
    addresses_.erase(it);
  }
}

}  // namespace sassafras

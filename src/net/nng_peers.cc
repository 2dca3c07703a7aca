#include "sassafras/net/nng_peers.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace sassafras {
namespace {

constexpr int kSendBufferMessages = 64;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 1'000;
constexpr std::size_t kMaxMessageBytes = 1 << 20;
constexpr int kReceiveBufferMessages = 256;

}  // namespace

// Owns the pull socket, its receiving thread, and one push socket per peer.
class nng_peers::impl {
 public:
  impl(counter_table& counters, peer_receiver receive)
      : counters_(counters), receive_(std::move(receive)) {}

  ~impl() { Close(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  bool Listen(const std::string& address) {
    if (nng_pull0_open(&pull_) != 0) {
      return false;
    }
    nng_socket_set_size(pull_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    nng_socket_set_int(pull_, NNG_OPT_RECVBUF, kReceiveBufferMessages);
    if (nng_listen(pull_, ("tcp://" + address).c_str(), nullptr, 0) != 0) {
      nng_close(pull_);
      return false;
    }
    is_open_ = true;
    thread_ = std::thread([this] { ReceiveAll(); });
    return true;
  }

  bool Send(const std::string& address, const std::string& message) {
    const std::lock_guard lock(mutex_);
    if (!is_open_) {
      return false;
    }
    const auto it = links_.find(address);
    const nng_socket socket =
        it != links_.end() ? it->second : OpenLink(address);
    // nng_send copies the bytes, since NNG_FLAG_ALLOC is not set.
    const int code = nng_send(socket, const_cast<char*>(message.data()),
                              message.size(), NNG_FLAG_NONBLOCK);
    if (code != 0) {
      counters_.Add("peer_message_dropped");
    }
    return code == 0;
  }

  void Reset(const std::string& address) {
    const std::lock_guard lock(mutex_);
    const auto it = links_.find(address);
    if (it != links_.end()) {
      nng_close(it->second);
      links_.erase(it);
      counters_.Add("peer_link_reset");
    }
  }

  void Close() {
    if (is_open_.exchange(false)) {
      nng_close(pull_);
    }
    if (thread_.joinable()) {
      thread_.join();
    }
    const std::lock_guard lock(mutex_);
    for (const auto& [address, socket] : links_) {
      nng_close(socket);
    }
    links_.clear();
  }

 private:
  void ReceiveAll() {
    while (is_open_) {
      char* data = nullptr;
      std::size_t size = 0;
      const int code = nng_recv(pull_, &data, &size, NNG_FLAG_ALLOC);
      if (code == NNG_ECLOSED) {
        return;
      }
      if (code != 0) {
        continue;
      }
      std::string message(data, size);
      nng_free(data, size);
      receive_(std::move(message));
    }
  }

  nng_socket OpenLink(const std::string& address) {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_push0_open(&socket);
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBufferMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    nng_dial(socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    links_.emplace(address, socket);
    return socket;
  }

  counter_table& counters_;
  peer_receiver receive_;
  nng_socket pull_ = NNG_SOCKET_INITIALIZER;
  std::atomic<bool> is_open_{false};
  std::thread thread_;
  std::mutex mutex_;
  std::map<std::string, nng_socket> links_;
};

result<std::shared_ptr<nng_peers>> nng_peers::Make(const std::string& address,
                                                   counter_table& counters,
                                                   peer_receiver receive) {
  auto state = std::make_shared<impl>(counters, std::move(receive));
  if (!state->Listen(address)) {
    return Fail(error_kind::kInvalidSettings, "cannot listen on " + address);
  }
  return std::shared_ptr<nng_peers>(new nng_peers(std::move(state)));
}

nng_peers::nng_peers(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

nng_peers::~nng_peers() {
  impl_->Close();
}

peer_port nng_peers::Port() {
  peer_port port;
  port.send = [state = impl_](const std::string& address,
                              const std::string& message) {
    return state->Send(address, message);
  };
  return port;
}

void nng_peers::Reset(const std::string& address) {
  impl_->Reset(address);
}

void nng_peers::Close() {
  impl_->Close();
}

}  // namespace sassafras

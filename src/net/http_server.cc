#include "sassafras/net/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <limits>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "sassafras/config/address.h"
#include "sassafras/net/call_after.h"
#include "src/net/socket_options.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr duration kKeepaliveIdle = std::chrono::seconds(10);
constexpr duration kTcpUserTimeout = std::chrono::seconds(10);
constexpr duration kWriteTimeout = std::chrono::seconds(30);
// Delay before the next accept after one failed, e.g. without descriptors.
constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(50);

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

http_request ToRequest(http::request<http::string_body>&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  request.path = std::string(message.target());
  for (const auto& field : message) {
    request.headers[ToLower(std::string(field.name_string()))] =
        std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

std::string_view GetName(client_limit limit) {
  switch (limit) {
    case client_limit::kHeaderBytes:
      return "header_bytes";
    case client_limit::kHeaderFields:
      return "header_fields";
    case client_limit::kFraming:
      return "framing";
    case client_limit::kBody:
      return "body";
    case client_limit::kTime:
      return "time";
    case client_limit::kMemory:
      return "memory";
    case client_limit::kConnections:
      return "connections";
  }
  return "unknown";
}

// Accepts connections and counts the open ones.
class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  class session;

  impl(asio::io_context& context,
       http_server_options options,
       counter_table& counters,
       handler handle)
      : options_(std::move(options)),
        counters_(counters),
        handle_(std::move(handle)),
        context_(context),
        acceptor_(asio::make_strand(context)) {
    if (!options_.memory) {
      options_.memory =
          memory_budget::Make(std::max(http_server_options::kDefaultMemoryBytes,
                                       4 * options_.max_body_bytes));
    }
  }

  bool Listen() {
    const auto address = ParseAddress(options_.address);
    if (!address) {
      return false;
    }
    const tcp::endpoint endpoint(asio::ip::make_address(address->host),
                                 address->port);
    beast::error_code code;
    acceptor_.open(endpoint.protocol(), code);
    if (!code) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code && options_.receive_buffer_bytes > 0) {
      // Connections inherit it. Without it the server still works.
      beast::error_code ignored;
      acceptor_.set_option(
          asio::socket_base::receive_buffer_size(options_.receive_buffer_bytes),
          ignored);
    }
    if (!code) {
      acceptor_.bind(endpoint, code);
    }
    if (!code) {
      acceptor_.listen(asio::socket_base::max_listen_connections, code);
    }
    return !code;
  }

  void Accept();
  void ScheduleAcceptRetry();
  void AcceptUnlessDraining();
  void Drain();
  void Remove(session* ended);
  bool CloseLongestWaiting();
  void OnLimit(client_limit limit);

  int CountConnections() const {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(sessions_.size());
  }

  bool IsDraining() const { return is_draining_.load(); }
  bool IsKeepAliveEnabled() const {
    return !is_draining_.load() && !is_keep_alive_disabled_.load();
  }
  void DisableKeepAlive() { is_keep_alive_disabled_.store(true); }
  const http_server_options& Options() const { return options_; }
  counter_table& Counters() { return counters_; }
  const handler& Handle() const { return handle_; }

 private:
  http_server_options options_;
  counter_table& counters_;
  handler handle_;
  asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_keep_alive_disabled_{false};
  mutable std::mutex mutex_;
  std::set<session*> sessions_;
};

// One connection. All members are accessed on the strand of the stream.
class http_server::impl::session
    : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<impl> owner, tcp::socket socket)
      : owner_(std::move(owner)),
        stream_(std::move(socket)),
        buffer_(std::size_t{owner_->Options().max_header_bytes} * 5 / 4) {}

  ~session() { owner_->Remove(this); }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Start() {
    SetLivenessOptions(beast::get_lowest_layer(stream_).socket(),
                       kKeepaliveIdle, kTcpUserTimeout);
    memory_ = owner_->Options().memory->Open([weak = weak_from_this()] {
      if (const auto alive = weak.lock()) {
        alive->GiveWay(client_limit::kMemory);
      }
    });
    asio::dispatch(stream_.get_executor(),
                   [self = shared_from_this()] { self->WaitForRequest(); });
  }

  // Closes the connection in favour of others, unless a complete request is in
  // progress on it. May be called from any thread.
  void GiveWay(client_limit limit) {
    is_giving_way_.store(true);
    asio::post(stream_.get_executor(), [self = shared_from_this(), limit] {
      self->is_giving_way_.store(false);
      if (self->IsWaiting() && !self->is_closed_) {
        self->owner_->OnLimit(limit);
        self->Close();
      }
    });
  }

  bool IsGivingWay() const { return is_giving_way_.load(); }

  // Whether no complete request is in progress. The time since which that is so
  // may be read from any thread.
  static constexpr std::int64_t kNotWaiting = -1;
  bool IsWaiting() const { return WaitingSince() != kNotWaiting; }
  std::int64_t WaitingSince() const { return waiting_since_.load(); }

  // Closes the connection if no request is in progress on it.
  void CloseIfIdle() {
    asio::post(stream_.get_executor(), [self = shared_from_this()] {
      if (self->is_idle_) {
        self->Close();
      }
    });
  }

 private:
  void WaitForRequest() {
    if (owner_->IsDraining()) {
      Close();
      return;
    }
    is_idle_ = true;
    SetWaiting(true);
    ChargeMemory();
    parser_.emplace();
    header_bytes_ = 0;
    parser_->eager(true);
    parser_->body_limit(owner_->Options().max_body_bytes);
    parser_->header_limit(owner_->Options().max_header_bytes);
    if (buffer_.size() > 0) {
      ReadRequest();
      return;
    }
    stream_.expires_after(owner_->Options().idle_timeout);
    stream_.async_read_some(
        buffer_.prepare(std::min(kFirstReadBytes, buffer_.max_size())),
        [self = shared_from_this()](beast::error_code code, std::size_t bytes) {
          if (code) {
            self->Close();
            return;
          }
          self->buffer_.commit(bytes);
          self->ReadRequest();
        });
  }

  void ReadRequest() {
    is_idle_ = false;
    memory_->SetIncomplete(true);
    stream_.expires_after(owner_->Options().read_timeout);
    Parse();
  }

  // Reads a part of the request at a time, so that each is accounted for.
  void ReadSome() {
    const std::size_t size =
        std::min(kMaxReadBytes, buffer_.max_size() - buffer_.size());
    if (size == 0) {
      Refuse(parser_->is_header_done() ? client_limit::kFraming
                                       : client_limit::kHeaderBytes,
             error_kind::kTooLarge, "a line is too long");
      return;
    }
    stream_.async_read_some(
        buffer_.prepare(size),
        [self = shared_from_this()](beast::error_code code, std::size_t bytes) {
          self->buffer_.commit(bytes);
          if (code) {
            self->HandleReadError(code);
          } else {
            self->Parse();
          }
        });
  }

  // Parses what was read. The library counts only bytes that it has not parsed
  // yet against its limit of header bytes, so that they are counted here.
  void Parse() {
    beast::error_code code;
    while (buffer_.size() > 0 && !parser_->is_done() && !code) {
      const bool was_header_done = parser_->is_header_done();
      const std::size_t used = parser_->put(buffer_.data(), code);
      buffer_.consume(used);
      header_bytes_ += was_header_done ? 0 : used;
    }
    if (code && code != http::error::need_more) {
      HandleReadError(code);
    } else if (!parser_->is_header_done() &&
               header_bytes_ > owner_->Options().max_header_bytes) {
      Refuse(client_limit::kHeaderBytes, error_kind::kTooLarge,
             "the header is too long");
    } else if (HasTooManyFields()) {
      Refuse(client_limit::kHeaderFields, error_kind::kTooLarge,
             "too many header fields");
    } else if (!ChargeMemory()) {
      Refuse(client_limit::kMemory, error_kind::kQueueFull,
             "too many requests are incomplete");
    } else if (parser_->is_done()) {
      OnRead();
    } else {
      ReadSome();
    }
  }

  bool HasTooManyFields() const {
    const auto& fields = parser_->get();
    return std::distance(fields.begin(), fields.end()) >
           owner_->Options().max_header_fields;
  }

  // Bytes held for the request that is read, or for one that is in progress. A
  // string may reserve more than it holds, but touches no more than twice that.
  // Parsed fields are covered by their number.
  bool ChargeMemory() {
    std::uint64_t bytes = buffer_.capacity();
    if (parser_) {
      const std::string& body = parser_->get().body();
      bytes += std::min(body.capacity(), body.size() * 2);
    }
    return memory_->Resize(bytes + request_bytes_);
  }

  void SetWaiting(bool is_waiting) {
    const std::int64_t now =
        std::chrono::steady_clock::now().time_since_epoch().count();
    waiting_since_.store(is_waiting ? now : kNotWaiting);
  }

  void OnRead() {
    SetWaiting(false);
    memory_->SetIncomplete(false);
    is_keep_alive_ = parser_->get().keep_alive();
    stream_.expires_never();
    const std::uint64_t number = ++request_number_;
    http_exchange exchange;
    exchange.request = ToRequest(parser_->release());
    request_bytes_ = exchange.request.body.size();
    exchange.reply = [self = shared_from_this(), number](http_response r) {
      asio::post(self->stream_.get_executor(),
                 [self, number, response = std::move(r)]() mutable {
                   self->Reply(number, std::move(response));
                 });
    };
    exchange.on_disconnect = [self = shared_from_this(),
                              number](disconnect_handler on_disconnect) {
      asio::post(
          self->stream_.get_executor(),
          [self, number, on_disconnect = std::move(on_disconnect)]() mutable {
            self->SetDisconnectHandler(number, std::move(on_disconnect));
          });
    };
    is_answered_ = false;
    WatchForClose();
    owner_->Handle()(std::move(exchange));
  }

  // Reads ahead while a request is in progress to detect that the caller closes
  // its connection. Bytes of a pipelined request stay in the buffer and end the
  // watch, because that request must be parsed without waiting for more bytes.
  void WatchForClose() {
    if (buffer_.size() > 0) {
      return;
    }
    is_watching_ = true;
    buffer_.shrink_to_fit();
    stream_.async_read_some(
        buffer_.prepare(std::min(kFirstReadBytes, buffer_.max_size())),
        [self = shared_from_this()](beast::error_code code, std::size_t bytes) {
          self->OnWatchRead(code, bytes);
        });
  }

  void OnWatchRead(beast::error_code code, std::size_t bytes) {
    is_watching_ = false;
    if (code) {
      is_closed_ = true;
      if (!is_answered_ && disconnect_handler_) {
        disconnect_handler_();
      }
      disconnect_handler_ = nullptr;
      Close();
      return;
    }
    buffer_.commit(bytes);
    if (is_waiting_for_watch_) {
      is_waiting_for_watch_ = false;
      WaitForRequest();
    }
  }

  void SetDisconnectHandler(std::uint64_t number,
                            disconnect_handler on_disconnect) {
    if (number != request_number_ || is_answered_) {
      return;
    }
    if (is_closed_) {
      on_disconnect();
      return;
    }
    disconnect_handler_ = std::move(on_disconnect);
  }

  void Reply(std::uint64_t number, http_response response) {
    if (number != request_number_ || is_answered_) {
      return;
    }
    is_answered_ = true;
    disconnect_handler_ = nullptr;
    if (is_closed_) {
      return;
    }
    Write(std::move(response));
  }

  void Write(http_response response) {
    is_keep_alive_ = is_keep_alive_ && owner_->IsKeepAliveEnabled();
    message_.emplace(static_cast<http::status>(response.status), 11);
    for (const auto& [name, value] : response.headers) {
      message_->set(name, value);
    }
    message_->set(http::field::content_type, response.content_type);
    message_->keep_alive(is_keep_alive_);
    message_->body() = std::move(response.body);
    message_->prepare_payload();
    request_bytes_ = 0;
    memory_->ForceResize(buffer_.capacity() + message_->body().size());
    stream_.expires_after(kWriteTimeout);
    http::async_write(stream_, *message_,
                      [self = shared_from_this()](beast::error_code code,
                                                  std::size_t /*bytes*/) {
                        self->OnWrite(code);
                      });
  }

  void OnWrite(beast::error_code code) {
    if (code || !is_keep_alive_) {
      Close();
      return;
    }
    if (is_watching_) {
      // The pending watch read becomes the first read of the next request.
      message_.reset();
      SetWaiting(true);
      memory_->ForceResize(buffer_.capacity());
      memory_->SetIncomplete(true);
      is_waiting_for_watch_ = true;
      is_idle_ = true;
      stream_.expires_after(owner_->Options().idle_timeout);
      if (owner_->IsDraining()) {
        Close();
      }
      return;
    }
    WaitForRequest();
  }

  // Answers a request that exceeds a limit, and closes the connection.
  void Refuse(client_limit limit, error_kind kind, const std::string& detail) {
    owner_->OnLimit(limit);
    owner_->Counters().AddError(kind);
    parser_.reset();
    is_keep_alive_ = false;
    SetWaiting(false);
    memory_->SetIncomplete(false);
    http_response response = ErrorResponse(Fail(kind, detail));
    if (GetErrorInfo(kind).retryable) {
      response.headers["Retry-After"] = "1";
    }
    Write(std::move(response));
  }

  // The limit that ended the reading of a request, if one did.
  std::optional<client_limit> LimitOf(beast::error_code code) const {
    if (code == http::error::header_limit) {
      return client_limit::kHeaderBytes;
    }
    if (code == http::error::body_limit) {
      return client_limit::kBody;
    }
    return std::nullopt;
  }

  void HandleReadError(beast::error_code code) {
    if (const auto limit = LimitOf(code)) {
      Refuse(*limit, error_kind::kTooLarge, code.message());
      return;
    }
    if (code == asio::error::eof || code == asio::error::operation_aborted ||
        code == asio::error::connection_reset) {
      Close();
      return;
    }
    const error_kind kind = code == beast::error::timeout
                                ? error_kind::kTooSlow
                                : error_kind::kMalformed;
    owner_->Counters().AddError(kind);
    if (kind == error_kind::kTooSlow) {
      owner_->OnLimit(client_limit::kTime);
      Close();  // The timeout has already closed the stream.
      return;
    }
    is_keep_alive_ = false;
    Write(ErrorResponse(Fail(kind, code.message())));
  }

  void Close() {
    is_closed_ = true;
    SetWaiting(false);
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
  }

  static constexpr std::size_t kFirstReadBytes = 4096;
  static constexpr std::size_t kMaxReadBytes = 64 << 10;

  std::shared_ptr<impl> owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> message_;
  disconnect_handler disconnect_handler_;
  std::unique_ptr<memory_budget::holder> memory_;
  std::uint64_t request_bytes_ = 0;  // Of the request in progress.
  std::uint64_t header_bytes_ = 0;   // Parsed, of the request that is read.
  std::atomic<std::int64_t> waiting_since_{kNotWaiting};
  std::atomic<bool> is_giving_way_{false};
  std::uint64_t request_number_ = 0;
  bool is_keep_alive_ = false;
  bool is_idle_ = false;
  bool is_answered_ = true;
  bool is_closed_ = false;
  bool is_watching_ = false;
  bool is_waiting_for_watch_ = false;
};

void http_server::impl::Accept() {
  acceptor_.async_accept(
      asio::make_strand(context_),
      [self = shared_from_this()](beast::error_code code, tcp::socket socket) {
        if (self->IsDraining() || code == asio::error::operation_aborted) {
          return;
        }
        if (code) {
          self->ScheduleAcceptRetry();
          return;
        }
        const auto added = std::make_shared<session>(self, std::move(socket));
        {
          const std::lock_guard lock(self->mutex_);
          self->sessions_.insert(added.get());
        }
        const bool is_full =
            self->CountConnections() > self->options_.max_connections;
        if (is_full && !self->CloseLongestWaiting()) {
          self->counters_.Add("refused_connection_limit");
          self->OnLimit(client_limit::kConnections);
        } else {
          added->Start();
        }
        self->Accept();
      });
}

// Retries after a delay: without free descriptors an immediate accept fails
// again, so that retrying at once would be a busy loop.
void http_server::impl::ScheduleAcceptRetry() {
  counters_.Add("accept_failed");
  CallAfter(context_, kAcceptRetryDelay, [weak = weak_from_this()] {
    if (const auto alive = weak.lock()) {
      asio::post(alive->acceptor_.get_executor(),
                 [alive] { alive->AcceptUnlessDraining(); });
    }
  });
}

void http_server::impl::AcceptUnlessDraining() {
  if (!IsDraining()) {
    Accept();
  }
}

void http_server::impl::Drain() {
  is_draining_.store(true);
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    beast::error_code ignored;
    self->acceptor_.close(ignored);
  });
  std::vector<std::shared_ptr<session>> open;
  {
    const std::lock_guard lock(mutex_);
    for (session* item : sessions_) {
      if (auto alive = item->weak_from_this().lock()) {
        open.push_back(std::move(alive));
      }
    }
  }
  for (const auto& item : open) {
    item->CloseIfIdle();
  }
}

// Tells the connection that has been longest without a complete request to
// close. Returns whether there is one.
bool http_server::impl::CloseLongestWaiting() {
  std::shared_ptr<session> longest;
  // Released after the lock: a session that ends here takes it again.
  std::vector<std::shared_ptr<session>> considered;
  {
    const std::lock_guard lock(mutex_);
    std::int64_t since = std::numeric_limits<std::int64_t>::max();
    for (session* item : sessions_) {
      const std::int64_t waiting_since = item->WaitingSince();
      if (waiting_since == session::kNotWaiting || item->IsGivingWay() ||
          waiting_since >= since) {
        continue;
      }
      if (auto alive = item->weak_from_this().lock()) {
        since = waiting_since;
        longest = alive;
        considered.push_back(std::move(alive));
      }
    }
  }
  if (longest) {
    longest->GiveWay(client_limit::kConnections);
  }
  return longest != nullptr;
}

void http_server::impl::OnLimit(client_limit limit) {
  counters_.Add("client_limit_" + std::string(GetName(limit)));
  if (options_.on_limit) {
    options_.on_limit(limit, options_.address);
  }
}

void http_server::impl::Remove(session* ended) {
  const std::lock_guard lock(mutex_);
  sessions_.erase(ended);
}

result<std::shared_ptr<http_server>> http_server::Make(
    asio::io_context& context,
    http_server_options options,
    counter_table& counters,
    handler handle) {
  const std::string address = options.address;
  auto state = std::make_shared<impl>(context, std::move(options), counters,
                                      std::move(handle));
  if (!state->Listen()) {
    return Fail(error_kind::kInvalidSettings, "cannot listen on " + address);
  }
  state->Accept();
  return std::shared_ptr<http_server>(new http_server(std::move(state)));
}

http_server::http_server(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

http_server::~http_server() {
  impl_->Drain();
}

void http_server::Drain() {
  impl_->Drain();
}

void http_server::DisableKeepAlive() {
  impl_->DisableKeepAlive();
}

int http_server::CountConnections() const {
  return impl_->CountConnections();
}

}  // namespace sassafras

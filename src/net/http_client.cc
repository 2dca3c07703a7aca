#include "sassafras/net/http_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>

#include "sassafras/config/address.h"
#include "src/net/connection_pool.h"
#include "src/net/socket_options.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxReadBytes = 64 << 10;
// Header and trailer fields of an answer. Each is kept until the answer ends.
constexpr std::ptrdiff_t kMaxFields = 200;

}  // namespace

// State that outlives the client while calls are in flight.
class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  class call;

  impl(asio::io_context& context,
       http_client_options options,
       counter_table& counters)
      : context_(context),
        options_(options),
        counters_(counters),
        pool_(context, options, counters) {}

  connection_pool& Pool() { return pool_; }
  const connection_pool& Pool() const { return pool_; }
  asio::io_context& Context() { return context_; }
  const http_client_options& Options() const { return options_; }
  counter_table& Counters() { return counters_; }

 private:
  asio::io_context& context_;
  http_client_options options_;
  counter_table& counters_;
  connection_pool pool_;
};

// One request and its answer. After Start(), members are accessed only on the
// strand of the connection.
class http_client::impl::call : public std::enable_shared_from_this<call> {
 public:
  call(std::shared_ptr<impl> owner,
       std::string address,
       duration timeout,
       std::function<void(http_answer)> done)
      : owner_(std::move(owner)),
        address_(std::move(address)),
        deadline_(std::chrono::steady_clock::now() + timeout),
        done_(std::move(done)) {}

  void Start(http_request&& request, connection_choice choice) {
    FillMessage(std::move(request));
    if (choice == connection_choice::kPooled) {
      connection_ = owner_->Pool().TakeIdle(address_);
    }
    if (connection_) {
      Dispatch([](call& self) { self.Write(); });
      return;
    }
    connection_ = owner_->Pool().Open(address_);
    Dispatch([](call& self) { self.Connect(); });
  }

  void Cancel() {
    Dispatch([](call& self) {
      if (self.done_) {
        self.owner_->Counters().Add("client_call_cancelled");
        self.Abort(self.GetUnansweredState());
      }
    });
  }

 private:
  // Runs `step` on the strand. The executor is copied when the call starts, so
  // that a later Cancel() does not access the connection from another thread.
  void Dispatch(void (*step)(call&)) {
    if (!executor_ && connection_) {
      executor_ = connection_->stream.get_executor();
    } else if (!executor_) {
      executor_ = owner_->Context().get_executor();
    }
    asio::post(executor_, [self = shared_from_this(), step] { step(*self); });
  }

  void FillMessage(http_request&& request) {
    message_.version(11);
    message_.method_string(request.method);
    message_.target(request.path);
    message_.set(http::field::host, address_);
    for (const auto& [name, value] : request.headers) {
      message_.set(name, value);
    }
    message_.body() = std::move(request.body);
    message_.prepare_payload();
  }

  void Connect() {
    if (!done_) {
      return;
    }
    if (!connection_) {
      Complete({answer_state::kNotDone, {}});
      return;
    }
    const auto address = ParseAddress(address_);
    if (!address) {
      Abort(answer_state::kNotDone);
      return;
    }
    const tcp::endpoint endpoint(asio::ip::make_address(address->host),
                                 address->port);
    connection_->stream.expires_at(std::min(
        deadline_,
        std::chrono::steady_clock::now() + owner_->Options().connect_timeout));
    connection_->stream.async_connect(
        endpoint, [self = shared_from_this()](beast::error_code code) {
          if (!self->done_) {
            return;
          }
          if (code) {
            self->owner_->Counters().Add("client_connect_failed");
            self->Abort(answer_state::kNotDone);
            return;
          }
          SetLivenessOptions(self->connection_->stream.socket(),
                             self->owner_->Options().keepalive_idle,
                             self->owner_->Options().tcp_user_timeout);
          self->Write();
        });
  }

  void Write() {
    if (!done_) {
      return;
    }
    is_write_started_ = true;
    connection_->stream.expires_at(deadline_);
    http::async_write(connection_->stream, message_,
                      [self = shared_from_this()](beast::error_code code,
                                                  std::size_t /*bytes*/) {
                        self->OnWrite(code);
                      });
  }

  void OnWrite(beast::error_code code) {
    if (!done_) {
      return;
    }
    if (code) {
      owner_->Counters().Add("client_write_failed");
      Abort(answer_state::kUnknown);
      return;
    }
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(owner_->Options().max_body_bytes);
    if (owner_->Options().memory) {
      memory_ = owner_->Options().memory->Open([] {});
    }
    ReadSome();
  }

  // Reads a part of the answer at a time, so that each is accounted for.
  void ReadSome() {
    beast::flat_buffer& buffer = connection_->buffer;
    const std::size_t size =
        std::min(kMaxReadBytes, buffer.max_size() - buffer.size());
    if (size == 0) {
      EndTooLarge();
      return;
    }
    connection_->stream.async_read_some(
        buffer.prepare(size),
        [self = shared_from_this()](beast::error_code code, std::size_t bytes) {
          self->OnReadSome(code, bytes);
        });
  }

  // The library counts only bytes that it has not parsed yet against its limit
  // of header bytes, so that they are counted here.
  void OnReadSome(beast::error_code code, std::size_t bytes) {
    if (!done_) {
      return;
    }
    beast::flat_buffer& buffer = connection_->buffer;
    buffer.commit(bytes);
    if (code == asio::error::eof && parser_->got_some()) {
      code = {};
      parser_->put_eof(code);
    }
    while (buffer.size() > 0 && !parser_->is_done() && !code) {
      const bool was_header_done = parser_->is_header_done();
      const std::size_t used = parser_->put(buffer.data(), code);
      buffer.consume(used);
      header_bytes_ += was_header_done ? 0 : used;
    }
    if (code == http::error::need_more) {
      code = {};
    }
    const auto& fields = parser_->get();
    const bool is_header_too_long = !parser_->is_header_done() &&
                                    header_bytes_ > connection::kMaxBufferBytes;
    if (!code && (is_header_too_long ||
                  std::distance(fields.begin(), fields.end()) > kMaxFields)) {
      EndTooLarge();
    } else if (!code && !ChargeMemory()) {
      owner_->Counters().Add("client_answer_over_budget");
      Abort(answer_state::kUnknown);
    } else if (code || parser_->is_done()) {
      OnRead(code);
    } else {
      ReadSome();
    }
  }

  void EndTooLarge() {
    owner_->Counters().Add("client_answer_too_large");
    Abort(answer_state::kUnknown);
  }

  bool ChargeMemory() {
    const std::string& body = parser_->get().body();
    return !memory_ ||
           memory_->Resize(connection_->buffer.capacity() +
                           std::min(body.capacity(), body.size() * 2));
  }

  void OnRead(beast::error_code code) {
    if (!done_) {
      return;
    }
    if (code) {
      const bool is_too_large =
          code == http::error::body_limit || code == http::error::header_limit;
      owner_->Counters().Add(code == beast::error::timeout
                                 ? "client_read_timeout"
                             : is_too_large ? "client_answer_too_large"
                                            : "client_read_failed");
      Abort(answer_state::kUnknown);
      return;
    }
    http::response<http::string_body> message = parser_->release();
    // Bytes after the answer belong to no request, so it must not be reused.
    const bool is_reusable =
        message.keep_alive() && connection_->buffer.size() == 0;
    http_answer answer;
    answer.state = answer_state::kDone;
    answer.response.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
      std::string name(field.name_string());
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      answer.response.headers[std::move(name)] = std::string(field.value());
    }
    answer.response.body = std::move(message.body());
    if (is_reusable) {
      connection_->stream.expires_never();
      owner_->Pool().Return(address_, std::move(connection_));
    } else {
      owner_->Pool().Drop(address_, std::move(connection_));
    }
    Complete(std::move(answer));
  }

  answer_state GetUnansweredState() const {
    return is_write_started_ ? answer_state::kUnknown : answer_state::kNotDone;
  }

  // Ends the call without a complete answer and discards the connection.
  void Abort(answer_state state) {
    if (connection_) {
      connection_->stream.cancel();
    }
    Complete({state, {}});
    // Pending handlers still refer to the stream, so it is closed after them.
    asio::post(executor_, [self = shared_from_this()] {
      if (self->connection_) {
        self->owner_->Pool().Drop(self->address_, std::move(self->connection_));
      }
    });
  }

  void Complete(http_answer answer) {
    const auto done = std::move(done_);
    done_ = nullptr;
    done(std::move(answer));
  }

  std::shared_ptr<impl> owner_;
  std::string address_;
  std::chrono::steady_clock::time_point deadline_;
  std::function<void(http_answer)> done_;
  connection_ptr connection_;
  asio::any_io_executor executor_;
  http::request<http::string_body> message_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::unique_ptr<memory_budget::holder> memory_;
  std::uint64_t header_bytes_ = 0;  // Parsed, of the answer.
  bool is_write_started_ = false;
};

std::shared_ptr<http_client> http_client::Make(asio::io_context& context,
                                               http_client_options options,
                                               counter_table& counters) {
  return std::shared_ptr<http_client>(
      new http_client(std::make_shared<impl>(context, options, counters)));
}

http_client::http_client(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

http_client::~http_client() = default;

cancel_function http_client::Call(const std::string& address,
                                  http_request request,
                                  connection_choice connection,
                                  duration timeout,
                                  std::function<void(http_answer)> done) {
  const auto started =
      std::make_shared<impl::call>(impl_, address, timeout, std::move(done));
  started->Start(std::move(request), connection);
  return [weak = std::weak_ptr<impl::call>(started)] {
    if (const auto alive = weak.lock()) {
      alive->Cancel();
    }
  };
}

void http_client::Trim(const std::string& address, int keep) {
  impl_->Pool().Trim(address, keep);
}

int http_client::CountConnections(const std::string& address) const {
  return impl_->Pool().CountConnections(address);
}

int http_client::CountConnections() const {
  return impl_->Pool().CountConnections();
}

}  // namespace sassafras

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sassafras/net/http_adapters.h"
#include "sassafras/net/http_client.h"
#include "sassafras/net/http_server.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Returns a port that was free when checked; another process may take it.
int FindFreePort() {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

// A server on loopback that echoes bodies, on a dedicated thread.
class echo_server {
 public:
  explicit echo_server(http_server_options options = {})
      : port_(FindFreePort()) {
    options.address = Address();
    server_ = http_server::Make(context_, options, counters_,
                                [this](http_exchange exchange) {
                                  Handle(std::move(exchange));
                                })
                  .value();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~echo_server() {
    context_.stop();
    thread_.join();
  }
  echo_server(const echo_server&) = delete;
  echo_server& operator=(const echo_server&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  int Port() const { return port_; }
  counter_table& Counters() { return counters_; }
  http_server& Server() { return *server_; }
  std::future<void> Disconnected() { return disconnected_.get_future(); }
  std::future<http_reply> Held() { return held_.get_future(); }

 private:
  void Handle(http_exchange exchange) {
    if (exchange.request.path == "/hold") {
      exchange.on_disconnect([this] { disconnected_.set_value(); });
      held_.set_value(exchange.reply);
      return;
    }
    http_response response;
    response.body = exchange.request.body;
    exchange.reply(std::move(response));
    // A second answer must have no effect.
    exchange.reply({500, {}, "text/plain", "second"});
  }

  int port_;
  asio::io_context context_{1};
  counter_table counters_;
  std::promise<void> disconnected_;
  std::promise<http_reply> held_;
  std::shared_ptr<http_server> server_;
  std::thread thread_;
};

// A plain TCP socket to send malformed HTTP.
class raw_caller {
 public:
  explicit raw_caller(int port) : socket_(context_) {
    socket_.connect(
        {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
  }

  void Write(const std::string& text) {
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(text), ignored);
  }

  // Reads up to the end of the stream.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code ignored;
    asio::read(socket_, asio::dynamic_buffer(text), ignored);
    return text;
  }

  std::string ReadUntil(const std::string& end) {
    std::string text;
    boost::system::error_code ignored;
    asio::read_until(socket_, asio::dynamic_buffer(text), end, ignored);
    return text;
  }

  void Close() { socket_.close(); }

 private:
  asio::io_context context_;
  tcp::socket socket_;
};

// A client whose calls block until they are answered.
class blocking_client {
 public:
  blocking_client() : client_(http_client::Make(context_, {}, counters_)) {}

  http_answer Post(const std::string& address,
                   const std::string& body,
                   connection_choice choice = connection_choice::kPooled,
                   duration timeout = std::chrono::seconds(20)) {
    http_answer received;
    http_request request;
    request.method = "POST";
    request.path = "/";
    request.body = body;
    client_->Call(address, request, choice, timeout,
                  [&](http_answer answer) { received = std::move(answer); });
    context_.restart();
    context_.run();
    return received;
  }

  http_client& Client() { return *client_; }
  counter_table& Counters() { return counters_; }

 private:
  asio::io_context context_;
  counter_table counters_;
  std::shared_ptr<http_client> client_;
};

// Accepts connections and answers each request with the same bytes.
class scripted_server {
 public:
  explicit scripted_server(std::string answer)
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        answer_(std::move(answer)),
        thread_([this] { Serve(); }) {}

  ~scripted_server() {
    is_stopping_ = true;
    {
      // Unblocks the accepting thread, which reads until this socket closes.
      const raw_caller wake(acceptor_.local_endpoint().port());
    }
    thread_.join();
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve() {
    while (!is_stopping_) {
      tcp::socket socket(context_);
      acceptor_.accept(socket);
      std::string request;
      boost::system::error_code code;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", code);
      asio::write(socket, asio::buffer(answer_), code);
    }
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::string answer_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace

TEST_CASE("Malformed input does not prevent answers to other callers") {
  http_server_options options;
  options.max_body_bytes = 100;
  options.read_timeout = std::chrono::milliseconds(200);
  echo_server server(options);
  std::string expected_counter;

  SECTION("malformed HTTP is answered with error kind malformed") {
    raw_caller caller(server.Port());
    caller.Write("NONSENSE\r\n\r\n");
    CHECK(caller.ReadAll().find("\"malformed\"") != std::string::npos);
    expected_counter = "refused_malformed";
  }
  SECTION("an oversized body is answered with error kind too_large") {
    raw_caller caller(server.Port());
    caller.Write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n");
    CHECK(caller.ReadAll().find("\"too_large\"") != std::string::npos);
    expected_counter = "refused_too_large";
  }
  SECTION("a request that exceeds the read timeout is counted and closed") {
    raw_caller caller(server.Port());
    caller.Write("POST / HTTP/1.1\r\n");
    CHECK(caller.ReadAll().empty());
    expected_counter = "refused_too_slow";
  }
  SECTION("a truncated request is dropped") {
    raw_caller caller(server.Port());
    caller.Write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab");
    caller.Close();
  }

  blocking_client client;
  const http_answer answer = client.Post(server.Address(), "still here");
  CHECK(answer.state == answer_state::kDone);
  CHECK(answer.response.body == "still here");
  // Read after the second call: the server counts after it has closed the
  // connection, but before it answers the next caller on its only thread.
  if (!expected_counter.empty()) {
    CHECK(server.Counters().Get(expected_counter) == 1);
  }
}

TEST_CASE("Pipelined requests are each answered exactly once, in order") {
  echo_server server;
  raw_caller caller(server.Port());
  const std::string first =
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
  const std::string second =
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: "
      "close\r\n\r\ntwo";
  caller.Write(first + second);
  const std::string answers = caller.ReadAll();
  const std::size_t one = answers.find("\r\n\r\none");
  const std::size_t two = answers.find("\r\n\r\ntwo");
  CHECK(one != std::string::npos);
  CHECK(two != std::string::npos);
  CHECK(one < two);
  CHECK(answers.find("second") == std::string::npos);
}

TEST_CASE("A disconnect is detected while the request is in progress") {
  echo_server server;
  auto disconnected = server.Disconnected();
  auto held = server.Held();
  raw_caller caller(server.Port());
  caller.Write("GET /hold HTTP/1.1\r\nhost: a\r\n\r\n");
  const http_reply reply = held.get();
  caller.Close();
  disconnected.get();
  reply({});  // Has no effect after the disconnect, and must not crash.
}

TEST_CASE("A drain closes idle connections and completes requests in flight") {
  echo_server server;
  auto held = server.Held();
  raw_caller idle(server.Port());
  raw_caller busy(server.Port());
  idle.Write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab");
  CHECK(idle.ReadUntil("ab").find("ab") != std::string::npos);
  busy.Write("GET /hold HTTP/1.1\r\nhost: a\r\n\r\n");
  const http_reply reply = held.get();

  server.Server().Drain();
  CHECK(idle.ReadAll().empty());
  reply({200, {}, "text/plain", "whole"});
  CHECK(busy.ReadAll().find("whole") != std::string::npos);
}

TEST_CASE("A call without a complete answer reports whether it may have run") {
  blocking_client client;
  SECTION("connection refused: kNotDone, since no byte was sent") {
    const std::string address = "127.0.0.1:" + std::to_string(FindFreePort());
    CHECK(client.Post(address, "a").state == answer_state::kNotDone);
    CHECK(client.Counters().Get("client_connect_failed") == 1);
  }
  SECTION("the connection closes after the request: kUnknown") {
    scripted_server server("");
    CHECK(client.Post(server.Address(), "a").state == answer_state::kUnknown);
  }
  SECTION("a truncated answer: kUnknown") {
    scripted_server server("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    CHECK(client.Post(server.Address(), "a").state == answer_state::kUnknown);
  }
  SECTION("an answer that is not valid HTTP: kUnknown") {
    scripted_server server("garbage\r\n\r\n");
    CHECK(client.Post(server.Address(), "a").state == answer_state::kUnknown);
  }
  SECTION("no answer within the timeout: kUnknown") {
    echo_server server;
    http_request request;
    request.method = "GET";
    request.path = "/hold";
    asio::io_context context;
    counter_table counters;
    const auto other = http_client::Make(context, {}, counters);
    answer_state state = answer_state::kDone;
    other->Call(server.Address(), request, connection_choice::kFresh,
                std::chrono::milliseconds(50),
                [&](const http_answer& answer) { state = answer.state; });
    context.run();
    CHECK(state == answer_state::kUnknown);
    CHECK(counters.Get("client_read_timeout") == 1);
  }
}

TEST_CASE("A connection with extra bytes after the answer is not reused") {
  scripted_server server(
      "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
      "content-length: 5\r\n\r\nother");
  blocking_client client;
  const http_answer answer = client.Post(server.Address(), "a");
  CHECK(answer.state == answer_state::kDone);
  CHECK(answer.response.body == "ok");
  CHECK(client.Client().CountConnections(server.Address()) == 0);
}

TEST_CASE("Pooled connections are reused, bypassed on request, and trimmed") {
  echo_server server;
  blocking_client client;
  CHECK(client.Post(server.Address(), "one").state == answer_state::kDone);
  CHECK(client.Client().CountConnections(server.Address()) == 1);
  SECTION("an open idle connection is reused") {
    CHECK(client.Post(server.Address(), "two").response.body == "two");
    CHECK(client.Client().CountConnections(server.Address()) == 1);
  }
  SECTION("kFresh opens a new connection") {
    CHECK(client.Post(server.Address(), "two", connection_choice::kFresh)
              .response.body == "two");
    CHECK(client.Client().CountConnections(server.Address()) == 2);
  }
  SECTION("Trim closes idle connections") {
    client.Client().Trim(server.Address(), 0);
    CHECK(client.Client().CountConnections(server.Address()) == 0);
  }
}

TEST_CASE("Open outgoing connections do not exceed max_connections") {
  asio::io_context context;
  counter_table counters;
  http_client_options options;
  options.max_connections = 2;
  const auto client = http_client::Make(context, options, counters);
  echo_server first;
  echo_server second;
  echo_server third;
  const auto start_call = [&](const std::string& address,
                              const std::string& path) {
    auto state = std::make_shared<answer_state>(answer_state::kUnknown);
    http_request request;
    request.method = "POST";
    request.path = path;
    request.body = "x";
    client->Call(address, std::move(request), connection_choice::kPooled,
                 std::chrono::seconds(2),
                 [state](const http_answer& answer) { *state = answer.state; });
    return state;
  };
  const auto run = [&] {
    context.restart();
    context.run();
  };
  CHECK(*[&] {
    auto state = start_call(first.Address(), "/echo");
    run();
    return state;
  }() == answer_state::kDone);
  const auto other = start_call(second.Address(), "/echo");
  run();
  REQUIRE(*other == answer_state::kDone);
  CHECK(client->CountConnections() == 2);

  SECTION("the least recently used idle connection is closed") {
    const auto next = start_call(third.Address(), "/echo");
    run();
    CHECK(*next == answer_state::kDone);
    CHECK(client->CountConnections() == 2);
    CHECK(client->CountConnections(first.Address()) == 0);
    CHECK(client->CountConnections(second.Address()) == 1);
  }
  SECTION("without an idle connection, a call fails with kNotDone at once") {
    const auto held = start_call(first.Address(), "/hold");
    const auto also_held = start_call(second.Address(), "/hold");
    const auto refused = start_call(third.Address(), "/echo");
    auto first_reply = first.Held();
    auto second_reply = second.Held();
    context.restart();
    while (*refused == answer_state::kUnknown) {
      context.run_one();
    }
    CHECK(*refused == answer_state::kNotDone);
    CHECK(client->CountConnections() == 2);
    first_reply.get()({});
    second_reply.get()({});
    run();
    CHECK(*held == answer_state::kDone);
    CHECK(*also_held == answer_state::kDone);

    SECTION("the next call succeeds after a connection is returned") {
      const auto next = start_call(third.Address(), "/echo");
      run();
      CHECK(*next == answer_state::kDone);
    }
  }
}

TEST_CASE("Idle connections to all addresses do not exceed max_idle") {
  asio::io_context context;
  counter_table counters;
  http_client_options options;
  options.max_idle = 1;
  const auto client = http_client::Make(context, options, counters);
  echo_server first;
  echo_server second;
  for (const echo_server* server : {&first, &second}) {
    http_request request;
    request.method = "POST";
    request.path = "/echo";
    client->Call(server->Address(), std::move(request),
                 connection_choice::kPooled, std::chrono::seconds(2),
                 [](const http_answer& answer) {
                   CHECK(answer.state == answer_state::kDone);
                 });
    context.restart();
    context.run();
  }
  CHECK(client->CountConnections() == 1);
  CHECK(client->CountConnections(second.Address()) == 1);
}

// Holds all descriptors that the process may open until it is destroyed.
class descriptor_exhauster {
 public:
  descriptor_exhauster() {
    for (int taken = ::dup(0); taken >= 0; taken = ::dup(0)) {
      taken_.push_back(taken);
    }
  }
  ~descriptor_exhauster() {
    for (const int taken : taken_) {
      ::close(taken);
    }
  }
  descriptor_exhauster(const descriptor_exhauster&) = delete;
  descriptor_exhauster& operator=(const descriptor_exhauster&) = delete;

  void ReleaseOne() {
    ::close(taken_.back());
    taken_.pop_back();
  }

 private:
  std::vector<int> taken_;
};

// Returns this process's socket that listens on `port`, or -1.
int FindListener(int port) {
  constexpr int kMaxDescriptors = 1024;
  for (int fd = 3; fd < kMaxDescriptors; ++fd) {
    int listens = 0;
    socklen_t length = sizeof(listens);
    sockaddr_in address{};
    socklen_t address_length = sizeof(address);
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) == 0 &&
        listens != 0 &&
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address),
                      &address_length) == 0 &&
        ntohs(address.sin_port) == port) {
      return fd;
    }
  }
  return -1;
}

// Returns a socket connected to `port` on loopback, or -1.
int ConnectTo(int port) {
  const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_connected =
      caller >= 0 && ::connect(caller, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address)) == 0;
  return is_connected ? caller : -1;
}

// Returns true if the server answers a request on `caller` with 200.
bool IsServed(int caller) {
  const std::string request =
      "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok";
  if (::send(caller, request.data(), request.size(), 0) !=
      static_cast<ssize_t>(request.size())) {
    return false;
  }
  std::array<char, 64> answer{};
  return ::recv(caller, answer.data(), answer.size() - 1, 0) > 0 &&
         std::string(answer.data()).find("200") != std::string::npos;
}

TEST_CASE("A failed accept neither stops the server nor causes a busy loop") {
  constexpr auto kObservationTime = std::chrono::milliseconds(300);
  echo_server server;

  SECTION("the listening socket is shut down") {
    const int listener = FindListener(server.Port());
    REQUIRE(listener >= 0);
    REQUIRE(::shutdown(listener, SHUT_RDWR) == 0);
    std::this_thread::sleep_for(kObservationTime);
    // One attempt per 50 ms.
    CHECK(server.Counters().Get("accept_failed") >= 1);
    CHECK(server.Counters().Get("accept_failed") <= 10);

    SECTION("the server answers after the socket listens again") {
      REQUIRE(::listen(listener, SOMAXCONN) == 0);
      const int caller = ConnectTo(server.Port());
      REQUIRE(caller >= 0);
      CHECK(IsServed(caller));
      ::close(caller);
    }
  }
// UBSan, which is enabled together with ASan, opens a pipe to inspect an object
// and reports each object as invalid if there are no free descriptors.
#if !defined(__SANITIZE_ADDRESS__)
  SECTION("no descriptor is free") {
    int caller = -1;
    std::uint64_t failures = 0;
    {
      descriptor_exhauster exhauster;
      exhauster.ReleaseOne();
      // The caller's socket uses the last descriptor; its connection waits in
      // the listen backlog.
      caller = ConnectTo(server.Port());
      std::this_thread::sleep_for(kObservationTime);
      failures = server.Counters().Get("accept_failed");
    }
    REQUIRE(caller >= 0);
    CHECK(failures >= 1);
    CHECK(failures <= 10);

    SECTION("the server answers after descriptors are released") {
      CHECK(IsServed(caller));
    }
    ::close(caller);
  }
#endif
}

// Guards against an answer of a broken store or minion that fills the memory.
TEST_CASE("An answer beyond the limits ends its call") {
  asio::io_context context;
  counter_table counters;
  http_client_options options;
  options.max_body_bytes = 100'000;
  options.memory = memory_budget::Make(1 << 20);
  const auto call = [&](const std::string& answer_text) {
    const auto client = http_client::Make(context, options, counters);
    scripted_server server(answer_text);
    http_answer received;
    client->Call(server.Address(), {"GET", "/", {}, ""},
                 connection_choice::kPooled, std::chrono::seconds(20),
                 [&](http_answer answer) { received = std::move(answer); });
    context.restart();
    context.run();
    return received.state;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  SECTION("trailers without end") {
    std::string trailers;
    for (int i = 0; i < 10'000; ++i) {
      trailers += "field: value\r\n";
    }
    CHECK(call(chunked + "0\r\n" + trailers) == answer_state::kUnknown);
    CHECK(counters.Get("client_answer_too_large") == 1);
  }
  SECTION("header fields without end") {
    std::string fields = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 10'000; ++i) {
      fields += "field: value\r\n";
    }
    CHECK(call(fields) == answer_state::kUnknown);
    CHECK(counters.Get("client_answer_too_large") == 1);
  }
  SECTION("a body over the limit") {
    CHECK(call("HTTP/1.1 200 OK\r\ncontent-length: 100001\r\n\r\n") ==
          answer_state::kUnknown);
    CHECK(counters.Get("client_answer_too_large") == 1);
  }
  SECTION("a body within the limit for which the process has no memory") {
    options.memory = memory_budget::Make(60'000);
    CHECK(call("HTTP/1.1 200 OK\r\ncontent-length: 90000\r\n\r\n" +
               std::string(90'000, 'x')) == answer_state::kUnknown);
    CHECK(counters.Get("client_answer_over_budget") == 1);
  }
  CHECK(options.memory->Used() == 0);
}

TEST_CASE("The table port distinguishes lost answers from refused commits") {
  asio::io_context context;
  counter_table counters;
  const auto client = http_client::Make(context, {}, counters);
  const auto commit = [&](const std::string& address) {
    commit_answer received;
    MakeHttpTablePort(client, {{address}})
        .commit({{"a/b", 0, "v"}},
                [&](commit_answer answer) { received = std::move(answer); });
    context.restart();
    context.run();
    return received;
  };
  SECTION("connection refused: kNotDone") {
    const commit_answer answer =
        commit("127.0.0.1:" + std::to_string(FindFreePort()));
    CHECK(answer.state == answer_state::kNotDone);
    CHECK(answer.reason == error_kind::kStoreUnavailable);
  }
  SECTION("the connection closes without an answer: kUnknown") {
    scripted_server server("");
    CHECK(commit(server.Address()).state == answer_state::kUnknown);
  }
  SECTION("a malformed answer: kUnknown") {
    scripted_server server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    CHECK(commit(server.Address()).state == answer_state::kUnknown);
  }
  SECTION("a conflict returns the current rows") {
    const std::string body =
        R"({"rows":[{"key":"a/b","value":"w","version":7}]})";
    scripted_server server("HTTP/1.1 409 Conflict\r\ncontent-length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
    const commit_answer answer = commit(server.Address());
    CHECK(answer.state == answer_state::kNotDone);
    CHECK(answer.reason == error_kind::kConflict);
    REQUIRE(answer.rows.size() == 1);
    CHECK(answer.rows.front().version == 7);
  }
}

}  // namespace sassafras

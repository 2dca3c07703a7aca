#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "programs/gateway/request_service.h"
#include "programs/shell/node.h"
#include "programs/standin/minion_service.h"
#include "programs/standin/platform_store.h"
#include "sassafras/config/config_parse.h"
#include "sassafras/core/digest.h"
#include "sassafras/net/json_codec.h"

// Runs a complete multi-threaded gateway over real sockets. CI also runs this
// file under the thread sanitizer.

namespace sassafras {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::string FreeAddress() {
  asio::io_context context;
  const tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// A fake platform and one minion on a separate thread.
class test_environment {
 public:
  test_environment() : minion_(context_) {
    Listen(platform_address, [this](http_exchange exchange) {
      if (exchange.request.path == "/vms") {
        exchange.reply({200, {}, "application/json", EncodeVmList({})});
        return;
      }
      exchange.reply(store_.Handle(exchange.request, Now(), duration(0)));
    });
    Listen(minion_address, [this](http_exchange exchange) {
      minion_.Handle(std::move(exchange), {});
    });
    Publish();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~test_environment() {
    context_.stop();
    thread_.join();
  }
  test_environment(const test_environment&) = delete;
  test_environment& operator=(const test_environment&) = delete;

  const std::string platform_address = FreeAddress();
  const std::string minion_address = FreeAddress();

  // Not synchronized: call only after the gateway has stopped.
  int Executions(const std::string& key) const {
    const auto it = minion_.Executions().find(key);
    return it == minion_.Executions().end() ? 0 : it->second;
  }

 private:
  void Listen(const std::string& address, http_server::handler handle) {
    http_server_options options;
    options.address = address;
    servers_.push_back(
        http_server::Make(context_, options, counters_, std::move(handle))
            .value());
  }

  void Publish() {
    const std::string text =
        "places: [{name: lahore, region: pk-central}]\n"
        "targets:\n"
        "  - name: heater-lab\n"
        "    minions: [{name: m1, address: \"" +
        minion_address +
        "\", place: lahore, slots: 8, connections: 64}]\n"
        "teams:\n"
        "  - {name: dealers, tokens: [{role: caller, sha256: " +
        Sha256Hex("secret") +
        "}]}\n"
        "classes:\n"
        "  - {name: check, kind: request, urgency: urgent, target: heater-lab, "
        "timeout: 20s}\n"
        "  - {name: reset, kind: request, urgency: normal, idempotent: false, "
        "target: heater-lab, timeout: 20s}\n";
    const std::string content = EncodeSources({{"a.yaml", text}});
    const config_row row{1, "config-1", Sha256Hex(content), "token"};
    Put("/object/config-1", "PUT", content);
    Put("/table/commit", "POST",
        EncodeTransaction(
            {{std::string(kConfigRowKey), 0, EncodeConfigRow(row)}}));
  }

  void Put(const std::string& path,
           const std::string& method,
           const std::string& body) {
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    store_.Handle(request, Now(), duration(0));
  }

  asio::io_context context_{1};
  counter_table counters_;
  platform_store store_;
  minion_service minion_;
  std::vector<std::shared_ptr<http_server>> servers_;
  std::thread thread_;
};

// Runs a gateway on a thread of the test process.
class gateway_process {
 public:
  explicit gateway_process(const test_environment& environment)
      : process_(Settings(environment)), requests_(process_) {
    node::hooks hooks;
    hooks.handle = [this](http_exchange exchange) {
      const std::string path = exchange.request.path;
      requests_.Handle(std::move(exchange), path.substr(path.rfind('/') + 1));
    };
    hooks.on_config = [this](const config_ptr& config) {
      requests_.OnConfig(config);
    };
    hooks.on_peer_message = [this](const std::string& kind,
                                   const std::string& body) {
      requests_.OnPeerMessage(kind, body);
    };
    hooks.on_stop = [this](std::function<void()> drained) {
      requests_.Stop(std::move(drained));
    };
    thread_ =
        std::thread([this, hooks = std::move(hooks)] { process_.Run(hooks); });
  }

  ~gateway_process() { Join(); }
  gateway_process(const gateway_process&) = delete;
  gateway_process& operator=(const gateway_process&) = delete;

  // Requests a graceful stop, as an operator does.
  void RequestStop() { process_.RequestStop(); }

  void Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  const std::string& Address() const { return process_.Settings().listen; }
  counter_table& Counters() { return process_.Counters(); }

 private:
  static process_settings Settings(const test_environment& environment) {
    process_settings settings;
    settings.cluster = "test";
    settings.id.value = "gateway-1";
    settings.place.value = "lahore";
    settings.listen = FreeAddress();
    settings.peer_listen = FreeAddress();
    settings.platform = {environment.platform_address};
    settings.threads = 4;
    settings.config_poll = std::chrono::milliseconds(100);
    return settings;
  }

  node process_;
  request_service requests_;
  std::thread thread_;
};

// Sends requests and receives their answers on one thread.
class test_client {
 public:
  explicit test_client(std::string address)
      : address_(std::move(address)),
        client_(http_client::Make(context_, {}, counters_)) {}

  void Post(const std::string& path,
            const std::string& key,
            const std::string& body,
            std::function<void(const http_answer&)> done) {
    http_request request;
    request.method = "POST";
    request.path = path;
    request.headers["authorization"] = "Bearer secret";
    request.headers["idempotency-key"] = key;
    request.body = body;
    client_->Call(address_, std::move(request), connection_choice::kPooled,
                  std::chrono::seconds(60), std::move(done));
  }

  void RunAll() {
    context_.restart();
    context_.run();
  }

  void WaitUntilReady() {
    bool is_ready = false;
    while (!is_ready) {
      http_request request;
      request.method = "GET";
      request.path = "/readyz";
      client_->Call(address_, std::move(request), connection_choice::kFresh,
                    std::chrono::seconds(60), [&](const http_answer& answer) {
                      is_ready = answer.state == answer_state::kDone &&
                                 answer.response.status == 200;
                    });
      RunAll();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

 private:
  std::string address_;
  asio::io_context context_;
  counter_table counters_;
  std::shared_ptr<http_client> client_;
};

std::string Body(int number) {
  return R"({"work_ms":5,"number":)" + std::to_string(number) + "}";
}

}  // namespace

TEST_CASE(
    "A stopping gateway answers every open request completely and cuts none "
    "off") {
  constexpr int kRequests = 200;
  test_environment environment;
  gateway_process gateway(environment);
  test_client client(gateway.Address());
  client.WaitUntilReady();

  int complete = 0;
  int refused = 0;
  bool is_stopping = false;
  std::string first_unexpected_answer;
  for (int i = 0; i < kRequests; ++i) {
    const std::string path =
        i % 4 == 0 ? "/v1/requests/reset" : "/v1/requests/check";
    client.Post(path, "key-" + std::to_string(i), Body(i),
                [&, i](const http_answer& answer) {
                  const std::string& body = answer.response.body;
                  if (body.find("\"stopping\"") != std::string::npos) {
                    ++refused;
                  } else if (answer.state == answer_state::kDone &&
                             answer.response.status == 200 && body == Body(i)) {
                    ++complete;
                  } else if (first_unexpected_answer.empty()) {
                    first_unexpected_answer =
                        std::string(GetName(answer.state)) + body;
                  }
                  // Stop while most requests are in flight.
                  if (!is_stopping) {
                    is_stopping = true;
                    gateway.RequestStop();
                  }
                });
  }
  client.RunAll();
  gateway.Join();

  INFO(first_unexpected_answer);
  // Requests that arrive after the stop began are refused as stopping; every
  // request is answered.
  CHECK(complete + refused == kRequests);
  CHECK(complete > 0);
  CHECK(gateway.Counters().Get("stop_cut_requests") == 0);
  CHECK(gateway.Counters().Get("stop_deadline_passed") == 0);
  for (int i = 0; i < kRequests; i += 4) {
    CHECK(environment.Executions("key-" + std::to_string(i)) <= 1);
  }
}

TEST_CASE(
    "A key submitted again while its first request is in flight runs once") {
  test_environment environment;
  gateway_process gateway(environment);
  test_client client(gateway.Address());
  client.WaitUntilReady();

  int matching = 0;
  for (int i = 0; i < 8; ++i) {
    client.Post("/v1/requests/reset", "one-key", Body(7),
                [&](const http_answer& answer) {
                  if (answer.response.status == 200 &&
                      answer.response.body == Body(7)) {
                    ++matching;
                  }
                });
  }
  client.RunAll();
  gateway.RequestStop();
  gateway.Join();
  CHECK(matching == 8);
  CHECK(environment.Executions("one-key") == 1);
}

}  // namespace sassafras

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "programs/shell/node.h"
#include "programs/standin/fault_switch.h"
#include "programs/standin/minion_service.h"
#include "programs/standin/platform_store.h"
#include "programs/standin/worker_tasks.h"
#include "sassafras/net/json_codec.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;

constexpr int kUsageError = 2;

// What the command line asks for. Ports count up from the first; 0 members
// are not started.
struct standin_options {
  int platform_port = 0;
  int first_worker_port = 0;
  int workers = 0;
  std::string worker_prefix;
  int first_minion_port = 0;
  int minions = 0;
  std::string minion_prefix;
  std::uint64_t seed = 1;
};

std::string LocalAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// All services of one stand-in process, on one thread.
class standin {
 public:
  explicit standin(const standin_options& options) : random_(options.seed) {
    if (options.platform_port > 0) {
      AddPlatform(options.platform_port);
    }
    for (int i = 0; i < options.workers; ++i) {
      AddWorker(options.worker_prefix + std::to_string(i + 1),
                options.first_worker_port + i);
    }
    for (int i = 0; i < options.minions; ++i) {
      AddMinion(options.minion_prefix + std::to_string(i + 1),
                options.first_minion_port + i);
    }
  }

  int Run() {
    asio::signal_set signals(context_, SIGTERM, SIGINT);
    signals.async_wait(
        [this](const boost::system::error_code&, int) { context_.stop(); });
    if (!is_listening_) {
      return 1;
    }
    context_.run();
    return 0;
  }

 private:
  using act_function = std::function<void(http_exchange, fault_switch&)>;

  void AddPlatform(int port) {
    Listen(
        "platform", port, [this](http_exchange exchange, fault_switch& faults) {
          if (exchange.request.path == "/vms") {
            exchange.reply(
                {200, {}, "application/json", EncodeVmList(VmList())});
            return;
          }
          if (exchange.request.path == "/operations") {
            exchange.reply({200,
                            {},
                            "application/json",
                            nlohmann::json(store_.Operations()).dump()});
            return;
          }
          const http_request request = std::move(exchange.request);
          ServeWithFaults(context_, faults, random_, std::move(exchange), [&] {
            return store_.Handle(request, Now(),
                                 std::chrono::milliseconds(faults.read_lag_ms));
          });
        });
  }

  void AddWorker(const std::string& name, int port) {
    const auto tasks = std::make_shared<worker_tasks>();
    Listen(name, port,
           [this, tasks](http_exchange exchange, fault_switch& faults) {
             if (exchange.request.path == "/executions") {
               exchange.reply({200,
                               {},
                               "application/json",
                               nlohmann::json(tasks->Executions()).dump()});
               return;
             }
             if (exchange.request.path == "/reboot") {
               tasks->Reboot();
               exchange.reply({});
               return;
             }
             if (faults.dead) {
               tasks->Reboot();
             }
             const http_request request = std::move(exchange.request);
             ServeWithFaults(
                 context_, faults, random_, std::move(exchange), [&] {
                   return tasks->Handle(request, Now(), faults.fail_all);
                 });
           });
  }

  void AddMinion(const std::string& name, int port) {
    const auto service = std::make_shared<minion_service>(context_);
    Listen(name, port, [service](http_exchange exchange, fault_switch& faults) {
      if (exchange.request.path == "/executions") {
        const nlohmann::json body = {{"executions", service->Executions()},
                                     {"most_in_work", service->MostInWork()}};
        exchange.reply({200, {}, "application/json", body.dump()});
        return;
      }
      service->Handle(std::move(exchange), faults);
    });
  }

  // Serves `act` on a port; POST /fault changes the service's faults.
  void Listen(const std::string& name, int port, act_function act) {
    const auto faults = std::make_shared<fault_switch>();
    if (name != "platform") {
      services_.push_back({name, LocalAddress(port), faults});
    }
    http_server_options options;
    options.address = LocalAddress(port);
    options.max_body_bytes = 64U << 20U;
    auto server = http_server::Make(
        context_, options, counters_,
        [faults, act = std::move(act)](http_exchange exchange) {
          if (exchange.request.path != "/fault") {
            act(std::move(exchange), *faults);
            return;
          }
          const auto parsed = ParseFaults(exchange.request.body);
          if (!parsed) {
            exchange.reply(ErrorResponse(parsed.error()));
            return;
          }
          *faults = parsed.value();
          exchange.reply({});
        });
    if (!server) {
      std::cerr << server.error().detail << '\n';
      is_listening_ = false;
      return;
    }
    servers_.push_back(server.value());
  }

  std::vector<vm_entry> VmList() const {
    std::vector<vm_entry> entries;
    for (const service& item : services_) {
      entries.push_back({item.name, item.address, item.faults->listed_leaving});
    }
    return entries;
  }

  struct service {
    std::string name;
    std::string address;
    std::shared_ptr<fault_switch> faults;
  };

  asio::io_context context_;
  counter_table counters_;
  random_engine random_;
  platform_store store_;
  std::vector<service> services_;
  std::vector<std::shared_ptr<http_server>> servers_;
  bool is_listening_ = true;
};

int Main(int argc, const char* const* argv) {
  standin_options wanted;
  po::options_description options("sassafras-standin: test services\nOptions");
  options.add_options()("help", "print this text")(
      "version", "print the version")("platform-port",
                                      po::value(&wanted.platform_port))(
      "worker-port", po::value(&wanted.first_worker_port))(
      "workers", po::value(&wanted.workers))(
      "worker-prefix",
      po::value(&wanted.worker_prefix)->default_value("worker-"))(
      "minion-port", po::value(&wanted.first_minion_port))(
      "minions", po::value(&wanted.minions))(
      "minion-prefix",
      po::value(&wanted.minion_prefix)->default_value("minion-"))(
      "seed", po::value(&wanted.seed));
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << failure.what() << '\n' << options;
    return kUsageError;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "sassafras-standin " << SASSAFRAS_VERSION << '\n';
    return 0;
  }
  return standin(wanted).Run();
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}

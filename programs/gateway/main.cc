#include "programs/gateway/job_api.h"
#include "programs/gateway/request_service.h"
#include "programs/shell/command_line.h"
#include "programs/shell/node.h"

namespace sassafras {
namespace {

constexpr std::string_view kRequestPrefix = "/v1/requests/";
constexpr std::string_view kJobPrefix = "/v1/jobs";

void Route(request_service& requests, job_api& jobs, http_exchange exchange) {
  const std::string path = exchange.request.path;
  if (path.rfind(kRequestPrefix, 0) == 0) {
    requests.Handle(std::move(exchange), path.substr(kRequestPrefix.size()));
    return;
  }
  if (path.rfind(kJobPrefix, 0) == 0) {
    jobs.Handle(std::move(exchange));
    return;
  }
  exchange.reply(ErrorResponse(Fail(error_kind::kNotFound, path)));
}

int Main(int argc, const char* const* argv) {
  loaded_process_settings loaded = ReadCommandLine(
      argc, argv, "sassafras-gateway", "serves callers' requests and jobs");
  if (!loaded.settings) {
    return loaded.exit_code;
  }
  node process(std::move(*loaded.settings));
  request_service requests(process);
  job_api jobs(process);
  node::hooks hooks;
  hooks.handle = [&](http_exchange exchange) {
    Route(requests, jobs, std::move(exchange));
  };
  hooks.on_config = [&](const config_ptr& config) {
    requests.OnConfig(config);
    jobs.OnConfig(config);
  };
  hooks.on_peer_message = [&](const std::string& kind,
                              const std::string& body) {
    requests.OnPeerMessage(kind, body);
    jobs.OnPeerMessage(kind, body);
  };
  hooks.on_stop = [&](const std::function<void()>& drained) {
    requests.Stop([&jobs, drained] { jobs.Stop(drained); });
  };
  return process.Run(std::move(hooks));
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "programs/ctl/config_publish.h"

namespace sassafras {
namespace {

struct process_status {
  std::string address;
  std::string process;
  std::uint64_t config_version = 0;
  std::size_t members = 0;
  bool has_answered = false;
};

process_status ReadStatus(blocking_ports& ports,
                          const std::string& address,
                          const std::string& token) {
  process_status status;
  status.address = address;
  http_request request;
  request.method = "GET";
  request.path = "/v1/status";
  request.headers["authorization"] = "Bearer " + token;
  const http_answer answer = ports.Call(address, std::move(request));
  const auto body = nlohmann::json::parse(answer.response.body, nullptr, false);
  if (answer.state != answer_state::kDone || !body.is_object()) {
    return status;
  }
  status.has_answered = true;
  status.process = body.value("process", "");
  status.config_version = body.value("config_version", std::uint64_t{0});
  status.members = body.value("members", nlohmann::json::array()).size();
  return status;
}

int PrintCounters(const ctl_options& options) {
  blocking_ports ports(options.platform);
  for (const std::string& address : options.gateways) {
    http_request request;
    request.method = "GET";
    request.path = "/metrics";
    const http_answer answer = ports.Call(address, std::move(request));
    std::cout << "# " << address
              << (answer.state == answer_state::kDone ? "" : " no answer")
              << '\n'
              << answer.response.body;
  }
  return kExitOk;
}

}  // namespace

int PrintProcessStatus(const ctl_options& options) {
  blocking_ports ports(options.platform);
  std::vector<process_status> statuses;
  std::uint64_t highest = 0;
  for (const std::string& address : options.gateways) {
    statuses.push_back(ReadStatus(ports, address, options.token));
    highest = std::max(highest, statuses.back().config_version);
  }
  bool is_up_to_date = !statuses.empty();
  for (const process_status& status : statuses) {
    std::cout << status.address << ' ';
    if (!status.has_answered) {
      std::cout << "no answer\n";
      is_up_to_date = false;
      continue;
    }
    const bool is_behind = status.config_version < highest;
    std::cout << status.process << " version " << status.config_version
              << (is_behind ? " behind" : "") << ", sees " << status.members
              << " processes\n";
    is_up_to_date = is_up_to_date && !is_behind;
  }
  return is_up_to_date ? kExitOk : kExitRefused;
}

std::vector<ctl_command> ConfigStatusCommands() {
  return {{"counters", ": prints the counters of each process", PrintCounters}};
}

}  // namespace sassafras

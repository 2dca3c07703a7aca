#include <iostream>
#include <nlohmann/json.hpp>

#include "programs/ctl/blocking_ports.h"
#include "programs/ctl/commands.h"

namespace sassafras {
namespace {

using nlohmann::json;

constexpr int kFirstErrorStatus = 400;
constexpr std::string_view kJobsPath = "/v1/jobs";

// Returns the string member `name` of `body`, or empty if it has none.
std::string GetString(const json& body, const char* name) {
  const auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

// Sends `request` to the gateways in order until one gives a complete answer.
// Retries are safe because every request is idempotent: a submission by its
// key, the others by their effect.
http_answer CallGateways(const ctl_options& options,
                         const http_request& request) {
  blocking_ports ports(options.platform);
  http_answer answer;
  for (const std::string& gateway : options.gateways) {
    answer = ports.Call(gateway, request);
    if (answer.state == answer_state::kDone) {
      return answer;
    }
  }
  return answer;
}

http_request MakeRequest(const ctl_options& options,
                         const std::string& method,
                         const std::string& path) {
  http_request request;
  request.method = method;
  request.path = path;
  request.headers["authorization"] = "Bearer " + options.token;
  return request;
}

// Returns one sentence on the state of the job in `body`.
std::string DescribeJob(const json& body) {
  const std::string state = GetString(body, "state");
  std::string text = "job " + GetString(body, "job") + " ";
  if (state == "ended") {
    return text + "ended with outcome " + GetString(body, "outcome") +
           " (work: " + GetString(body, "run") +
           "): " + GetString(body, "reason");
  }
  if (body.value("cancel_requested", false)) {
    return text + "is being cancelled (" + state + ")";
  }
  return text + "is " + state + ": " + GetString(body, "reason");
}

// Prints the job or the error in `answer`. Returns the exit code.
int PrintAnswer(const http_answer& answer) {
  if (answer.state != answer_state::kDone) {
    std::cerr << "no gateway gave a complete answer\n";
    return answer.state == answer_state::kUnknown ? kExitUnknown : kExitRefused;
  }
  const json body = json::parse(answer.response.body, nullptr, false);
  if (answer.response.status < kFirstErrorStatus && body.is_object()) {
    std::cout << DescribeJob(body) << '\n';
    return kExitOk;
  }
  if (!body.is_object()) {
    std::cerr << "the gateway's answer is not a JSON object\n";
    return kExitUnknown;
  }
  std::cerr << GetString(body, "error") << ": " << GetString(body, "text")
            << ' ' << GetString(body, "detail") << '\n';
  return GetString(body, "outcome") == "unknown" ? kExitUnknown : kExitRefused;
}

// Returns whether there are `min_count` to `max_count` arguments and at least
// one gateway. Prints an error to standard error if not.
bool CheckArguments(const ctl_options& options,
                    std::size_t min_count,
                    std::size_t max_count) {
  const std::size_t count = options.arguments.size();
  if (count < min_count || count > max_count) {
    std::cerr << "wrong number of arguments; see --help\n";
    return false;
  }
  if (options.gateways.empty()) {
    std::cerr << "missing option: --gateway\n";
    return false;
  }
  return true;
}

int Submit(const ctl_options& options) {
  constexpr std::size_t kMinArguments = 4;
  constexpr std::size_t kMaxArguments = 5;
  if (!CheckArguments(options, kMinArguments, kMaxArguments)) {
    return kExitUsage;
  }
  const auto& arguments = options.arguments;
  http_request request = MakeRequest(options, "POST", std::string(kJobsPath));
  request.headers["idempotency-key"] = arguments[0];
  request.body =
      json{{"class", arguments[1]},
           {"shape", arguments[2]},
           {"run", arguments[3]},
           {"payload", arguments.size() == kMaxArguments ? arguments[4] : ""}}
          .dump();
  return PrintAnswer(CallGateways(options, request));
}

int Cancel(const ctl_options& options) {
  if (!CheckArguments(options, 1, 1)) {
    return kExitUsage;
  }
  return PrintAnswer(
      CallGateways(options, MakeRequest(options, "POST",
                                        std::string(kJobsPath) + "/" +
                                            options.arguments[0] + "/cancel")));
}

}  // namespace

int PrintJobStatus(const ctl_options& options) {
  if (!CheckArguments(options, 1, 1)) {
    return kExitUsage;
  }
  return PrintAnswer(CallGateways(
      options,
      MakeRequest(options, "GET",
                  std::string(kJobsPath) + "/" + options.arguments[0])));
}

std::vector<ctl_command> JobCommands() {
  return {{"submit", "KEY CLASS SHAPE RUN [PAYLOAD]: submits a job", Submit},
          {"cancel", "JOB: cancels a job", Cancel}};
}

}  // namespace sassafras

#include <iostream>
#include <nlohmann/json.hpp>

#include "programs/ctl/blocking_ports.h"
#include "programs/ctl/commands.h"

namespace sassafras {
namespace {

using nlohmann::json;

constexpr int kFirstError = 400;
constexpr std::string_view kJobs = "/v1/jobs";

std::string TextOf(const json& body, const char* name) {
  const auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

// Sends the request to the gateways in turn until one gives a whole answer. A
// request may be sent again, because its key or its nature makes it
// idempotent.
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

// One sentence about a job.
std::string Sentence(const json& body) {
  const std::string state = TextOf(body, "state");
  std::string text = "job " + TextOf(body, "job") + " ";
  if (state == "ended") {
    return text + "ended with outcome " + TextOf(body, "outcome") +
           " (work: " + TextOf(body, "run") + "): " + TextOf(body, "reason");
  }
  if (body.value("cancel_requested", false)) {
    return text + "is being cancelled (" + state + ")";
  }
  return text + "is " + state + ": " + TextOf(body, "reason");
}

int Print(const http_answer& answer) {
  if (answer.state != answer_state::kDone) {
    std::cerr << "no gateway gave a whole answer\n";
    return answer.state == answer_state::kUnknown ? kExitUnknown : kExitRefused;
  }
  const json body = json::parse(answer.response.body, nullptr, false);
  if (answer.response.status < kFirstError && body.is_object()) {
    std::cout << Sentence(body) << '\n';
    return kExitOk;
  }
  if (!body.is_object()) {
    std::cerr << "the answer is malformed\n";
    return kExitUnknown;
  }
  std::cerr << TextOf(body, "error") << ": " << TextOf(body, "text") << ' '
            << TextOf(body, "detail") << '\n';
  return TextOf(body, "outcome") == "unknown" ? kExitUnknown : kExitRefused;
}

bool HasArguments(const ctl_options& options,
                  std::size_t least,
                  std::size_t most) {
  const std::size_t count = options.arguments.size();
  if (count < least || count > most) {
    std::cerr << "wrong number of arguments; see --help\n";
    return false;
  }
  if (options.gateways.empty()) {
    std::cerr << "--gateway is needed\n";
    return false;
  }
  return true;
}

int Submit(const ctl_options& options) {
  constexpr std::size_t kLeast = 4;
  constexpr std::size_t kMost = 5;
  if (!HasArguments(options, kLeast, kMost)) {
    return kExitUsage;
  }
  const auto& words = options.arguments;
  http_request request = MakeRequest(options, "POST", std::string(kJobs));
  request.headers["idempotency-key"] = words[0];
  request.body = json{{"class", words[1]},
                      {"shape", words[2]},
                      {"run", words[3]},
                      {"payload", words.size() == kMost ? words[4] : ""}}
                     .dump();
  return Print(CallGateways(options, request));
}

int Cancel(const ctl_options& options) {
  if (!HasArguments(options, 1, 1)) {
    return kExitUsage;
  }
  return Print(
      CallGateways(options, MakeRequest(options, "POST",
                                        std::string(kJobs) + "/" +
                                            options.arguments[0] + "/cancel")));
}

}  // namespace

int StatusOfJob(const ctl_options& options) {
  if (!HasArguments(options, 1, 1)) {
    return kExitUsage;
  }
  return Print(CallGateways(
      options, MakeRequest(options, "GET",
                           std::string(kJobs) + "/" + options.arguments[0])));
}

std::vector<ctl_command> JobCommands() {
  return {{"submit", "KEY CLASS SHAPE RUN [PAYLOAD]: submits a job", Submit},
          {"cancel", "JOB: cancels a job", Cancel}};
}

}  // namespace sassafras

#include "review/standin-3/callers.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "review/standin-3/lab.h"
#include "sassafras/net/call_after.h"

namespace sassafras::review {
namespace {

using namespace std::chrono_literals;

constexpr duration kDeadline = 3s;
constexpr int kRetries = 4;

}  // namespace

callers::callers(boost::asio::io_context& context,
                 std::string host,
                 std::string key)
    : context_(context),
      client_(http_client::Make(context, {}, counters_)),
      host_(std::move(host)),
      key_(std::move(key)) {}

std::string callers::NewId(std::uint64_t number) {
  char text[17];
  std::snprintf(
      text, sizeof text, "%016llx",
      static_cast<unsigned long long>(number * 0x9E3779B97F4A7C15ULL));
  return text;
}

void callers::Send(const std::string& method,
                   const std::string& path,
                   const std::string& body,
                   std::function<void(const http_answer&)> done) {
  http_request request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers["Host"] = host_;
  request.headers["Authorization"] = "Bearer " + key_;
  request.headers["X-Deadline-Ms"] = "3000";
  if (!body.empty()) {
    request.headers["Content-Type"] = "application/json";
  }
  ++open_calls;
  client_->Call(fronts.at(next_front_++ % fronts.size()), std::move(request),
                connection_choice::kPooled, kDeadline,
                [this, done = std::move(done)](const http_answer& answer) {
                  --open_calls;
                  done(answer);
                });
}

void callers::Submit(const std::string& prefix,
                     const std::string& id,
                     const nlohmann::json& body) {
  TrySubmit(prefix + id, id, body.dump(), kRetries);
}

void callers::TrySubmit(const std::string& path,
                        const std::string& id,
                        const std::string& body,
                        int tries_left) {
  Send("POST", path, body, [=, this](const http_answer& answer) {
    job_view& job = jobs[id];
    const bool is_answered = answer.state == answer_state::kDone;
    const int status = is_answered ? answer.response.status : 0;
    job.answers.push_back(is_answered ? std::to_string(status) : "none");
    if (status >= 200 && status < 300) {
      if (!job.is_accepted) {
        job.is_accepted = true;
        job.accepted_at = Now();
      }
      return;
    }
    const bool may_repeat =
        status == 0 || status == 429 || (status >= 502 && status <= 504);
    if (!may_repeat || tries_left == 0) {
      return;
    }
    duration pause = 100ms;
    if (is_answered) {
      const auto after = answer.response.headers.find("retry-after");
      if (after != answer.response.headers.end()) {
        pause = std::chrono::seconds(std::stoi(after->second));
      }
    }
    CallAfter(context_, pause,
              [=, this] { TrySubmit(path, id, body, tries_left - 1); });
  });
}

void callers::Ask(const std::string& prefix, const std::string& id) {
  Send("GET", prefix + id, "", [this, id](const http_answer& answer) {
    job_view& job = jobs[id];
    job.last_status =
        answer.state == answer_state::kDone ? answer.response.status : 0;
    job.last_state.clear();
    if (job.last_status == 200) {
      const auto document =
          nlohmann::json::parse(answer.response.body, nullptr, false);
      job.last_state = document.is_object()
                           ? document.value("state", std::string())
                           : std::string();
    }
  });
}

}  // namespace sassafras::review

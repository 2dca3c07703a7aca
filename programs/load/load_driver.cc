#include "programs/load/load_driver.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace sassafras {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kMaxAttempts = 8;
constexpr duration kRequestTimeout = std::chrono::seconds(70);
constexpr duration kNextGatewayDelay = std::chrono::milliseconds(1);
constexpr duration kRetryDelay = std::chrono::milliseconds(200);
constexpr duration kPollInterval = std::chrono::milliseconds(250);
constexpr duration kReadTimeout = std::chrono::seconds(5);

duration ElapsedSince(steady_clock::time_point start) {
  return std::chrono::duration_cast<duration>(steady_clock::now() - start);
}

run_outcome ToOutcome(const std::string& name) {
  for (const run_outcome outcome :
       {run_outcome::kRan, run_outcome::kNotRun, run_outcome::kUnknown}) {
    if (GetName(outcome) == name) {
      return outcome;
    }
  }
  return run_outcome::kUnknown;
}

std::string GetStringField(const http_answer& answer, const char* field) {
  const json body = json::parse(answer.response.body, nullptr, false);
  if (!body.is_object() || !body.contains(field) || !body[field].is_string()) {
    return {};
  }
  return body[field];
}

}  // namespace

struct load_driver::pending_request {
  const request_load_plan* stream = nullptr;
  std::string key;
  std::string body;
  steady_clock::time_point start;
  int attempts = 0;
  bool may_have_run = false;  ///< An earlier attempt got no answer.
};

struct load_driver::pending_job {
  const job_load_plan* stream = nullptr;
  std::string key;
  std::string body;
  std::string id;
  steady_clock::time_point start;
};

load_driver::load_driver(load_plan plan, std::uint64_t seed)
    : plan_(std::move(plan)),
      run_name_("load-" +
                std::to_string(steady_clock::now().time_since_epoch().count())),
      random_(seed),
      client_(http_client::Make(context_, {}, counters_)) {}

void load_driver::Run() {
  send_deadline_ = steady_clock::now() + plan_.send_time;
  settle_deadline_ = send_deadline_ + plan_.settle_timeout;
  for (const request_load_plan& stream : plan_.requests) {
    StartRequests(stream);
  }
  for (const job_load_plan& stream : plan_.jobs) {
    StartJobs(stream);
  }
  context_.run();
}

void load_driver::ScheduleAfter(duration delay, std::function<void()> action) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code&) { action(); });
}

const std::string& load_driver::PickGateway() {
  std::uniform_int_distribution<std::size_t> index(0,
                                                   plan_.gateways.size() - 1);
  return plan_.gateways[index(random_)];
}

std::string load_driver::NewKey() {
  return run_name_ + "-" + std::to_string(++next_key_);
}

void load_driver::StartRequests(const request_load_plan& stream) {
  if (steady_clock::now() >= send_deadline_) {
    return;
  }
  auto request = std::make_shared<pending_request>();
  request->stream = &stream;
  request->key = NewKey();
  request->body = json{
      {"key", request->key},
      {"work_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(stream.work_time)
           .count()}}.dump();
  request->start = steady_clock::now();
  ++record_.classes[stream.class_name].submitted;
  SendRequest(request);
  std::exponential_distribution<double> interval(stream.per_second);
  const std::chrono::duration<double> seconds(interval(random_));
  ScheduleAfter(std::chrono::duration_cast<duration>(seconds),
                [this, &stream] { StartRequests(stream); });
}

void load_driver::SendRequest(const std::shared_ptr<pending_request>& request) {
  ++request->attempts;
  http_request message;
  message.method = "POST";
  message.path = "/v1/requests/" + request->stream->class_name;
  message.headers["authorization"] = "Bearer " + request->stream->token;
  message.headers["idempotency-key"] = request->key;
  message.body = request->body;
  client_->Call(PickGateway(), std::move(message), connection_choice::kPooled,
                kRequestTimeout, [this, request](const http_answer& answer) {
                  OnRequestAnswer(request, answer);
                });
}

void load_driver::OnRequestAnswer(
    const std::shared_ptr<pending_request>& request,
    const http_answer& answer) {
  if (answer.state == answer_state::kDone) {
    if (answer.response.status == kOk) {
      if (answer.response.body != request->body) {
        ++record_.wrong_answers;
      }
      EndRequest(*request, run_outcome::kRan);
      return;
    }
    CountRefusal(answer);
    const auto it = answer.response.headers.find("x-sassafras-outcome");
    const bool is_outcome_reported = it != answer.response.headers.end();
    // An earlier attempt got no answer and may still run: retry with its key.
    if (request->may_have_run && request->stream->is_at_most_once &&
        GetStringField(answer, "error") == "in_progress" &&
        request->attempts < kMaxAttempts) {
      ScheduleAfter(kRetryDelay, [this, request] { SendRequest(request); });
      return;
    }
    EndRequest(*request, is_outcome_reported ? ToOutcome(it->second)
                                             : run_outcome::kUnknown);
    return;
  }
  if (answer.state == answer_state::kUnknown) {
    request->may_have_run = true;
    if (!request->stream->is_at_most_once) {
      EndRequest(*request, run_outcome::kUnknown);
      return;
    }
  }
  if (request->attempts >= kMaxAttempts) {
    EndRequest(*request, request->may_have_run ? run_outcome::kUnknown
                                               : run_outcome::kNotRun);
    return;
  }
  // Like a load balancer, retries quickly if no attempt can have run.
  const duration delay =
      request->may_have_run ? kRetryDelay : kNextGatewayDelay;
  ScheduleAfter(delay, [this, request] { SendRequest(request); });
}

void load_driver::EndRequest(const pending_request& request,
                             run_outcome outcome) {
  class_record& record = record_.classes[request.stream->class_name];
  keyed_record& key = record_.keys[request.key];
  key.reported_outcome = outcome;
  key.max_executions = request.stream->is_at_most_once ? 1 : 0;
  key.min_executions = 1;
  switch (outcome) {
    case run_outcome::kRan:
      ++record.answered;
      record.completion_times.push_back(ElapsedSince(request.start));
      break;
    case run_outcome::kNotRun:
      ++record.not_run;
      break;
    case run_outcome::kUnknown:
      ++record.unknown;
      break;
  }
}

void load_driver::CountRefusal(const http_answer& answer) {
  const std::string name = GetStringField(answer, "error");
  ++record_.refusals[name.empty() ? "other" : name];
}

void load_driver::StartJobs(const job_load_plan& stream) {
  if (steady_clock::now() >= send_deadline_) {
    return;
  }
  const auto run_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(stream.run_time)
          .count();
  auto job = std::make_shared<pending_job>();
  job->stream = &stream;
  job->key = NewKey();
  job->body = json{{"class", stream.class_name},
                   {"shape", stream.shape},
                   {"run", std::to_string(run_ms) + "ms"},
                   {"payload", json{{"run_ms", run_ms}}.dump()}}
                  .dump();
  job->start = steady_clock::now();
  ++record_.classes[stream.class_name].submitted;
  SubmitJob(job);
  ScheduleAfter(stream.submit_interval, [this, &stream] { StartJobs(stream); });
}

void load_driver::SubmitJob(const std::shared_ptr<pending_job>& job) {
  http_request message;
  message.method = "POST";
  message.path = "/v1/jobs";
  message.headers["authorization"] = "Bearer " + job->stream->token;
  message.headers["idempotency-key"] = job->key;
  message.body = job->body;
  client_->Call(PickGateway(), std::move(message), connection_choice::kPooled,
                kReadTimeout, [this, job](const http_answer& answer) {
                  OnSubmitted(job, answer);
                });
}

void load_driver::OnSubmitted(const std::shared_ptr<pending_job>& job,
                              const http_answer& answer) {
  const bool is_done = answer.state == answer_state::kDone;
  if (is_done &&
      (answer.response.status == kOk || answer.response.status == kAccepted)) {
    job->id = GetStringField(answer, "job");
    PollJob(job);
    return;
  }
  const bool is_refused = is_done && answer.response.status < 500;
  if (is_refused || steady_clock::now() >= settle_deadline_) {
    CountRefusal(answer);
    ++record_.classes[job->stream->class_name].not_run;
    return;
  }
  // The idempotency key makes a retry safe if an earlier attempt took effect.
  ScheduleAfter(kRetryDelay, [this, job] { SubmitJob(job); });
}

void load_driver::PollJob(const std::shared_ptr<pending_job>& job) {
  http_request message;
  message.method = "GET";
  message.path = "/v1/jobs/" + job->id;
  message.headers["authorization"] = "Bearer " + job->stream->token;
  client_->Call(PickGateway(), std::move(message), connection_choice::kPooled,
                kReadTimeout, [this, job](const http_answer& answer) {
                  const std::string state = GetStringField(answer, "state");
                  if (state == "ended") {
                    EndJob(*job, GetStringField(answer, "outcome"));
                    return;
                  }
                  if (steady_clock::now() >= settle_deadline_) {
                    ++record_.jobs_without_outcome;
                    return;
                  }
                  ScheduleAfter(kPollInterval, [this, job] { PollJob(job); });
                });
}

void load_driver::EndJob(const pending_job& job, const std::string& outcome) {
  class_record& record = record_.classes[job.stream->class_name];
  keyed_record& key = record_.keys[job.id];
  key.max_executions = job.stream->is_at_most_once ? job.stream->tasks : 0;
  key.min_executions = job.stream->tasks;
  if (outcome == "succeeded") {
    key.reported_outcome = run_outcome::kRan;
    ++record.answered;
    record.completion_times.push_back(ElapsedSince(job.start));
  } else if (outcome == "not_run") {
    key.reported_outcome = run_outcome::kNotRun;
    ++record.not_run;
  } else {
    ++record.unknown;
    ++record_.refusals["job_" + outcome];
  }
}

http_answer load_driver::CallAndWait(const std::string& address,
                                     const std::string& path) {
  http_answer received;
  http_request message;
  message.method = "GET";
  message.path = path;
  client_->Call(address, std::move(message), connection_choice::kFresh,
                kReadTimeout,
                [&](http_answer answer) { received = std::move(answer); });
  context_.restart();
  context_.run();
  return received;
}

std::map<std::string, int> load_driver::ReadExecutions() {
  std::map<std::string, int> executions;
  for (const service_range* range : {&plan_.minions, &plan_.workers}) {
    for (int i = 0; i < range->count; ++i) {
      const std::string address =
          range->host + ":" + std::to_string(range->first_port + i);
      json body = json::parse(CallAndWait(address, "/executions").response.body,
                              nullptr, false);
      if (body.is_object() && body.contains("executions")) {
        body = json(body["executions"]);
      }
      if (!body.is_object()) {
        continue;
      }
      for (const auto& [key, count] : body.items()) {
        executions[key] += count.get<int>();
      }
    }
  }
  return executions;
}

std::map<std::string, double> load_driver::ReadSchedulerMetrics() {
  std::map<std::string, double> metrics;
  for (const std::string& address : plan_.schedulers) {
    std::istringstream lines(CallAndWait(address, "/metrics").response.body);
    std::string line;
    while (std::getline(lines, line)) {
      const std::size_t space = line.rfind(' ');
      if (line.empty() || line.front() == '#' || space == std::string::npos) {
        continue;
      }
      const std::string name = line.substr(0, space);
      const bool is_selected =
          name.find("fragmentation") != std::string::npos ||
          name.find("reclaim") != std::string::npos ||
          name.find("job_") != std::string::npos ||
          name.find("plan") != std::string::npos;
      const double value = std::stod(line.substr(space + 1));
      if (is_selected && value != 0) {
        metrics[name] += value;
      }
    }
  }
  return metrics;
}

}  // namespace sassafras

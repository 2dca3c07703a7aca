#include "programs/gateway/job_api.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace sassafras {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr std::string_view kCollection = "/v1/jobs";
constexpr std::string_view kCancelSuffix = "/cancel";

std::int64_t UnixTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns whether the job's work ran, as far as the row shows.
run_outcome RunOutcomeOf(const job_row& row) {
  if (!row.was_released) {
    return run_outcome::kNotRun;
  }
  return row.outcome == job_outcome::kUnknown ? run_outcome::kUnknown
                                              : run_outcome::kRan;
}

http_response JobResponse(const job_row& row, int status) {
  nlohmann::json body = {{"job", row.id.value},
                         {"state", GetName(row.state)},
                         {"class", row.job_class.value},
                         {"shape", row.shape.value},
                         {"team", row.team.value},
                         {"attempt", row.attempt},
                         {"cancel_requested", row.cancel_requested},
                         {"reason", row.reason}};
  if (row.state == job_state::kEnded) {
    body["outcome"] = GetName(row.outcome);
    body["run"] = GetName(RunOutcomeOf(row));
  }
  http_response response;
  response.status = status;
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

// Returns the team whose jobs the caller may access; empty for an operator, who
// may access the jobs of all teams.
team_id ScopeOf(const caller_identity& caller) {
  return caller.role == token_role::kOperator ? team_id{} : caller.team;
}

}  // namespace

void job_api::OnConfig(const config_ptr& config) {
  const std::lock_guard lock(mutex_);
  if (!fit_planner_) {
    fit_planner_ =
        std::make_unique<planner>(planner_options{}, planner_counters_);
  }
  fit_planner_->SetConfig(config);
}

void job_api::OnPeerMessage(const std::string& /*kind*/,
                            const std::string& /*body*/) {}

void job_api::Handle(http_exchange exchange) {
  const http_request& request = exchange.request;
  const config_ptr config = node_.Config();
  if (!config) {
    Refuse(exchange.reply, Fail(error_kind::kNoConfiguration));
    return;
  }
  const auto caller =
      Authenticate(config->objects, request.Header("authorization"));
  if (!caller) {
    Refuse(exchange.reply, caller.error());
    return;
  }
  std::string_view path = request.path;
  path = path.substr(0, path.find('?'));
  if (path == kCollection && request.method == "POST") {
    Submit(config, caller.value(), exchange);
    return;
  }
  if (path.size() <= kCollection.size() + 1 ||
      path[kCollection.size()] != '/') {
    Refuse(exchange.reply, Fail(error_kind::kNotFound, request.path));
    return;
  }
  path.remove_prefix(kCollection.size() + 1);
  const bool is_cancel = path.ends_with(kCancelSuffix);
  if (is_cancel) {
    path.remove_suffix(kCancelSuffix.size());
  }
  const bool is_valid = job_id::Make(path).has_value();
  if (is_valid && is_cancel && request.method == "POST") {
    Cancel(caller.value(), std::string(path), exchange);
  } else if (is_valid && !is_cancel && request.method == "GET") {
    ReplyWithJob(caller.value(), std::string(path), exchange);
  } else {
    Refuse(exchange.reply, Fail(error_kind::kNotFound, request.path));
  }
}

void job_api::Refuse(const http_reply& reply, const error& failure) {
  node_.Counters().AddError(failure.kind);
  reply(ErrorResponse(failure));
}

std::optional<error> job_api::CheckFit(const job_row& row) {
  const std::lock_guard lock(mutex_);
  const planned_job candidate{row.id,    row.team,         row.job_class,
                              row.shape, row.declared_run, {}};
  auto refusal = fit_planner_->Add(candidate);
  if (!refusal) {
    fit_planner_->Remove(row.id, std::nullopt);
  }
  return refusal;
}

void job_api::Submit(const config_ptr& config,
                     const caller_identity& caller,
                     const http_exchange& exchange) {
  const http_request& request = exchange.request;
  auto row = job::MakeJobRow(config->objects, caller.team,
                             request.Header("idempotency-key"), request.body,
                             UnixTimeMs());
  if (!row) {
    Refuse(exchange.reply, row.error());
    return;
  }
  if (const auto refusal = CheckFit(row.value())) {
    Refuse(exchange.reply, *refusal);
    return;
  }
  if (!BeginOperation(exchange.reply)) {
    return;
  }
  using work = pending_operation<job::job_submission>;
  ExecuteStep(
      job::api_step::kCommit,
      std::make_shared<work>(work{job::job_submission(std::move(row.value())),
                                  exchange.reply, kAccepted}));
}

void job_api::Cancel(const caller_identity& caller,
                     const std::string& id,
                     const http_exchange& exchange) {
  if (!BeginOperation(exchange.reply)) {
    return;
  }
  using work = pending_operation<job::job_cancellation>;
  ExecuteStep(job::api_step::kRead,
              std::make_shared<work>(
                  work{job::job_cancellation(job_id{id}, ScopeOf(caller)),
                       exchange.reply, kOk}));
}

template <class Operation>
void job_api::ExecuteStep(
    job::api_step step,
    const std::shared_ptr<pending_operation<Operation>>& work) {
  switch (step) {
    case job::api_step::kCommit:
      node_.Table().commit(work->operation.Transaction(),
                           [this, work](const commit_answer& answer) {
                             if (answer.state != answer_state::kDone) {
                               node_.Counters().Add("job_api_retry_commit");
                             }
                             ExecuteStep(work->operation.OnCommit(answer),
                                         work);
                           });
      return;
    case job::api_step::kRead:
      node_.Table().read(work->operation.Keys(),
                         [this, work](const read_answer& answer) {
                           ExecuteStep(work->operation.OnRead(answer), work);
                         });
      return;
    case job::api_step::kDone:
      work->reply(JobResponse(work->operation.Row(), work->success_status));
      break;
    case job::api_step::kFail:
      Refuse(work->reply, work->operation.Failure());
      break;
  }
  FinishOperation();
}

void job_api::ReplyWithJob(const caller_identity& caller,
                           const std::string& id,
                           const http_exchange& exchange) {
  node_.Table().read(
      {JobKey(job_id{id})}, [this, id, scope = ScopeOf(caller),
                             reply = exchange.reply](read_answer answer) {
        if (answer.state != answer_state::kDone || answer.rows.size() != 1) {
          Refuse(reply, Fail(error_kind::kStoreUnavailable, id));
          return;
        }
        const table_row& row = answer.rows.front();
        const auto decoded = DecodeJobRow(row.key, row.value);
        if (row.version == 0 || !decoded ||
            !job::IsVisible(decoded.value(), scope)) {
          Refuse(reply, Fail(error_kind::kNotFound, id));
          return;
        }
        reply(JobResponse(decoded.value(), kOk));
      });
}

bool job_api::BeginOperation(const http_reply& reply) {
  {
    const std::lock_guard lock(mutex_);
    if (!is_stopping_) {
      ++in_progress_;
      return true;
    }
  }
  Refuse(reply, Fail(error_kind::kStopping));
  return false;
}

void job_api::FinishOperation() {
  std::function<void()> stopped;
  {
    const std::lock_guard lock(mutex_);
    --in_progress_;
    if (in_progress_ == 0) {
      stopped = std::exchange(on_stopped_, nullptr);
    }
  }
  if (stopped) {
    stopped();
  }
}

void job_api::Stop(std::function<void()> done) {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    if (in_progress_ > 0) {
      on_stopped_ = std::move(done);
      return;
    }
  }
  done();
}

}  // namespace sassafras

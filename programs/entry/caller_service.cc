#include "programs/entry/caller_service.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string_view>

#include "sassafras/sched/job_codec.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using sched::acceptance_result;
using sched::caller_answer;
using sched::caller_verb;
using sched::job_state;

// A configuration of this age may lack a key that was taken away: margin below
// the bound for one feed and the way to the caller.
constexpr duration kKeyMargin = std::chrono::milliseconds(1200);
// A configuration of this age may lack a queue or key that was added.
constexpr duration kFreshConfig = std::chrono::milliseconds(2500);
// Callers are asked to come back within the time that the store has been away,
// between these, so that they do not all come at once.
constexpr duration kLeastRetry = std::chrono::milliseconds(500);
constexpr duration kMostRetry = std::chrono::seconds(3);

std::string_view GetName(acceptance_result how) {
  switch (how) {
    case acceptance_result::kAccepted:
      return "accepted";
    case acceptance_result::kRefused:
      return "refused";
    case acceptance_result::kUnknown:
      return "unknown";
  }
  return "unknown";
}

caller_answer Accepted(caller_answer::kind what) {
  caller_answer answer;
  answer.what = what;
  return answer;
}

caller_answer StateAnswer(job_state state) {
  caller_answer answer = Accepted(caller_answer::kind::kState);
  answer.state = state;
  return answer;
}

}  // namespace

std::shared_ptr<caller_service> caller_service::Make(parts given) {
  return std::shared_ptr<caller_service>(new caller_service(given));
}

caller_service::caller_service(parts given)
    : given_(given), random_(std::random_device()()) {}

bool caller_service::IsReady() const {
  return given_.config.Age() < kFreshConfig && !given_.store.IsAway();
}

void caller_service::Handle(http_exchange exchange) {
  const sched::caller_call call = given_.world.decode_call(exchange.request);
  Resolve(call, Answering(exchange, exchange.request.method + " " + call.path));
}

// Counts, measures and logs the one answer of a call.
caller_service::reply caller_service::Answering(http_exchange& exchange,
                                                const std::string& what) {
  ++in_progress_;
  const instant began = given_.now();
  return [self = shared_from_this(), send = exchange.reply, what,
          began](const caller_answer& answer) {
    --self->in_progress_;
    const duration took = self->given_.now() - began;
    const std::string outcome(
        answer.failure ? GetErrorInfo(*answer.failure).name : "served");
    if (answer.failure) {
      self->given_.counters.AddError(*answer.failure);
    }
    self->given_.measured.Observe("call", outcome, took);
    LogDecision("call_answered",
                {{"call", what},
                 {"outcome", outcome},
                 {"detail", answer.detail},
                 {"config_age_ms",
                  std::to_string(self->given_.config.Age().count() / 1000)},
                 {"took_us", std::to_string(took.count())}});
    send(self->given_.world.encode_answer(answer));
  };
}

void caller_service::Resolve(const sched::caller_call& call,
                             const reply& answer) {
  const auto config = given_.config.Current();
  if (!config) {
    answer(Refuse(error_kind::kNoConfiguration, "none was read yet"));
    return;
  }
  const sched::job_queue* queue = config->FindQueue(call.host, call.path);
  const duration age = given_.config.Age();
  if (queue == nullptr) {
    answer(age < kFreshConfig
               ? Refuse(error_kind::kNotFound, "no queue has this path")
               : Refuse(error_kind::kStoreUnavailable,
                        "the configuration may be out of date"));
    return;
  }
  if (auto refusal = CheckKey(call, *config, *queue)) {
    answer(std::move(*refusal));
    return;
  }
  const std::string id = call.path.substr(queue->prefix.size());
  if (id.empty() && call.verb == caller_verb::kAsk) {
    Count(queue->name, answer);
  } else if (!sched::IsJobId(id) || call.verb == caller_verb::kOther) {
    answer(Refuse(error_kind::kNotFound, "the path names no job"));
  } else if (call.verb == caller_verb::kSubmit) {
    Submit(call, *config, *queue, id, answer);
  } else if (call.verb == caller_verb::kAsk) {
    AskState(id, answer);
  } else {
    Cancel(id, answer);
  }
}

// A key is accepted only while the configuration is young enough to be sure
// that it was not taken away longer ago than the bound allows.
std::optional<caller_answer> caller_service::CheckKey(
    const sched::caller_call& call,
    const sched::service_config& config,
    const sched::job_queue& queue) const {
  if (queue.is_anonymous) {
    return std::nullopt;
  }
  const duration age = given_.config.Age();
  const bool is_known = config.team_of_key.contains(call.key);
  if (age > given_.settings.revoke_time - kKeyMargin ||
      (!is_known && age > kFreshConfig)) {
    return Refuse(error_kind::kStoreUnavailable,
                  "keys cannot be checked, the store is away");
  }
  if (!is_known) {
    return Refuse(error_kind::kUnauthenticated, "unknown key");
  }
  return std::nullopt;
}

void caller_service::Submit(const sched::caller_call& call,
                            const sched::service_config& config,
                            const sched::job_queue& queue,
                            const std::string& id,
                            const reply& answer) {
  auto spec = given_.world.decode_job(call.body);
  if (!spec) {
    answer(Refuse(spec.error().kind, spec.error().detail));
    return;
  }
  if (given_.store.IsAway()) {
    answer(Refuse(error_kind::kStoreUnavailable, "the store is away"));
    return;
  }
  sched::accepted_job job;
  job.id = id;
  job.queue = queue.name;
  job.service = queue.service;
  const auto team = config.team_of_key.find(call.key);
  job.team = team == config.team_of_key.end() ? std::string() : team->second;
  job.priority = queue.priority;
  job.attempts = queue.attempts;
  job.stretch = queue.stretch;
  job.target = queue.target;
  job.spec = std::move(spec.value());
  const auto deciding = std::make_shared<sched::acceptance>(std::move(job));
  const table_transaction first = deciding->Begin();
  Store(deciding, first, id, answer);
}

void caller_service::Store(std::shared_ptr<sched::acceptance> deciding,
                           const table_transaction& write,
                           const std::string& id,
                           const reply& answer) {
  given_.table.commit(write, [self = shared_from_this(), deciding, id,
                              answer](const commit_answer& stored) {
    auto next = deciding->OnAnswer(stored);
    if (next && stored.state == answer_state::kUnknown &&
        self->given_.store.IsAway()) {
      // The mark would wait for the same store; its caller need not.
      self->given_.counters.Add("submission_left_unknown");
      answer(self->Refuse(error_kind::kStoreUnknown,
                          "the store's answer was lost and it is away"));
      return;
    }
    if (next) {
      self->given_.counters.Add("submission_write_repeated");
      self->Store(deciding, *next, id, answer);
      return;
    }
    const acceptance_result how = *deciding->Result();
    LogDecision("submission", {{"job", id},
                               {"outcome", std::string(GetName(how))},
                               {"store", std::string(GetName(stored.state))}});
    switch (how) {
      case acceptance_result::kAccepted:
        answer(Accepted(caller_answer::kind::kAccepted));
        return;
      case acceptance_result::kRefused:
        answer(self->Refuse(error_kind::kStoreUnavailable, "not stored"));
        return;
      case acceptance_result::kUnknown:
        answer(self->Refuse(error_kind::kStoreUnknown,
                            "the store's answer was lost"));
        return;
    }
  });
}

// A job's record appears with its first start; before that it is queued.
void caller_service::AskState(const std::string& id, const reply& answer) {
  given_.table.read(
      {sched::kRecordTable + id},
      [self = shared_from_this(), id, answer](const read_answer& read) {
        if (read.state != answer_state::kDone) {
          answer(self->Refuse(error_kind::kStoreUnavailable,
                              "the job's record could not be read"));
          return;
        }
        if (read.rows.front().version == 0) {
          self->AskAccepted(id, answer);
          return;
        }
        const auto record = sched::DecodeRecord(read.rows.front().value);
        if (!record) {
          answer(self->Refuse(error_kind::kInternal, record.error().detail));
          return;
        }
        answer(StateAnswer(record.value().state));
      });
}

void caller_service::AskAccepted(const std::string& id, const reply& answer) {
  given_.table.read({sched::kJobTable + id}, [self = shared_from_this(),
                                              answer](const read_answer& read) {
    if (read.state != answer_state::kDone) {
      answer(self->Refuse(error_kind::kStoreUnavailable,
                          "the job could not be read"));
      return;
    }
    const table_row& row = read.rows.front();
    const auto job = sched::DecodeJobRow(row.value);
    const bool is_there = row.version != 0 && job && !job.value().is_refusal;
    answer(is_there ? StateAnswer(job_state::kQueued)
                    : self->Refuse(error_kind::kNoSuchJob, "never accepted"));
  });
}

void caller_service::Cancel(const std::string& id, const reply& answer) {
  given_.table.read({sched::kJobTable + id}, [self = shared_from_this(), id,
                                              answer](const read_answer& read) {
    if (read.state != answer_state::kDone) {
      answer(self->Refuse(error_kind::kStoreUnavailable,
                          "the job could not be read"));
      return;
    }
    const table_row& row = read.rows.front();
    const auto job = sched::DecodeJobRow(row.value);
    if (row.version == 0 || !job || job.value().is_refusal) {
      answer(self->Refuse(error_kind::kNoSuchJob, "never accepted"));
      return;
    }
    self->WriteCancel(id, answer);
  });
}

void caller_service::WriteCancel(const std::string& id, const reply& answer) {
  given_.table.commit(
      {{sched::CancelKey(id), 0, "{}"}},
      [self = shared_from_this(), id, answer](const commit_answer& stored) {
        const bool is_stored = stored.state == answer_state::kDone ||
                               (stored.state == answer_state::kNotDone &&
                                stored.reason == error_kind::kConflict);
        LogDecision("cancel",
                    {{"job", id}, {"stored", is_stored ? "yes" : "no"}});
        if (is_stored) {
          answer(Accepted(caller_answer::kind::kCancelled));
        } else {
          answer(self->Refuse(stored.state == answer_state::kUnknown
                                  ? error_kind::kStoreUnknown
                                  : error_kind::kStoreUnavailable,
                              "the cancelling was not stored"));
        }
      });
}

void caller_service::Count(const std::string& queue, const reply& answer) {
  given_.table.read({sched::kWaitingKey}, [self = shared_from_this(), queue,
                                           answer](const read_answer& read) {
    if (read.state != answer_state::kDone) {
      answer(self->Refuse(error_kind::kStoreUnavailable,
                          "the counts could not be read"));
      return;
    }
    caller_answer counted = Accepted(caller_answer::kind::kCount);
    if (read.rows.front().version != 0) {
      const auto waiting = sched::DecodeWaiting(read.rows.front().value);
      if (!waiting) {
        answer(self->Refuse(error_kind::kInternal, waiting.error().detail));
        return;
      }
      const auto it = waiting.value().find(queue);
      counted.waiting = it == waiting.value().end() ? 0 : it->second;
    }
    answer(std::move(counted));
  });
}

caller_answer caller_service::Refuse(error_kind kind,
                                     std::string detail) const {
  caller_answer answer;
  answer.failure = kind;
  answer.detail = std::move(detail);
  if (GetErrorInfo(kind).retryable) {
    answer.retry_after = RetryDelay();
  }
  return answer;
}

duration caller_service::RetryDelay() const {
  const duration most =
      std::clamp(given_.store.AwayFor(), kLeastRetry, kMostRetry);
  const std::lock_guard lock(random_mutex_);
  std::uniform_int_distribution<std::int64_t> spread(kLeastRetry.count(),
                                                     most.count());
  return duration(spread(random_));
}

}  // namespace sassafras

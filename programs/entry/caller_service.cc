#include "programs/entry/caller_service.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string_view>

#include "sassafras/sched/admission.h"
#include "sassafras/sched/job_codec.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using sched::acceptance_result;
using sched::caller_answer;
using sched::caller_verb;
using sched::job_state;

// Margin subtracted from the revocation bound (`revoke_time`). It covers one
// long poll of the change feed and the way of the answer to the caller.
constexpr duration kRevocationMargin = std::chrono::milliseconds(1200);
// A configuration older than this may lack a queue or key that was added
// meanwhile.
constexpr duration kMaxFreshConfigAge = std::chrono::milliseconds(2500);
// Time from the arrival of a call after which it is refused rather than passed
// to another entry process.
constexpr duration kMaxTimeBeforeRelay = std::chrono::milliseconds(1100);
// Bounds of the delay after which callers are told to retry. The delay is
// random between the minimum and the duration of the store outage so far, so
// that callers do not all retry at once.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(500);
constexpr duration kMaxRetryDelay = std::chrono::seconds(3);
// Tries of a cancelling, each after the job's row has changed since it was
// read.
constexpr int kMaxCancelTries = 3;
constexpr char kCancelledEarly[] = "cancelled before it was accepted";

std::string_view GetName(acceptance_result outcome) {
  switch (outcome) {
    case acceptance_result::kAccepted:
      return "accepted";
    case acceptance_result::kRefused:
      return "refused";
    case acceptance_result::kCancelled:
      return "cancelled";
    case acceptance_result::kUnknown:
      return "unknown";
  }
  return "unknown";
}

caller_answer MakeAnswer(caller_answer::kind what) {
  caller_answer answer;
  answer.what = what;
  return answer;
}

caller_answer MakeStateAnswer(job_state state) {
  caller_answer answer = MakeAnswer(caller_answer::kind::kState);
  answer.state = state;
  return answer;
}

}  // namespace

std::shared_ptr<caller_service> caller_service::Make(dependencies deps) {
  return std::shared_ptr<caller_service>(new caller_service(deps));
}

caller_service::caller_service(dependencies deps)
    : deps_(deps), random_(std::random_device()()) {}

bool caller_service::IsReady() const {
  return deps_.config.Age() < kMaxFreshConfigAge &&
         !deps_.store.IsUnavailable() && !deps_.may_read_old_calls();
}

void caller_service::Handle(http_exchange exchange) {
  const sched::caller_call call = deps_.adapter.decode_call(exchange.request);
  const reply answer =
      BeginCall(exchange, exchange.request.method + " " + call.path, true);
  if (CanServe(shown_version_.load())) {
    RouteCall(call, answer);
  } else {
    answer(MakeRefusal(error_kind::kStoreUnavailable, "the store is away"));
  }
}

void caller_service::HandleRelayed(http_exchange exchange) {
  const sched::caller_call call = deps_.adapter.decode_call(exchange.request);
  const std::uint64_t min_version =
      ParseRelayedVersion(exchange.request.Header(kRelayedHeader));
  const auto config = deps_.config.Current();
  const std::string version = std::to_string(config ? config->version : 0);
  http_exchange relayed = exchange;
  relayed.reply = [send = exchange.reply, version](http_response response) {
    response.headers[kHandledByVersionHeader] = version;
    send(std::move(response));
  };
  const reply answer = BeginCall(
      relayed, "relayed " + exchange.request.method + " " + call.path, false);
  if (CanServe(min_version)) {
    RouteCall(call, answer);
  } else {
    answer(MakeRefusal(error_kind::kStoreUnavailable, "the store is away"));
  }
}

// Whether the store is available, and the configuration is no older than one
// that callers have seen in force.
bool caller_service::CanServe(std::uint64_t min_version) const {
  const auto config = deps_.config.Current();
  return !deps_.store.IsUnavailable() &&
         (config ? config->version : 0) >= min_version;
}

// Registers a call in progress. The returned function sends its answer and
// records the outcome, the latency and a log line; it must be called once. A
// call that this process cannot serve is passed on first.
caller_service::reply caller_service::BeginCall(const http_exchange& exchange,
                                                const std::string& what,
                                                bool may_relay) {
  ++calls_in_progress_;
  const instant began = deps_.now();
  reply finish = [self = shared_from_this(), send = exchange.reply, what,
                  began](const caller_answer& answer) {
    --self->calls_in_progress_;
    const duration took = self->deps_.now() - began;
    const std::string outcome(
        answer.failure ? GetErrorInfo(*answer.failure).name : "served");
    if (answer.failure) {
      self->deps_.counters.AddError(*answer.failure);
    }
    self->deps_.metrics_registry.Observe("call", outcome, took);
    LogDecision("call_answered",
                {{"call", what},
                 {"outcome", outcome},
                 {"detail", answer.detail},
                 {"config_age_ms",
                  std::to_string(self->deps_.config.Age().count() / 1000)},
                 {"took_us", std::to_string(took.count())}});
    send(self->deps_.adapter.encode_answer(answer));
  };
  if (!may_relay) {
    return finish;
  }
  return [self = shared_from_this(), exchange, what, began,
          finish](const caller_answer& answer) {
    if (!self->ShouldRelay(answer, self->deps_.now() - began)) {
      finish(answer);
      return;
    }
    const auto send = [self, what, began,
                       send = exchange.reply](http_response response) {
      --self->calls_in_progress_;
      const duration took = self->deps_.now() - began;
      self->deps_.metrics_registry.Observe("call", "relayed", took);
      LogDecision("call_answered", {{"call", what},
                                    {"outcome", "relayed"},
                                    {"status", std::to_string(response.status)},
                                    {"took_us", std::to_string(took.count())}});
      send(std::move(response));
    };
    self->RelayCall(exchange.request, answer, finish, send);
  };
}

// Calls are passed on if this process has not acted on them for want of the
// store or of a configuration, unless the caller has been held up already, or
// the call may be old: the other process would not know that.
bool caller_service::ShouldRelay(const caller_answer& answer,
                                 duration took) const {
  return deps_.relay && deps_.settings.policy.relay_calls &&
         took < kMaxTimeBeforeRelay && !deps_.may_read_old_calls() &&
         (answer.failure == error_kind::kStoreUnavailable ||
          answer.failure == error_kind::kNoConfiguration);
}

void caller_service::RaiseShownVersion(std::uint64_t version) {
  std::uint64_t shown = shown_version_.load();
  while (shown < version &&
         !shown_version_.compare_exchange_weak(shown, version)) {
  }
}

void caller_service::RelayCall(const http_request& request,
                               const caller_answer& refusal,
                               const reply& answer,
                               const http_reply& send) {
  const auto config = deps_.config.Current();
  const std::uint64_t min_version =
      std::max(shown_version_.load(), config ? config->version : 0);
  deps_.relay(
      request, min_version,
      [self = shared_from_this(), refusal, answer,
       send](const relay_answer& relayed) {
        switch (relayed.state) {
          case answer_state::kDone:
            self->RaiseShownVersion(relayed.handled_by_version);
            send(relayed.response);
            return;
          case answer_state::kNotDone:
            answer(refusal);
            return;
          case answer_state::kUnknown:
            answer(self->MakeRefusal(error_kind::kStoreUnknown,
                                     "another entry process did not answer"));
            return;
        }
      });
}

void caller_service::RouteCall(const sched::caller_call& call,
                               const reply& answer) {
  const auto config = deps_.config.Current();
  if (!config) {
    answer(MakeRefusal(error_kind::kNoConfiguration, "none was read yet"));
    return;
  }
  const sched::job_queue* queue = config->FindQueue(call.host, call.path);
  const duration age = deps_.config.Age();
  if (queue == nullptr) {
    answer(age < kMaxFreshConfigAge
               ? MakeRefusal(error_kind::kNotFound, "no queue has this path")
               : MakeRefusal(error_kind::kStoreUnavailable,
                             "the configuration may be out of date"));
    return;
  }
  if (auto refusal = CheckKey(call, *config, *queue)) {
    answer(std::move(*refusal));
    return;
  }
  const std::string id = call.path.substr(queue->prefix.size());
  if (id.empty() && call.verb == caller_verb::kQuery) {
    ReadWaitingCount(queue->name, answer);
  } else if (!sched::IsJobId(id) || call.verb == caller_verb::kOther) {
    answer(MakeRefusal(error_kind::kNotFound, "the path names no job"));
  } else if (call.verb == caller_verb::kSubmit) {
    SubmitJob(call, *config, *queue, id, answer);
  } else if (call.verb == caller_verb::kQuery) {
    ReadJobState(id, answer);
  } else {
    CancelJob(id, 1, answer);
  }
}

// Returns the refusal if the key of the call is not valid. A key is accepted
// only while the configuration is recent enough to rule out that the key was
// revoked more than `revoke_time` ago.
std::optional<caller_answer> caller_service::CheckKey(
    const sched::caller_call& call,
    const sched::service_config& config,
    const sched::job_queue& queue) const {
  if (queue.allows_anonymous_calls) {
    return std::nullopt;
  }
  const duration age = deps_.config.Age();
  const bool is_known = config.team_of_key.contains(call.key);
  if (age > deps_.settings.revoke_time - kRevocationMargin ||
      (!is_known && age > kMaxFreshConfigAge)) {
    return MakeRefusal(error_kind::kStoreUnavailable,
                       "keys cannot be checked, the store is away");
  }
  if (!is_known) {
    return MakeRefusal(error_kind::kUnauthenticated, "unknown key");
  }
  return std::nullopt;
}

void caller_service::SubmitJob(const sched::caller_call& call,
                               const sched::service_config& config,
                               const sched::job_queue& queue,
                               const std::string& id,
                               const reply& answer) {
  if (deps_.may_read_old_calls()) {
    answer(MakeRefusal(error_kind::kDeadlineUnreachable,
                       "this process stood still, the call may be old"));
    return;
  }
  auto spec = deps_.adapter.decode_job(call.body);
  if (!spec) {
    answer(MakeRefusal(spec.error().kind, spec.error().detail));
    return;
  }
  sched::accepted_job job;
  job.id = id;
  job.queue = queue.name;
  job.service = queue.service;
  const auto team = config.team_of_key.find(call.key);
  job.team = team == config.team_of_key.end() ? std::string() : team->second;
  job.priority = queue.priority;
  job.max_attempts = queue.max_attempts;
  job.stretch = queue.stretch;
  job.target = queue.target;
  job.spec = std::move(spec.value());
  const auto acceptance = std::make_shared<sched::acceptance>(job);
  const table_transaction first_write = acceptance->Begin();
  if (const auto fault =
          sched::FindStorageFault(job.spec, first_write.front().value.size())) {
    deps_.counters.Add("submission_not_storable");
    answer(MakeRefusal(error_kind::kTooLarge, *fault));
    return;
  }
  if (RefuseIfWaitTooLong(job, answer)) {
    return;
  }
  CommitAcceptance(acceptance, first_write, id, answer);
}

// Refuses a job that is known to wait for longer than its objective allows.
// Returns whether the call is dealt with: the answer is sent once the tombstone
// is stored, or once the job is accepted after all.
bool caller_service::RefuseIfWaitTooLong(const sched::accepted_job& job,
                                         const reply& answer) {
  const auto tolerable =
      deps_.expected_wait ? sched::TolerableWait(job) : std::nullopt;
  if (!tolerable) {
    return false;
  }
  const duration expected = deps_.expected_wait(job.queue, job.team);
  const auto excess = sched::FindExcessWait(expected, *tolerable, 0);
  if (!excess) {
    return false;
  }
  const duration retry_after = sched::RetryDelayFor(*excess, Random());
  const auto acceptance = std::make_shared<sched::acceptance>(job);
  const table_transaction first_write =
      acceptance->BeginRefusal([expected, tolerable](int earlier_refusals) {
        return sched::FindExcessWait(expected, *tolerable, earlier_refusals)
            .has_value();
      });
  const reply finish = [self = shared_from_this(), acceptance, job, expected,
                        tolerable, retry_after,
                        answer](const caller_answer& outcome) {
    if (outcome.failure != error_kind::kStoreUnavailable ||
        !acceptance->IsRefusedByRule()) {
      self->deps_.counters.Add(outcome.failure
                                   ? "admission_store_failed"
                                   : "admission_accepted_after_all");
      answer(outcome);
      return;
    }
    self->deps_.counters.Add("admission_refused");
    LogDecision(
        "submission_refused",
        {{"job", job.id},
         {"queue", job.queue},
         {"team", job.team},
         {"expected_wait_ms", std::to_string(expected.count() / 1000)},
         {"tolerable_wait_ms", std::to_string(tolerable->count() / 1000)},
         {"retry_after_ms", std::to_string(retry_after.count() / 1000)}});
    caller_answer refusal = self->MakeRefusal(
        error_kind::kQueueFull, "it would wait for longer than its objective");
    refusal.retry_after = retry_after;
    answer(refusal);
  };
  CommitAcceptance(acceptance, first_write, job.id, finish);
  return true;
}

void caller_service::CommitAcceptance(
    std::shared_ptr<sched::acceptance> acceptance,
    const table_transaction& write,
    const std::string& id,
    const reply& answer) {
  deps_.table.commit(write, [self = shared_from_this(), acceptance, id,
                             answer](const commit_answer& stored) {
    auto next_write = acceptance->OnAnswer(stored);
    if (next_write && stored.state == answer_state::kUnknown &&
        self->deps_.store.IsUnavailable()) {
      // The next write (the tombstone) needs the same store. The caller is
      // answered at once instead of waiting for it.
      self->deps_.counters.Add("submission_left_unknown");
      answer(self->MakeRefusal(error_kind::kStoreUnknown,
                               "the store's answer was lost and it is away"));
      return;
    }
    if (next_write) {
      self->deps_.counters.Add("submission_write_repeated");
      self->CommitAcceptance(acceptance, *next_write, id, answer);
      return;
    }
    const acceptance_result outcome = *acceptance->Result();
    LogDecision("submission",
                {{"job", id},
                 {"outcome", std::string(GetName(outcome))},
                 {"store", std::string(GetName(stored.state))},
                 {"replaced", acceptance->HasReplacedTombstone() ? "tombstone"
                                                                 : "nothing"}});
    switch (outcome) {
      case acceptance_result::kAccepted:
        answer(MakeAnswer(caller_answer::kind::kAccepted));
        return;
      case acceptance_result::kRefused:
        answer(self->MakeRefusal(error_kind::kStoreUnavailable, "not stored"));
        return;
      case acceptance_result::kCancelled:
        self->deps_.counters.Add("submission_of_cancelled_job");
        answer(self->MakeRefusal(error_kind::kNoSuchJob, kCancelledEarly));
        return;
      case acceptance_result::kUnknown:
        answer(self->MakeRefusal(error_kind::kStoreUnknown,
                                 "the store's answer was lost"));
        return;
    }
  });
}

// The record of a job is written with its first start. A job without a record
// is queued if it was accepted.
void caller_service::ReadJobState(const std::string& id, const reply& answer) {
  deps_.table.read({sched::kRecordTable + id}, [self = shared_from_this(), id,
                                                answer](
                                                   const read_answer& read) {
    if (read.state != answer_state::kDone) {
      answer(self->MakeRefusal(error_kind::kStoreUnavailable,
                               "the job's record could not be read"));
      return;
    }
    if (read.rows.front().version == 0) {
      self->ReadAcceptedJob(id, answer);
      return;
    }
    const auto record = sched::DecodeRecord(read.rows.front().value);
    if (!record) {
      answer(self->MakeRefusal(error_kind::kInternal, record.error().detail));
      return;
    }
    answer(MakeStateAnswer(record.value().state));
  });
}

void caller_service::ReadAcceptedJob(const std::string& id,
                                     const reply& answer) {
  deps_.table.read({sched::JobKey(id)}, [self = shared_from_this(),
                                         answer](const read_answer& read) {
    if (read.state != answer_state::kDone) {
      answer(self->MakeRefusal(error_kind::kStoreUnavailable,
                               "the job could not be read"));
      return;
    }
    const table_row& row = read.rows.front();
    const auto job = sched::DecodeJobRow(row.value);
    answer(row.version != 0 && job && job.value().IsAccepted()
               ? MakeStateAnswer(job_state::kQueued)
               : self->MakeRefusal(error_kind::kNoSuchJob, "never accepted"));
  });
}

void caller_service::CancelJob(const std::string& id,
                               int tries,
                               const reply& answer) {
  deps_.table.read({sched::JobKey(id)}, [self = shared_from_this(), id, tries,
                                         answer](const read_answer& read) {
    if (read.state != answer_state::kDone) {
      answer(self->MakeRefusal(error_kind::kStoreUnavailable,
                               "the job could not be read"));
      return;
    }
    const table_row& row = read.rows.front();
    const auto job = sched::DecodeJobRow(row.value);
    if (row.version == 0 || !job ||
        job.value().kind == sched::job_row_kind::kRefused) {
      self->RefuseUnknownJob(id, row.version, tries, answer);
    } else if (job.value().kind == sched::job_row_kind::kCancelled) {
      answer(self->MakeRefusal(error_kind::kNoSuchJob, kCancelledEarly));
    } else {
      self->WriteCancelMark(id, answer);
    }
  });
}

// The submission may still come after the caller was told that there is no such
// job: a write of it whose answer was lost may take effect, or a process that
// stood still may read a copy. The tombstone makes either fail.
void caller_service::RefuseUnknownJob(const std::string& id,
                                      std::uint64_t version,
                                      int tries,
                                      const reply& answer) {
  deps_.table.commit(
      {{sched::JobKey(id), version,
        sched::EncodeJobRow({sched::job_row_kind::kCancelled, {}})}},
      [self = shared_from_this(), id, version, tries,
       answer](const commit_answer& stored) {
        LogDecision("cancel_of_unknown_job",
                    {{"job", id},
                     {"store", std::string(GetName(stored.state))},
                     {"replaced", version == 0 ? "nothing" : "row"},
                     {"tries", std::to_string(tries)}});
        if (stored.state == answer_state::kDone) {
          answer(self->MakeRefusal(error_kind::kNoSuchJob, "never accepted"));
        } else if (stored.state == answer_state::kNotDone &&
                   stored.reason == error_kind::kConflict &&
                   tries < kMaxCancelTries) {
          self->deps_.counters.Add("cancel_repeated");
          self->CancelJob(id, tries + 1, answer);
        } else {
          answer(self->MakeRefusal(stored.state == answer_state::kUnknown
                                       ? error_kind::kStoreUnknown
                                       : error_kind::kStoreUnavailable,
                                   "the job could not be ruled out"));
        }
      });
}

void caller_service::WriteCancelMark(const std::string& id,
                                     const reply& answer) {
  deps_.table.commit({{sched::CancelKey(id), 0, "{}"}}, [self =
                                                             shared_from_this(),
                                                         id, answer](
                                                            const commit_answer&
                                                                stored) {
    const bool is_stored = stored.state == answer_state::kDone ||
                           (stored.state == answer_state::kNotDone &&
                            stored.reason == error_kind::kConflict);
    LogDecision("cancel", {{"job", id}, {"stored", is_stored ? "yes" : "no"}});
    if (is_stored) {
      answer(MakeAnswer(caller_answer::kind::kCancelled));
    } else {
      answer(self->MakeRefusal(stored.state == answer_state::kUnknown
                                   ? error_kind::kStoreUnknown
                                   : error_kind::kStoreUnavailable,
                               "the cancelling was not stored"));
    }
  });
}

void caller_service::ReadWaitingCount(const std::string& queue,
                                      const reply& answer) {
  deps_.table.read(
      {sched::kWaitingCountsKey},
      [self = shared_from_this(), queue, answer](const read_answer& read) {
        if (read.state != answer_state::kDone) {
          answer(self->MakeRefusal(error_kind::kStoreUnavailable,
                                   "the counts could not be read"));
          return;
        }
        caller_answer count_answer = MakeAnswer(caller_answer::kind::kCount);
        if (read.rows.front().version != 0) {
          const auto waiting =
              sched::DecodeWaitingCounts(read.rows.front().value);
          if (!waiting) {
            answer(self->MakeRefusal(error_kind::kInternal,
                                     waiting.error().detail));
            return;
          }
          const auto it = waiting.value().find(queue);
          count_answer.waiting = it == waiting.value().end() ? 0 : it->second;
        }
        answer(std::move(count_answer));
      });
}

caller_answer caller_service::MakeRefusal(error_kind kind,
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
  const duration max_delay =
      std::clamp(deps_.store.OutageDuration(), kMinRetryDelay, kMaxRetryDelay);
  const std::lock_guard lock(random_mutex_);
  std::uniform_int_distribution<std::int64_t> distribution(
      kMinRetryDelay.count(), max_delay.count());
  return duration(distribution(random_));
}

double caller_service::Random() const {
  const std::lock_guard lock(random_mutex_);
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace sassafras

#include <algorithm>

#include "sassafras/config/access.h"
#include "sassafras/core/invariant.h"
#include "src/request/request_core_impl.h"

// Admission of requests, deadlines and error replies to callers.

namespace sassafras {
namespace {

constexpr duration kRetryAfterMin = std::chrono::milliseconds(500);
constexpr duration kRetryAfterMax = std::chrono::seconds(60);

}  // namespace

void request_core::impl::On(const request_arrived& event) {
  request_entry entry;
  entry.id = event.request;
  entry.arrived = now_;
  if (const auto failure = Admit(event, entry)) {
    Refuse(event.request, *failure,
           GetErrorInfo(failure->kind).retryable
               ? RetryAfter(failure->kind, &entry)
               : duration(0));
    return;
  }
  counters_.Add("request_admitted");
  const bool is_new = entries_.count(entry.id) == 0;
  CheckInvariant(is_new, "request_id_unique");
  request_entry& added = entries_[entry.id];
  added = std::move(entry);
  if (added.is_idempotent) {
    Enqueue(added);
  } else {
    added.row_key = ClaimRowKey(added.team, added.key);
    ReadClaim(added);
  }
}

std::optional<error> request_core::impl::Admit(const request_arrived& event,
                                               request_entry& entry) {
  if (is_stopping_) {
    return error{error_kind::kStopping, {}};
  }
  if (!config_) {
    return error{error_kind::kNoConfiguration, {}};
  }
  const config_set& objects = config_->objects;
  const auto caller = Authenticate(objects, event.authorization);
  if (!caller) {
    return caller.error();
  }
  const auto found = objects.classes.find(event.class_name);
  if (found == objects.classes.end() || !found->second.target ||
      found->second.kind != class_kind::kRequest) {
    return error{error_kind::kNotFound,
                 "no request class '" + event.class_name.value + "'"};
  }
  const job_class& definition = found->second;
  entry.class_name = definition.id;
  entry.team = caller.value().team;
  entry.target = *definition.target;
  entry.urgency_level = definition.urgency_level;
  entry.is_idempotent = definition.is_idempotent;
  entry.key = event.key;
  entry.body_sha256 = event.body_sha256;
  const duration limit = event.timeout > duration(0)
                             ? std::min(event.timeout, definition.timeout)
                             : definition.timeout;
  entry.deadline = now_ + limit;
  if (!entry.is_idempotent && entry.key.empty()) {
    return error{error_kind::kKeyMissing, {}};
  }
  if (!entry.key.empty() && !IsValidName(entry.key)) {
    return error{error_kind::kMalformed, "idempotency key"};
  }
  return CheckLoad(entry, definition);
}

std::optional<error> request_core::impl::CheckLoad(
    const request_entry& entry,
    const job_class& definition) {
  const auto it = targets_.find(entry.target);
  if (it == targets_.end() || it->second->is_leaving) {
    return error{error_kind::kTargetLeaving, {}};
  }
  target_state& state = *it->second;
  if (!state.pool.HasMinions(now_)) {
    return error{error_kind::kNoMinion, {}};
  }
  if (state.queue.Waiting(entry.class_name, entry.team) >=
      definition.queue_limit) {
    return error{error_kind::kQueueFull, {}};
  }
  const service_time& service = service_times_[entry.class_name];
  // Half of the expected time: only requests that are very unlikely to meet the
  // deadline are refused.
  const duration needed = (ExpectedWait(entry) + service.Mean()) / 2;
  if (service.HasEnoughSamples() && now_ + needed > entry.deadline) {
    return error{error_kind::kDeadlineUnreachable, {}};
  }
  return std::nullopt;
}

duration request_core::impl::ExpectedWait(const request_entry& entry) {
  const auto it = targets_.find(entry.target);
  if (it == targets_.end() ||
      !it->second->overall_service_time.HasEnoughSamples()) {
    return duration(0);
  }
  const target_state& state = *it->second;
  const int slots = std::max(1, state.pool.UsableSlots(now_));
  return state.overall_service_time.Mean() *
         state.queue.WaitingBefore(entry.urgency_level) / slots;
}

// Returns a random delay between one and three times the expected wait (clamped
// to 500 ms to 60 s), so that callers do not all retry at once.
duration request_core::impl::RetryAfter(error_kind /*kind*/,
                                        const request_entry* entry) {
  const duration wait = entry != nullptr ? ExpectedWait(*entry) : duration(0);
  const duration base = std::clamp(wait, kRetryAfterMin, kRetryAfterMax);
  std::uniform_int_distribution<std::int64_t> spread(base.count(),
                                                     3 * base.count());
  return duration(spread(*random_));
}

void request_core::impl::Refuse(request_id request,
                                const error& failure,
                                duration retry_after) {
  counters_.AddError(failure.kind);
  actions_.emplace_back(
      reply_error{request, failure, run_outcome::kNotRun, retry_after});
  actions_.emplace_back(request_ended{request});
}

void request_core::impl::Fail(request_entry& entry, error failure) {
  run_outcome outcome = run_outcome::kNotRun;
  if (entry.has_run) {
    outcome = run_outcome::kRan;
  } else if (entry.MayHaveRun()) {
    outcome = run_outcome::kUnknown;
  }
  FailAs(entry, std::move(failure), outcome);
}

void request_core::impl::FailAs(request_entry& entry,
                                error failure,
                                run_outcome outcome) {
  if (entry.is_answered) {
    return;
  }
  CheckInvariant(outcome != run_outcome::kNotRun || !entry.MayHaveRun(),
                 "request_not_run_means_unsent");
  entry.is_answered = true;
  counters_.AddError(failure.kind);
  const duration retry_after = GetErrorInfo(failure.kind).retryable
                                   ? RetryAfter(failure.kind, &entry)
                                   : duration(0);
  actions_.emplace_back(
      reply_error{entry.id, std::move(failure), outcome, retry_after});
}

void request_core::impl::End(request_entry& entry) {
  const request_id id = entry.id;
  CheckInvariant(entry.is_answered, "request_ends_answered");
  CheckInvariant(!entry.reserved, "request_ends_without_slot");
  SetWake(entry, std::nullopt);
  if (entry.phase == request_phase::kQueued) {
    TargetOf(entry).queue.Remove(id);
  }
  AbandonSends(entry, false);
  entries_.erase(id);
  actions_.emplace_back(request_ended{id});
}

// Fails the request and ends it, unless its claim has to be released first or
// its non-idempotent send or its record has to finish.
void request_core::impl::GiveUp(request_entry& entry, error failure) {
  Fail(entry, std::move(failure));
  switch (entry.phase) {
    case request_phase::kReading:
    case request_phase::kWaitingForHolder:
    case request_phase::kLoading:
    case request_phase::kBackoff:
      End(entry);
      return;
    case request_phase::kQueued:
      if (entry.is_claimed) {
        TargetOf(entry).queue.Remove(entry.id);
        AbandonClaim(entry);
        return;
      }
      End(entry);
      return;
    case request_phase::kClaiming:
    case request_phase::kReleasing:
      AbandonClaim(entry);
      return;
    case request_phase::kSent:
      if (entry.is_idempotent) {
        End(entry);
      }
      return;
    case request_phase::kStoring:
    case request_phase::kRecording:
      return;
  }
}

void request_core::impl::On(const caller_disconnected& event) {
  request_entry* entry = Find(event.request);
  if (entry == nullptr) {
    return;
  }
  if (!entry->is_answered) {
    counters_.Add("request_caller_gone");
    entry->is_answered = true;
  }
  GiveUp(*entry, {error_kind::kCancelled, {}});
}

void request_core::impl::OnDeadline(request_entry& entry) {
  switch (entry.phase) {
    case request_phase::kReading:
    case request_phase::kClaiming:
    case request_phase::kReleasing:
      GiveUp(entry, {error_kind::kStoreUnavailable, {}});
      return;
    case request_phase::kWaitingForHolder:
      FailAs(entry, {error_kind::kInProgress, {}}, run_outcome::kUnknown);
      End(entry);
      return;
    case request_phase::kLoading:
      FailAs(entry, {error_kind::kStoreUnavailable, "answer"},
             run_outcome::kRan);
      End(entry);
      return;
    case request_phase::kQueued:
      if (!entry.is_idempotent && !writer_.IsStoreAvailable()) {
        GiveUp(entry, {error_kind::kStoreUnavailable, {}});
        return;
      }
      [[fallthrough]];
    case request_phase::kBackoff:
      GiveUp(entry, entry.attempts > 0 && entry.MayHaveRun()
                        ? entry.last_failure
                        : error{error_kind::kTimedOut, {}});
      return;
    case request_phase::kSent:
      // A non-idempotent request ends with its send, whose timeout expires at
      // the same time.
      if (entry.is_idempotent) {
        GiveUp(entry, {error_kind::kMinionLost, "no answer in time"});
      }
      return;
    case request_phase::kStoring:
    case request_phase::kRecording:
      FailAs(entry, {error_kind::kMinionLost, "first submission"},
             run_outcome::kUnknown);
      return;
  }
}

void request_core::impl::OnWake(request_entry& entry) {
  if (now_ >= entry.deadline && !entry.is_answered) {
    OnDeadline(entry);
    return;
  }
  switch (entry.phase) {
    case request_phase::kWaitingForHolder:
      ReadClaim(entry);
      return;
    case request_phase::kLoading:
      actions_.emplace_back(load_answer{entry.id, entry.claim.object});
      SetWake(entry, entry.deadline);
      return;
    case request_phase::kBackoff:
      Enqueue(entry);
      return;
    case request_phase::kSent:
      Hedge(entry);
      return;
    case request_phase::kStoring:
      StoreAnswer(entry);
      return;
    case request_phase::kClaiming:
      // The store is slow: release the slot for other requests.
      if (entry.reserved) {
        counters_.Add("claim_slot_given_up");
        ReleaseReserved(entry);
      }
      SetWake(entry, entry.deadline);
      return;
    case request_phase::kReading:
    case request_phase::kQueued:
    case request_phase::kReleasing:
    case request_phase::kRecording:
      if (now_ < entry.deadline) {
        SetWake(entry, entry.deadline);
      }
      return;
  }
}

}  // namespace sassafras

#include <algorithm>

#include "sassafras/core/invariant.h"
#include "src/request/request_core_impl.h"

// Dispatch of queued requests to minions, hedging and retries.

namespace sassafras {
namespace {

constexpr int kMaxAttempts = 4;
constexpr int kFirstFailureStatus = 400;
constexpr int kFirstServerStatus = 500;
constexpr int kHeadroomDivisor = 64;  // 1/64 of the slots.
constexpr duration kHedgeMin = std::chrono::milliseconds(20);
constexpr duration kBackoffBase = std::chrono::milliseconds(10);
constexpr duration kBackoffMax = std::chrono::seconds(1);
constexpr int kMaxDoublings = 6;

bool IsAnswered(const send_ended& event) {
  return event.state == answer_state::kDone && !event.refused_leaving;
}

bool IsSuccess(const send_ended& event) {
  return IsAnswered(event) && event.status < kFirstFailureStatus;
}

send_result ClassifySend(const send_ended& event) {
  if (event.refused_leaving) {
    return send_result::kNeutral;
  }
  const bool is_bad =
      event.state != answer_state::kDone || event.status >= kFirstServerStatus;
  return is_bad ? send_result::kFailure : send_result::kSuccess;
}

error FailureOf(const send_ended& event) {
  if (IsAnswered(event)) {
    return {error_kind::kMinionFailed,
            "status " + std::to_string(event.status)};
  }
  if (event.state == answer_state::kNotDone) {
    return {error_kind::kNoMinion, "no connection"};
  }
  return {error_kind::kMinionLost,
          event.refused_leaving ? "the minion is leaving" : ""};
}

}  // namespace

void request_core::impl::Enqueue(request_entry& entry) {
  entry.phase = request_phase::kQueued;
  TargetOf(entry).queue.Push(
      {entry.id, entry.class_name, entry.team, entry.deadline});
  SetWake(entry, entry.deadline);
}

void request_core::impl::Dispatch(target_state& state) {
  while (state.queue.Size() > 0 && DispatchOne(state)) {
  }
}

bool request_core::impl::CanDispatch(const target_state& state,
                                     const job_class& definition,
                                     int free,
                                     int slots) const {
  // While the store is unavailable, one claim at a time probes it.
  const bool may_claim = writer_.IsStoreAvailable() ||
                         (writer_.CanCallStore(now_) && writer_.IsIdle());
  if (!definition.is_idempotent && !may_claim) {
    return false;
  }
  return definition.urgency_level == urgency::kUrgent ||
         free > Headroom(state, slots);
}

// Number of slots reserved for urgent requests.
int request_core::impl::Headroom(const target_state& state, int slots) {
  return state.has_urgent ? slots / kHeadroomDivisor : 0;
}

// Assigns one free slot to the next request in the queue. Returns whether
// another request may be dispatchable.
bool request_core::impl::DispatchOne(target_state& state) {
  const int free = state.pool.FreeSlots(now_);
  if (free <= 0) {
    return false;
  }
  const int slots = free + state.pool.TotalInFlight();
  const auto next = state.queue.Pop(slots, [&](const job_class& definition) {
    return CanDispatch(state, definition, free, slots);
  });
  if (!next) {
    return false;
  }
  request_entry& entry = entries_.at(*next);
  const service_time& service = service_times_[entry.class_name];
  if (service.HasEnoughSamples() &&
      now_ + service.Mean() + service.Deviation() > entry.deadline) {
    state.queue.RecordSlotReleased(entry.class_name);
    GiveUp(entry, {error_kind::kDeadlineUnreachable, {}});
    return true;
  }
  const auto minion = ChooseMinion(entry);
  if (!minion) {
    state.queue.RecordSlotReleased(entry.class_name);
    Enqueue(entry);
    return false;
  }
  state.pool.AcquireSlot(*minion);
  if (entry.is_idempotent || entry.is_claimed) {
    Send(entry, *minion);
  } else {
    StartClaim(entry, *minion);
  }
  return true;
}

std::optional<minion_id> request_core::impl::ChooseMinion(
    const request_entry& entry) {
  minion_requirements need;
  need.is_urgent = entry.urgency_level == urgency::kUrgent;
  need.is_idempotent = entry.is_idempotent;
  need.avoid = entry.tried_minions;
  return TargetOf(entry).pool.Choose(need, now_, *random_);
}

// Sends the request using a slot that is already counted by pool.AcquireSlot()
// and in the queue.
void request_core::impl::Send(request_entry& entry, const minion_id& minion) {
  target_state& state = TargetOf(entry);
  CheckInvariant(!state.pool.IsLeaving(minion, now_),
                 "request_no_work_to_leaving_minion");
  CheckInvariant(
      entry.is_idempotent || (entry.is_claimed && !entry.MayHaveRun()),
      "request_claimed_before_single_dispatch");
  if (!entry.is_counted_in_budget) {
    entry.is_counted_in_budget = true;
    state.budget.OnFirstSend();
  }
  entry.phase = request_phase::kSent;
  ++entry.sent;
  ++entry.attempts;
  entry.tried_minions.insert(minion);
  const send_id id = next_send_++;
  entry.sends.insert(id);
  sends_[id] = {entry.id, entry.target, minion, entry.class_name, now_, false};

  send_request send;
  send.send = id;
  send.request = entry.id;
  send.minion = minion;
  send.address = state.pool.Address(minion);
  send.class_name = entry.class_name;
  send.key = entry.key;
  send.timeout = std::max(duration(1), entry.deadline - now_);
  send.max_connections = state.pool.MaxConnections(minion);
  // A pooled connection may be half-open and lose the request without an error,
  // so non-idempotent requests and repeated attempts use a new connection.
  const bool is_fresh = !entry.is_idempotent || entry.attempts > 1;
  send.connection =
      is_fresh ? connection_choice::kFresh : connection_choice::kPooled;
  if (is_fresh) {
    actions_.emplace_back(trim_connections{
        send.address, send.max_connections - state.pool.InFlight(minion)});
  }
  actions_.emplace_back(std::move(send));
  const instant hedge_at = now_ + HedgeDelay(entry);
  SetWake(entry, std::min(entry.deadline, hedge_at));
}

duration request_core::impl::HedgeDelay(const request_entry& entry) {
  const service_time& service = service_times_[entry.class_name];
  if (!entry.is_idempotent || !service.HasEnoughSamples()) {
    return entry.deadline - now_;
  }
  return std::max(kHedgeMin, service.UpperEstimate());
}

// Hedging: if the answer to an idempotent request takes much longer than usual,
// sends the request to a second minion, within the retry budget.
void request_core::impl::Hedge(request_entry& entry) {
  const bool may_hedge = entry.is_idempotent && entry.sends.size() == 1 &&
                         entry.attempts < kMaxAttempts;
  target_state& state = TargetOf(entry);
  if (may_hedge && state.pool.FreeSlots(now_) > 0) {
    const auto minion = ChooseMinion(entry);
    if (minion && entry.tried_minions.count(*minion) == 0) {
      if (state.budget.TryConsume()) {
        counters_.Add("retry_hedge");
        state.pool.AcquireSlot(*minion);
        state.queue.RecordSlotAcquired(entry.class_name);
        Send(entry, *minion);
        return;
      }
      counters_.Add("retry_budget_spent");
    }
  }
  const duration wait = HedgeDelay(entry);
  SetWake(entry,
          may_hedge ? std::min(entry.deadline, now_ + wait) : entry.deadline);
}

void request_core::impl::ReleaseSlot(const in_flight_send& send,
                                     send_result verdict) {
  target_state& state = *targets_.at(send.target);
  state.queue.RecordSlotReleased(send.class_name);
  state.pool.ReleaseSlot(send.minion, verdict, now_, *random_);
}

// Without an answer the minion may still be working: frees its slot after the
// upper estimate of the service time.
void request_core::impl::ReleaseLater(const in_flight_send& send) {
  target_state& state = *targets_.at(send.target);
  state.queue.RecordSlotReleased(send.class_name);
  const instant free_at =
      now_ + service_times_[send.class_name].UpperEstimate();
  state.pool.ReleaseSlotAt(send.minion, free_at, now_, *random_);
}

void request_core::impl::ReleaseReserved(request_entry& entry) {
  if (entry.reserved) {
    target_state& state = TargetOf(entry);
    state.queue.RecordSlotReleased(entry.class_name);
    state.pool.ReleaseSlot(*entry.reserved, send_result::kNeutral, now_,
                           *random_);
    entry.reserved.reset();
  }
}

void request_core::impl::On(const send_ended& event) {
  const auto it = sends_.find(event.send);
  if (it == sends_.end()) {
    counters_.Add("send_end_unexpected");
    return;
  }
  const in_flight_send ended = it->second;
  sends_.erase(it);
  target_state& state = *targets_.at(ended.target);
  if (event.refused_leaving) {
    state.pool.RecordRefusal(ended.minion, now_);
  }
  if (event.state == answer_state::kUnknown) {
    ReleaseLater(ended);
  } else {
    ReleaseSlot(ended, ended.is_abandoned ? send_result::kNeutral
                                          : ClassifySend(event));
  }
  if (ended.is_abandoned) {
    return;
  }
  request_entry* entry = &entries_.at(ended.request);
  entry->sends.erase(event.send);
  // The duration of a send that was in flight while this process was paused
  // includes the pause, so it is not a sample of the service time.
  const bool is_timed = !resumed_at_ || ended.started >= *resumed_at_;
  if (IsSuccess(event) && is_timed) {
    service_times_[entry->class_name].Add(now_ - ended.started);
    state.overall_service_time.Add(now_ - ended.started);
  }
  if (IsAnswered(event)) {
    entry->has_run = true;
  }
  if (event.state == answer_state::kNotDone) {
    --entry->sent;
  }
  if (entry->is_idempotent) {
    OnIdempotentSendEnded(*entry, event);
  } else {
    OnClaimedSendEnded(*entry, event);
  }
}

void request_core::impl::OnIdempotentSendEnded(request_entry& entry,
                                               const send_ended& event) {
  if (IsSuccess(event)) {
    if (!entry.is_answered) {
      entry.is_answered = true;
      counters_.Add("request_answered");
      actions_.emplace_back(reply_answer{entry.id, event.send});
    }
    AbandonSends(entry, true);
    End(entry);
    return;
  }
  entry.last_failure = FailureOf(event);
  if (!entry.sends.empty()) {
    return;  // Another send is in flight and may succeed.
  }
  const bool is_caller_error =
      IsAnswered(event) && event.status < kFirstServerStatus;
  if (is_caller_error) {
    Fail(entry, entry.last_failure);
    End(entry);
    return;
  }
  Retry(entry, entry.last_failure, event.refused_leaving);
}

// Schedules another attempt of an idempotent request, or of one that did not
// reach a minion.
void request_core::impl::Retry(request_entry& entry,
                               error failure,
                               bool is_exempt_from_budget) {
  const bool may_retry = entry.attempts < kMaxAttempts && !entry.is_answered;
  if (!may_retry ||
      (!is_exempt_from_budget && !TargetOf(entry).budget.TryConsume())) {
    counters_.Add(may_retry ? "retry_budget_spent" : "retry_limit_reached");
    Fail(entry, std::move(failure));
    End(entry);
    return;
  }
  counters_.Add("retry_" + std::string(GetErrorInfo(failure.kind).name));
  const duration limit =
      std::min(kBackoffMax,
               kBackoffBase * (1 << std::min(entry.attempts, kMaxDoublings)));
  std::uniform_int_distribution<std::int64_t> wait(0, limit.count());
  entry.phase = request_phase::kBackoff;
  SetWake(entry, std::min(entry.deadline, now_ + duration(wait(*random_))));
}

// Detaches the request from its sends. The sends are not cancelled, since the
// minion might continue to work on them; their slots are freed when they end.
// With `should_record_failures`, records a failure of each minion whose send
// lost to an earlier answer.
void request_core::impl::AbandonSends(request_entry& entry,
                                      bool should_record_failures) {
  for (const send_id id : entry.sends) {
    in_flight_send& send = sends_.at(id);
    send.is_abandoned = true;
    if (should_record_failures) {
      targets_.at(send.target)->pool.RecordFailure(send.minion, now_, *random_);
    }
  }
  entry.sends.clear();
}

void request_core::impl::OnClaimedSendEnded(request_entry& entry,
                                            const send_ended& event) {
  if (IsAnswered(event)) {
    entry.answer_send = event.send;
    if (!IsSuccess(event)) {
      Fail(entry, FailureOf(event));
    } else if (!entry.is_answered) {
      entry.is_answered = true;
      counters_.Add("request_answered");
      actions_.emplace_back(reply_answer{entry.id, event.send});
    }
    StoreAnswer(entry);
    return;
  }
  if (event.state == answer_state::kNotDone) {
    entry.last_failure = FailureOf(event);
    WriteClaim(entry, claim_state::kReleased);
    entry.phase = request_phase::kReleasing;
    SetWake(entry, entry.deadline);
    return;
  }
  Fail(entry, FailureOf(event));
  RecordClaim(entry, claim_state::kUnknown);
}

}  // namespace sassafras

#include <algorithm>

#include "sassafras/core/invariant.h"
#include "src/request/request_core_impl.h"

// Slots, sends and further tries.

namespace sassafras {
namespace {

constexpr int kMaxTries = 4;
constexpr int kFirstFailureStatus = 400;
constexpr int kFirstServerStatus = 500;
constexpr int kHeadroomShare = 64;  // One of so many slots.
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

send_verdict Judge(const send_ended& event) {
  if (event.refused_leaving) {
    return send_verdict::kNeutral;
  }
  const bool is_bad =
      event.state != answer_state::kDone || event.status >= kFirstServerStatus;
  return is_bad ? send_verdict::kBad : send_verdict::kGood;
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

void request_core::impl::Dispatch(target_state& owner) {
  while (owner.queue.Size() > 0 && DispatchOne(owner)) {
  }
}

bool request_core::impl::MayTake(const target_state& owner,
                                 const job_class& definition,
                                 int free,
                                 int slots) const {
  // While the store is away one claim at a time finds out when it is back.
  const bool may_claim =
      writer_.IsStoreWell() || (writer_.MayCall(now_) && writer_.IsIdle());
  if (!definition.idempotent && !may_claim) {
    return false;
  }
  return definition.order == urgency::kUrgent || free > Headroom(owner, slots);
}

// Slots that only urgent requests may take.
int request_core::impl::Headroom(const target_state& owner, int slots) {
  return owner.has_urgent ? slots / kHeadroomShare : 0;
}

// Gives one free slot to the request that is next. Returns whether there may
// be another.
bool request_core::impl::DispatchOne(target_state& owner) {
  const int free = owner.pool.FreeSlots(now_);
  if (free <= 0) {
    return false;
  }
  const int slots = free + owner.pool.TotalInWork();
  const auto next = owner.queue.Pop(slots, [&](const job_class& definition) {
    return MayTake(owner, definition, free, slots);
  });
  if (!next) {
    return false;
  }
  request_entry& entry = entries_.at(*next);
  const service_time& service = services_[entry.class_name];
  if (service.IsKnown() &&
      now_ + service.Mean() + service.Deviation() > entry.deadline) {
    owner.queue.Finish(entry.class_name);
    GiveUp(entry, {error_kind::kDeadlineUnreachable, {}});
    return true;
  }
  const auto minion = ChooseMinion(entry);
  if (!minion) {
    owner.queue.Finish(entry.class_name);
    Enqueue(entry);
    return false;
  }
  owner.pool.Start(*minion);
  if (entry.is_idempotent || entry.is_claimed) {
    Send(entry, *minion);
  } else {
    StartClaim(entry, *minion);
  }
  return true;
}

std::optional<minion_id> request_core::impl::ChooseMinion(
    const request_entry& entry) {
  minion_need need;
  need.is_urgent = entry.order == urgency::kUrgent;
  need.is_idempotent = entry.is_idempotent;
  need.avoid = entry.tried;
  return TargetOf(entry).pool.Choose(need, now_, *random_);
}

// Sends on a slot that was counted by pool.Start() and in the queue.
void request_core::impl::Send(request_entry& entry, const minion_id& minion) {
  target_state& owner = TargetOf(entry);
  CheckInvariant(!owner.pool.IsLeaving(minion, now_),
                 "request_no_work_to_leaving_minion");
  CheckInvariant(
      entry.is_idempotent || (entry.is_claimed && !entry.MayHaveRun()),
      "request_claimed_before_single_dispatch");
  if (!entry.has_budget) {
    entry.has_budget = true;
    owner.budget.OnFirst();
  }
  entry.phase = request_phase::kSent;
  ++entry.sent;
  ++entry.tries;
  entry.tried.insert(minion);
  const send_id id = next_send_++;
  entry.sends.insert(id);
  sends_[id] = {entry.id, entry.target, minion, entry.class_name, now_, false};

  send_request send;
  send.send = id;
  send.request = entry.id;
  send.minion = minion;
  send.address = owner.pool.Address(minion);
  send.class_name = entry.class_name;
  send.key = entry.key;
  send.timeout = std::max(duration(1), entry.deadline - now_);
  send.max_connections = owner.pool.MaxConnections(minion);
  // Nothing may be lost on a connection that has gone silent.
  const bool is_fresh = !entry.is_idempotent || entry.tries > 1;
  send.connection =
      is_fresh ? connection_choice::kFresh : connection_choice::kPooled;
  if (is_fresh) {
    actions_.emplace_back(trim_connections{
        send.address, send.max_connections - owner.pool.InWork(minion)});
  }
  actions_.emplace_back(std::move(send));
  const instant hedge_at = now_ + HedgeDelay(entry);
  SetWake(entry, std::min(entry.deadline, hedge_at));
}

duration request_core::impl::HedgeDelay(const request_entry& entry) {
  const service_time& service = services_[entry.class_name];
  if (!entry.is_idempotent || !service.IsKnown()) {
    return entry.deadline - now_;
  }
  return std::max(kHedgeMin, service.Long());
}

// An answer that is late by far may never come: a second send of idempotent
// work goes to another minion, within the budget.
void request_core::impl::Hedge(request_entry& entry) {
  const bool may_hedge =
      entry.is_idempotent && entry.sends.size() == 1 && entry.tries < kMaxTries;
  target_state& owner = TargetOf(entry);
  if (may_hedge && owner.pool.FreeSlots(now_) > 0) {
    const auto minion = ChooseMinion(entry);
    if (minion && entry.tried.count(*minion) == 0) {
      if (owner.budget.TryTake()) {
        counters_.Add("retry_hedge");
        owner.pool.Start(*minion);
        owner.queue.Start(entry.class_name);
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

void request_core::impl::ReleaseSlot(const live_send& send,
                                     send_verdict verdict) {
  target_state& owner = *targets_.at(send.target);
  owner.queue.Finish(send.class_name);
  owner.pool.Finish(send.minion, verdict, now_, *random_);
}

// Without an answer the minion may still be at work.
void request_core::impl::ReleaseLater(const live_send& send) {
  target_state& owner = *targets_.at(send.target);
  owner.queue.Finish(send.class_name);
  const instant free_at = now_ + services_[send.class_name].Long();
  owner.pool.FinishLater(send.minion, free_at, now_, *random_);
}

void request_core::impl::ReleaseReserved(request_entry& entry) {
  if (entry.reserved) {
    target_state& owner = TargetOf(entry);
    owner.queue.Finish(entry.class_name);
    owner.pool.Finish(*entry.reserved, send_verdict::kNeutral, now_, *random_);
    entry.reserved.reset();
  }
}

void request_core::impl::On(const send_ended& event) {
  const auto it = sends_.find(event.send);
  if (it == sends_.end()) {
    counters_.Add("send_end_unexpected");
    return;
  }
  const live_send ended = it->second;
  sends_.erase(it);
  target_state& owner = *targets_.at(ended.target);
  if (event.refused_leaving) {
    owner.pool.NoteRefusal(ended.minion, now_);
  }
  if (event.state == answer_state::kUnknown) {
    ReleaseLater(ended);
  } else {
    ReleaseSlot(ended,
                ended.is_abandoned ? send_verdict::kNeutral : Judge(event));
  }
  if (ended.is_abandoned) {
    return;
  }
  request_entry* entry = &entries_.at(ended.request);
  entry->sends.erase(event.send);
  // Of a send that was in progress during a pause of this process, the time
  // tells of the pause.
  const bool is_timed = !resumed_at_ || ended.started >= *resumed_at_;
  if (IsSuccess(event) && is_timed) {
    services_[entry->class_name].Add(now_ - ended.started);
    owner.service.Add(now_ - ended.started);
  }
  if (IsAnswered(event)) {
    entry->has_run = true;
  }
  if (event.state == answer_state::kNotDone) {
    --entry->sent;
  }
  if (entry->is_idempotent) {
    OnIdempotentEnded(*entry, event);
  } else {
    OnClaimedEnded(*entry, event);
  }
}

void request_core::impl::OnIdempotentEnded(request_entry& entry,
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
    return;  // Another send may still be answered.
  }
  const bool is_answer_of_caller_fault =
      IsAnswered(event) && event.status < kFirstServerStatus;
  if (is_answer_of_caller_fault) {
    Fail(entry, entry.last_failure);
    End(entry);
    return;
  }
  Retry(entry, entry.last_failure, event.refused_leaving);
}

// A further try of idempotent work, or of work that was never sent.
void request_core::impl::Retry(request_entry& entry,
                               error failure,
                               bool is_free) {
  const bool may_retry = entry.tries < kMaxTries && !entry.is_answered;
  if (!may_retry || (!is_free && !TargetOf(entry).budget.TryTake())) {
    counters_.Add(may_retry ? "retry_budget_spent" : "retry_limit_reached");
    Fail(entry, std::move(failure));
    End(entry);
    return;
  }
  counters_.Add("retry_" + std::string(GetErrorInfo(failure.kind).name));
  const duration limit = std::min(
      kBackoffMax, kBackoffBase * (1 << std::min(entry.tries, kMaxDoublings)));
  std::uniform_int_distribution<std::int64_t> wait(0, limit.count());
  entry.phase = request_phase::kBackoff;
  SetWake(entry, std::min(entry.deadline, now_ + duration(wait(*random_))));
}

// Takes the request off its sends. They are not broken off, since a minion may
// go on working unseen: their slots are free when they have ended.
void request_core::impl::AbandonSends(request_entry& entry, bool is_slow) {
  for (const send_id id : entry.sends) {
    live_send& send = sends_.at(id);
    send.is_abandoned = true;
    if (is_slow) {
      targets_.at(send.target)->pool.NoteBad(send.minion, now_, *random_);
    }
  }
  entry.sends.clear();
}

void request_core::impl::OnClaimedEnded(request_entry& entry,
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
  Record(entry, claim_state::kUnknown);
}

}  // namespace sassafras

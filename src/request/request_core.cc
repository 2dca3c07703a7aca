#include "sassafras/request/request_core.h"

#include <algorithm>

#include "sassafras/core/invariant.h"
#include "src/request/request_core_impl.h"

namespace sassafras {
namespace {

constexpr duration kMaxWakeInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxLostMembers = 1000;
constexpr int kMaxRequestedSlots = 32;
constexpr int kLendingReserveDivisor = 32;  // 1/32 of the slots is never lent.

void SetIfEarlier(std::optional<instant>& first,
                  std::optional<instant> candidate) {
  if (candidate && (!first || *candidate < *first)) {
    first = candidate;
  }
}

bool HasUrgentClass(const config_set& objects, const target_id& target) {
  return std::any_of(objects.classes.begin(), objects.classes.end(),
                     [&](const auto& item) {
                       return item.second.target == target &&
                              item.second.urgency_level == urgency::kUrgent;
                     });
}

}  // namespace

request_core::request_core(request_options options, counter_table& counters)
    : impl_(std::make_unique<impl>(std::move(options), counters)) {}

request_core::~request_core() = default;

request_actions request_core::Handle(const request_event& event,
                                     instant now,
                                     random_engine& random) {
  return impl_->Handle(event, now, random);
}

std::optional<instant> request_core::NextWake() const {
  return impl_->NextWake();
}

request_load request_core::Load() const {
  return impl_->Load();
}

request_core::impl::impl(request_options options, counter_table& counters)
    : options_(std::move(options)),
      counters_(counters),
      writer_(counters, [this] { return next_call_++; }) {}

request_actions request_core::impl::Handle(const request_event& event,
                                           instant now,
                                           random_engine& random) {
  now_ = std::max(now, now_);
  random_ = &random;
  actions_.clear();
  DetectPause();
  std::visit([this](const auto& item) { On(item); }, event);
  ProcessDueWork();
  return std::move(actions_);
}

// After a pause the known membership may be outdated: suspends the use of slots
// until the next members_changed.
void request_core::impl::DetectPause() {
  if (next_wake_ && now_ > *next_wake_ + kPauseLimit && !is_suspended_) {
    is_suspended_ = true;
    resumed_at_ = now_;
    counters_.Add("request_pause_noticed");
    ApplyMembers();
  }
}

// Runs after each event: handles due deadlines and timers, dispatches requests,
// appends due messages and store calls, and computes the next wake-up time.
void request_core::impl::ProcessDueWork() {
  while (!wakes_.empty() && wakes_.begin()->first <= now_) {
    request_entry& entry = entries_.at(wakes_.begin()->second);
    SetWake(entry, std::nullopt);
    OnWake(entry);
  }
  for (auto& [id, state] : targets_) {
    state->pool.Advance(now_, *random_);
    Dispatch(*state);
    state->requested_slots = SlotsToRequest(*state);
    state->loans.Pump(state->requested_slots, now_, actions_);
    for (std::string& address : state->pool.TakeAddressesToClose()) {
      actions_.emplace_back(trim_connections{std::move(address), 0});
    }
  }
  StartReads();
  writer_.Pump(now_, actions_);
  if (is_stopping_ && !is_stopped_ && entries_.empty() && sends_.empty()) {
    is_stopped_ = true;
    actions_.emplace_back(stop_completed{});
  }
  next_wake_ = now_ + kMaxWakeInterval;
  if (!wakes_.empty()) {
    SetIfEarlier(next_wake_, wakes_.begin()->first);
  }
  SetIfEarlier(next_wake_, writer_.NextWake());
  if (!pending_reads_.empty() && reads_.empty()) {
    SetIfEarlier(next_wake_, writer_.RetryAt());
  }
  for (const auto& [id, state] : targets_) {
    SetIfEarlier(next_wake_, state->loans.NextWake(state->requested_slots));
    SetIfEarlier(next_wake_, state->pool.NextWake(now_));
  }
}

int request_core::impl::SlotsToRequest(const target_state& state) const {
  const int waiting = state.queue.Size();
  if (waiting == 0 || is_suspended_ || members_.size() < 2) {
    return 0;
  }
  const int free = state.pool.FreeSlots(now_);
  if (free > Headroom(state, free + state.pool.TotalInFlight())) {
    return 0;
  }
  return std::min(waiting, kMaxRequestedSlots);
}

std::optional<instant> request_core::impl::NextWake() const {
  return next_wake_;
}

request_load request_core::impl::Load() const {
  request_load load;
  for (const auto& [id, state] : targets_) {
    load.waiting += state->queue.Size();
  }
  load.in_flight = static_cast<int>(sends_.size());
  load.open = static_cast<int>(entries_.size());
  return load;
}

request_entry* request_core::impl::Find(request_id request) {
  const auto it = entries_.find(request);
  return it == entries_.end() ? nullptr : &it->second;
}

target_state& request_core::impl::TargetOf(const request_entry& entry) {
  return *targets_.at(entry.target);
}

void request_core::impl::SetWake(request_entry& entry,
                                 std::optional<instant> at) {
  if (entry.wake) {
    wakes_.erase({*entry.wake, entry.id});
  }
  entry.wake = at;
  if (at) {
    wakes_.emplace(*at, entry.id);
  }
}

void request_core::impl::On(const config_changed& event) {
  config_ = event.config;
  if (!config_) {
    return;
  }
  const config_set& objects = config_->objects;
  for (const auto& [id, definition] : objects.targets) {
    auto& state = targets_[id];
    if (!state) {
      state = std::make_unique<target_state>(id, options_, counters_);
    }
    state->is_leaving = definition.is_leaving;
    state->queue.Configure(objects, id);
    state->pool.Configure(definition, options_.gateway_count, now_);
    state->has_urgent = HasUrgentClass(objects, id);
  }
  for (auto& [id, state] : targets_) {
    if (objects.targets.count(id) == 0) {
      state->is_leaving = true;
      state->pool.Configure({id, true, {}}, options_.gateway_count, now_);
    }
  }
  ApplyMembers();
  std::vector<request_id> refused;
  for (const auto& [id, entry] : entries_) {
    const bool is_waiting = entry.phase == request_phase::kQueued ||
                            entry.phase == request_phase::kBackoff;
    if (is_waiting && TargetOf(entry).is_leaving) {
      refused.push_back(id);
    }
  }
  for (const request_id id : refused) {
    GiveUp(entries_.at(id), {error_kind::kTargetLeaving, {}});
  }
}

void request_core::impl::On(const members_changed& event) {
  std::vector<gateway_member> members = event.gateways;
  std::sort(members.begin(), members.end());
  for (const gateway_member& member : members_) {
    if (!std::binary_search(members.begin(), members.end(), member)) {
      lost_members_.insert(member);
    }
  }
  for (const gateway_member& member : members) {
    lost_members_.erase(member);
  }
  if (lost_members_.size() > kMaxLostMembers) {
    lost_members_.erase(lost_members_.begin());
  }
  members_ = std::move(members);
  is_suspended_ = false;
  ApplyMembers();
}

void request_core::impl::ApplyMembers() {
  const auto self = std::find(members_.begin(), members_.end(), options_.self);
  const bool may_act = !is_suspended_ && self != members_.end();
  const int index = static_cast<int>(self - members_.begin());
  const int count = may_act ? static_cast<int>(members_.size()) : 0;
  for (auto& [id, state] : targets_) {
    state->pool.SetMembers(index, count, now_);
    state->loans.SetMembers(members_);
  }
}

void request_core::impl::On(const leaving_minions_listed& event) {
  for (auto& [id, state] : targets_) {
    state->pool.SetLeaving(event.leaving);
  }
}

void request_core::impl::On(const slot_message_received& event) {
  const auto it = targets_.find(event.message.target);
  if (it == targets_.end()) {
    counters_.Add("slot_message_of_stranger");
    return;
  }
  target_state& state = *it->second;
  const int requested_slots =
      state.loans.OnMessage(event.message, state.queue.Size() > 0, now_);
  if (requested_slots <= 0 || state.queue.Size() > 0) {
    return;
  }
  const int reserve =
      1 + (state.pool.UsableSlots(now_) / kLendingReserveDivisor);
  const int idle = state.pool.FreeSlots(now_) - reserve;
  const int count = std::min(requested_slots, (idle + 1) / 2);
  if (count > 0) {
    state.loans.Lend(event.message.from, state.pool.FreeOwnSlots(count, now_));
  }
}

void request_core::impl::On(const time_passed& /*event*/) {}

void request_core::impl::On(const stop_requested& /*event*/) {
  is_stopping_ = true;
}

}  // namespace sassafras

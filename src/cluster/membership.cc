#include "sassafras/cluster/membership.h"

#include <algorithm>
#include <array>
#include <bit>
#include <iterator>
#include <utility>

namespace sassafras {
namespace {

constexpr int kSilentProbesBeforeReset = 2;
constexpr int kRecentContactPeriods = 3;
constexpr std::uint64_t kPeriodsPerAbsentProbe = 10;
constexpr std::size_t kJoinProbes = 3;
constexpr std::size_t kLeaveMessages = 5;
constexpr int kDigestMismatchesBeforeSync = 10;

constexpr std::array<std::string_view, 4> kStateNames = {"alive", "suspect",
                                                         "dead", "left"};
constexpr std::array<std::string_view, 3> kKindNames = {
    "member_ping", "member_ack", "member_ping_request"};

}  // namespace

std::string_view GetName(member_state state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string_view GetName(member_message_kind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

membership::membership(membership_options options,
                       member self,
                       std::vector<member> seeds,
                       counter_table& counters)
    : options_(options), self_(std::move(self)), counters_(counters) {
  self_.incarnation = std::max<std::uint64_t>(self_.incarnation, 1);
  for (member& seed : seeds) {
    if (seed.id != self_.id) {
      peer& entry = peers_[seed.id];
      entry.info = std::move(seed);
      entry.is_seed = true;
    }
  }
  QueueRumor(self_.id);
}

member_actions membership::OnTick(instant now, random_engine& random) {
  member_actions actions;
  if (is_replaced_ || has_left_) {
    return actions;
  }
  DetectPause(now);
  SendIndirectProbes(now, random, actions);
  if (!next_period_ || now >= *next_period_) {
    FinishProbes(now, actions);
    StartProbes(now, random, actions);
    ProbeAbsent(random, actions);
    EraseExpired(now);
    next_period_ = now + options_.period;
    ++period_number_;
  }
  return actions;
}

member_actions membership::OnMessage(instant now,
                                     const member_message& message,
                                     random_engine& /*random*/) {
  member_actions actions;
  if (is_replaced_ || has_left_ || message.sender == self_.id) {
    return actions;
  }
  MergeMessage(now, message, actions);
  if (is_replaced_) {
    actions.is_replaced = true;
    return actions;
  }
  switch (message.kind) {
    case member_message_kind::kPing:
      SendAck(message, actions);
      break;
    case member_message_kind::kAck:
      OnAck(message, actions);
      break;
    case member_message_kind::kPingRequest:
      OnPingRequest(now, message, actions);
      break;
  }
  return actions;
}

void membership::OnPlatformHint(
    const std::vector<process_id>& unavailable_ids) {
  for (const process_id& id : unavailable_ids) {
    const auto it = peers_.find(id);
    if (it != peers_.end() && it->second.is_known && it->second.info.IsLive() &&
        std::find(priority_targets_.begin(), priority_targets_.end(), id) ==
            priority_targets_.end()) {
      priority_targets_.push_back(id);
    }
  }
}

member_actions membership::Leave(random_engine& random) {
  member_actions actions;
  self_.state = member_state::kLeft;
  ++self_.incarnation;
  QueueRumor(self_.id);
  for (peer* receiver : ChooseLive(kLeaveMessages, {}, random)) {
    Send(receiver->info.address,
         NewMessage(member_message_kind::kPing, ++last_sequence_), actions);
  }
  has_left_ = true;
  return actions;
}

std::vector<member> membership::Members() const {
  std::vector<member> members;
  if (!is_replaced_ && !has_left_) {
    members.push_back(self_);
  }
  for (const auto& [id, entry] : peers_) {
    if (entry.is_known && entry.info.IsLive()) {
      members.push_back(entry.info);
    }
  }
  std::sort(members.begin(), members.end(),
            [](const member& a, const member& b) { return a.id < b.id; });
  return members;
}

// Discards open probes if this process was paused itself: missing answers then
// do not mean that the targets failed.
void membership::DetectPause(instant now) {
  if (last_tick_ && now - *last_tick_ > options_.period) {
    counters_.Add("member_pause_noticed");
    probes_.clear();
    relays_.clear();
  }
  last_tick_ = now;
}

void membership::FinishProbes(instant now, member_actions& actions) {
  for (const probe& open : std::exchange(probes_, {})) {
    const auto it = peers_.find(open.target);
    if (it != peers_.end() && it->second.info.IsLive()) {
      OnProbeFailure(it->second, now, actions);
    }
  }
  std::erase_if(relays_,
                [&](const relay& entry) { return entry.expires_at <= now; });
}

void membership::SendIndirectProbes(instant now,
                                    random_engine& random,
                                    member_actions& actions) {
  for (probe& open : probes_) {
    if (open.is_indirect || now - open.sent < options_.ack_timeout) {
      continue;
    }
    open.is_indirect = true;
    peer& target = peers_.at(open.target);
    if (++target.failed_direct_probes >= kSilentProbesBeforeReset) {
      actions.links_to_reset.push_back(target.info.address);
      counters_.Add("member_link_replaced");
    }
    const auto count = static_cast<std::size_t>(options_.indirect_probes);
    for (const peer* helper : ChooseLive(count, open.target, random)) {
      member_message request =
          NewMessage(member_message_kind::kPingRequest, open.sequence);
      request.subject = target.info;
      counters_.Add("member_ping_requests");
      Send(helper->info.address, std::move(request), actions);
    }
  }
}

void membership::StartProbes(instant now,
                             random_engine& random,
                             member_actions& actions) {
  for (auto& [id, entry] : peers_) {
    if (entry.is_known && entry.info.state == member_state::kSuspect) {
      Probe(entry, now, actions);
    }
  }
  if (const auto next = NextTarget(random)) {
    Probe(peers_.at(*next), now, actions);
  }
}

void membership::Probe(peer& target, instant now, member_actions& actions) {
  const bool is_open = std::any_of(
      probes_.begin(), probes_.end(),
      [&](const probe& open) { return open.target == target.info.id; });
  if (is_open) {
    return;
  }
  probes_.push_back({target.info.id, ++last_sequence_, now, false});
  member_message ping = NewMessage(member_message_kind::kPing, last_sequence_);
  if (!target.has_acked_self) {
    ping.updates.push_back(self_);
  }
  if (digest_mismatches_ >= kDigestMismatchesBeforeSync) {
    digest_mismatches_ = 0;
    ping.is_full_sync_requested = true;
    counters_.Add("member_syncs");
  }
  Send(target.info.address, std::move(ping), actions);
}

// Probes peers that are not known to be live. Until the first acknowledgement,
// kJoinProbes of them are probed in each period; afterwards one of them every
// kPeriodsPerAbsentProbe periods, so that partitions merge again once the
// network has healed.
void membership::ProbeAbsent(random_engine& random, member_actions& actions) {
  const bool has_joined = acks_ > 0;
  if (has_joined && period_number_ % kPeriodsPerAbsentProbe != 0) {
    return;
  }
  std::vector<peer*> absent;
  for (auto& [id, entry] : peers_) {
    if (!(entry.is_known && entry.info.IsLive())) {
      absent.push_back(&entry);
    }
  }
  std::shuffle(absent.begin(), absent.end(), random);
  absent.resize(std::min(absent.size(), has_joined ? 1 : kJoinProbes));
  for (peer* entry : absent) {
    // The link may have stopped delivering messages, so it is replaced before
    // every second probe.
    if (entry->failed_direct_probes++ % kSilentProbesBeforeReset != 0) {
      actions.links_to_reset.push_back(entry->info.address);
    }
    member_message ping =
        NewMessage(member_message_kind::kPing, ++last_sequence_);
    ping.updates.push_back(self_);
    if (entry->is_known) {
      ping.updates.push_back(entry->info);
    }
    ping.is_full_sync_requested = true;
    Send(entry->info.address, std::move(ping), actions);
  }
}

void membership::OnProbeFailure(peer& target,
                                instant now,
                                member_actions& actions) {
  if (target.info.state == member_state::kAlive) {
    target.info.state = member_state::kSuspect;
    counters_.Add("member_suspected");
    actions.has_changed = true;
  }
  if (target.failed_probes + 1 >= options_.failed_periods &&
      !HasRecentContact(target.info.id, now)) {
    counters_.Add("member_isolated");
    return;
  }
  if (++target.failed_probes >= options_.failed_periods) {
    target.info.state = member_state::kDead;
    target.died_at = now;
    counters_.Add("member_died");
    actions.has_changed = true;
    QueueRumor(target.info.id);
  }
}

// Whether missing answers from `except` indicate its failure rather than one of
// this process's own network: some other live member was heard from recently,
// or there is no other one.
bool membership::HasRecentContact(const process_id& except, instant now) const {
  bool has_others = false;
  for (const auto& [id, entry] : peers_) {
    if (id == except || !entry.is_known || !entry.info.IsLive()) {
      continue;
    }
    has_others = true;
    if (entry.last_heard &&
        now - *entry.last_heard <= options_.period * kRecentContactPeriods) {
      return true;
    }
  }
  return !has_others;
}

void membership::EraseExpired(instant now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    peer& entry = it->second;
    const bool is_expired =
        entry.is_known && !entry.info.IsLive() &&
        now - entry.died_at >= options_.dead_member_retention;
    if (is_expired) {
      entry.is_known = false;
    }
    it = is_expired && !entry.is_seed ? peers_.erase(it) : std::next(it);
  }
}

std::optional<process_id> membership::NextTarget(random_engine& random) {
  const auto is_target = [&](const process_id& id) {
    const auto it = peers_.find(id);
    return it != peers_.end() && it->second.is_known &&
           it->second.info.state == member_state::kAlive;
  };
  while (!priority_targets_.empty()) {
    const process_id id = priority_targets_.front();
    priority_targets_.erase(priority_targets_.begin());
    if (is_target(id)) {
      return id;
    }
  }
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!round_targets_.empty()) {
      const process_id id = std::move(round_targets_.back());
      round_targets_.pop_back();
      if (is_target(id)) {
        return id;
      }
    }
    for (const auto& [id, entry] : peers_) {
      if (is_target(id)) {
        round_targets_.push_back(id);
      }
    }
    std::shuffle(round_targets_.begin(), round_targets_.end(), random);
  }
  return std::nullopt;
}

std::vector<membership::peer*> membership::ChooseLive(std::size_t count,
                                                      const process_id& except,
                                                      random_engine& random) {
  std::vector<peer*> chosen;
  for (auto& [id, entry] : peers_) {
    if (id != except && entry.is_known &&
        entry.info.state == member_state::kAlive) {
      chosen.push_back(&entry);
    }
  }
  std::shuffle(chosen.begin(), chosen.end(), random);
  chosen.resize(std::min(chosen.size(), count));
  return chosen;
}

}  // namespace sassafras

#include <algorithm>
#include <boost/crc.hpp>
#include <string>
#include <utility>

#include "sassafras/cluster/membership.h"

// Part of membership: dissemination of member states by piggybacked updates.

namespace sassafras {
namespace {

constexpr int kRumorsPerMessage = 6;
constexpr int kRumorSendsPerDoubling = 3;
constexpr int kAcksUntilJoined = 2;

// Uses a CRC because, unlike std::hash, it is the same in every build.
std::uint64_t HashOf(const member& info) {
  const std::string text = info.id.value + '/' + std::to_string(info.start) +
                           '/' + std::to_string(info.incarnation);
  boost::crc_optimal<64, 0x42F0E1EBA9EA3693, 0, 0, false, false> crc;
  crc.process_bytes(text.data(), text.size());
  return crc.checksum();
}

// Returns `info` as advertised to other members. A suspicion is local to this
// process, so a suspect is advertised as alive.
member ToAdvertised(member info) {
  if (info.IsLive()) {
    info.state = member_state::kAlive;
  }
  return info;
}

}  // namespace

member_message membership::NewMessage(member_message_kind kind,
                                      std::uint64_t sequence) {
  member_message message;
  message.kind = kind;
  message.sequence = sequence;
  return message;
}

void membership::Send(const std::string& address,
                      member_message message,
                      member_actions& actions) {
  message.sender = self_.id;
  message.start = self_.start;
  message.incarnation = self_.incarnation;
  message.config_version = config_version_;
  message.digest = Digest();
  AddRumors(message);
  counters_.Add("member_messages_sent");
  actions.sends.push_back({address, std::move(message)});
}

void membership::AddRumors(member_message& message) {
  const std::size_t count =
      std::min<std::size_t>(rumors_.size(), kRumorsPerMessage);
  for (std::size_t i = 0; i < count; ++i) {
    rumor next = rumors_.front();
    rumors_.pop_front();
    const auto it = peers_.find(next.id);
    if (next.id == self_.id) {
      message.updates.push_back(self_);
    } else if (it != peers_.end() && it->second.is_known) {
      message.updates.push_back(ToAdvertised(it->second.info));
    } else {
      continue;
    }
    if (--next.sends_left > 0) {
      rumors_.push_back(std::move(next));
    }
  }
}

void membership::QueueRumor(const process_id& id) {
  const auto doublings = std::bit_width(peers_.size() + 1);
  const int sends = kRumorSendsPerDoubling * static_cast<int>(doublings);
  std::erase_if(rumors_, [&](const rumor& old) { return old.id == id; });
  rumors_.push_front({id, sends});
}

void membership::SendAck(const member_message& message,
                         member_actions& actions) {
  const auto it = peers_.find(message.sender);
  if (it == peers_.end()) {
    counters_.Add("member_unknown_sender");
    return;
  }
  const member& sender = it->second.info;
  member_message ack = NewMessage(member_message_kind::kAck, message.sequence);
  if (message.is_full_sync_requested) {
    ack.updates.push_back(self_);
    for (const auto& [id, entry] : peers_) {
      if (entry.is_known) {
        ack.updates.push_back(ToAdvertised(entry.info));
      }
    }
  } else if (!sender.IsLive() || sender.start != message.start ||
             sender.incarnation > message.incarnation) {
    // Sends the record of the sender that it has to override.
    ack.updates.push_back(ToAdvertised(sender));
  }
  Send(sender.address, std::move(ack), actions);
}

void membership::OnAck(const member_message& message, member_actions& actions) {
  ++acks_;
  const auto forwarded =
      std::find_if(relays_.begin(), relays_.end(), [&](const relay& entry) {
        return entry.sequence == message.sequence &&
               entry.target == message.sender;
      });
  if (forwarded != relays_.end()) {
    member_message ack =
        NewMessage(member_message_kind::kAck, forwarded->request_sequence);
    ack.subject.id = message.sender;
    ack.subject.start = message.start;
    Send(forwarded->requester_address, std::move(ack), actions);
    relays_.erase(forwarded);
    return;
  }
  const bool is_relayed = !message.subject.id.value.empty();
  const process_id& answered = is_relayed ? message.subject.id : message.sender;
  std::erase_if(probes_, [&](const probe& open) {
    return open.target == answered && open.sequence == message.sequence;
  });
  const auto it = peers_.find(answered);
  if (it == peers_.end()) {
    return;
  }
  if (!is_relayed) {
    it->second.has_acked_self = true;
    it->second.failed_direct_probes = 0;
    return;
  }
  if (message.subject.start == it->second.info.start) {
    // The target is alive but the direct link to it fails, so the link is
    // probed again in the next period.
    counters_.Add("member_answered_indirectly");
    MarkAlive(it->second, actions);
    priority_targets_.push_back(answered);
  }
}

void membership::OnPingRequest(instant now,
                               const member_message& message,
                               member_actions& actions) {
  const auto requester = peers_.find(message.sender);
  if (requester == peers_.end() || message.subject.id == self_.id) {
    return;
  }
  relays_.push_back({++last_sequence_, message.sequence,
                     requester->second.info.address, message.subject.id,
                     now + options_.period});
  member_message ping = NewMessage(member_message_kind::kPing, last_sequence_);
  const auto target = peers_.find(message.subject.id);
  if (target == peers_.end() || !target->second.has_acked_self) {
    ping.updates.push_back(self_);
  }
  Send(message.subject.address, std::move(ping), actions);
}

void membership::MergeMessage(instant now,
                              const member_message& message,
                              member_actions& actions) {
  for (const member& update : message.updates) {
    Merge(now, update, actions);
  }
  const auto it = peers_.find(message.sender);
  if (it != peers_.end() && it->second.info.start == message.start) {
    peer& sender = it->second;
    if (message.incarnation > sender.info.incarnation) {
      member update = ToAdvertised(sender.info);
      update.incarnation = message.incarnation;
      update.state = member_state::kAlive;
      Merge(now, update, actions);
    }
    sender.last_heard = now;
    MarkAlive(sender, actions);
  }
  digest_mismatches_ = message.digest == Digest() ? 0 : digest_mismatches_ + 1;
  if (it != peers_.end() && message.config_version != 0) {
    actions.versions.push_back(
        {it->second.info.address, message.config_version});
  }
}

// Ends a suspicion after a sign of life. A dead or left member becomes alive
// again only by a greater incarnation.
void membership::MarkAlive(peer& subject, member_actions& actions) {
  if (!subject.info.IsLive()) {
    return;
  }
  subject.failed_probes = 0;
  if (subject.info.state == member_state::kSuspect) {
    subject.info.state = member_state::kAlive;
    counters_.Add("member_suspicion_ended");
    actions.has_changed = true;
  }
}

void membership::Merge(instant now,
                       const member& update,
                       member_actions& actions) {
  if (update.id == self_.id) {
    MergeSelf(update, actions);
    return;
  }
  const auto it = peers_.find(update.id);
  const bool is_known = it != peers_.end() && it->second.is_known;
  if (!is_known && !update.IsLive()) {
    return;
  }
  if (is_known) {
    const member& old = it->second.info;
    const bool is_newer =
        update.incarnation > old.incarnation ||
        (update.incarnation == old.incarnation &&
         (update.start > old.start ||
          (update.start == old.start && !update.IsLive() && old.IsLive())));
    if (!is_newer) {
      return;
    }
  }
  peer& entry = peers_[update.id];
  if (entry.info.start != update.start) {
    entry.has_acked_self = false;
    entry.failed_direct_probes = 0;
    counters_.Add("member_joined");
  }
  entry.info = update;
  entry.is_known = true;
  entry.failed_probes = 0;
  entry.died_at = now;
  actions.has_changed = true;
  QueueRumor(update.id);
}

void membership::MergeSelf(const member& update, member_actions& actions) {
  const bool is_same_start = update.start == self_.start;
  if (update.incarnation < self_.incarnation ||
      (is_same_start && update.IsLive())) {
    return;
  }
  const bool has_joined = acks_ >= kAcksUntilJoined;
  if (!is_same_start && has_joined && update.start > self_.start) {
    counters_.Add("member_replaced");
    is_replaced_ = true;
    return;
  }
  self_.incarnation = update.incarnation + 1;
  counters_.Add("member_contradicted");
  actions.has_changed = true;
  QueueRumor(self_.id);
}

// Order-independent digest of the live members, the same in all processes whose
// member tables agree.
std::uint64_t membership::Digest() const {
  std::uint64_t digest = HashOf(self_);
  for (const auto& [id, entry] : peers_) {
    if (entry.is_known && entry.info.IsLive()) {
      digest += HashOf(entry.info);
    }
  }
  return digest;
}

}  // namespace sassafras

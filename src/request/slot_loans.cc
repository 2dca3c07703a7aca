#include "sassafras/request/slot_loans.h"

#include <algorithm>

namespace sassafras {
namespace {

constexpr std::uint64_t kMaxSlotsPerMessage = 64;
constexpr duration kLoanDuration = std::chrono::milliseconds(1000);
constexpr duration kRequestIntervalMin = std::chrono::milliseconds(20);
constexpr duration kRequestIntervalMax = std::chrono::milliseconds(320);
constexpr duration kReportInterval = std::chrono::milliseconds(200);

// A loan id combines the number of its message and the index in the message.
std::uint64_t LoanId(std::uint64_t number, std::size_t index) {
  return (number * kMaxSlotsPerMessage) + index;
}

std::uint64_t MessageNumberOf(std::uint64_t loan) {
  return loan / kMaxSlotsPerMessage;
}

}  // namespace

void slot_loans::SetMembers(const std::vector<gateway_member>& members) {
  const auto is_member = [&](const gateway_member& member) {
    return std::find(members.begin(), members.end(), member) != members.end();
  };
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (is_member(it->second.member)) {
      ++it;
      continue;
    }
    for (const auto& [loan, minion] : it->second.lent) {
      EndLoan(minion);
      counters_.Add("slot_loan_of_lost_gateway");
    }
    it = peers_.erase(it);
  }
  for (auto it = borrowed_.begin(); it != borrowed_.end();) {
    if (is_member(it->second.owner)) {
      ++it;
      continue;
    }
    it = borrowed_.erase(it);
    next_expiry_ = instant::min();
  }
  for (const gateway_member& member : members) {
    if (member.id != self_.id) {
      peers_[member.id].member = member;
    }
  }
}

slot_loans::slot_counts slot_loans::CountsOf(const minion_id& minion) const {
  if (counts_.empty()) {
    return {};
  }
  const auto it = counts_.find(minion);
  return it == counts_.end() ? slot_counts() : it->second;
}

void slot_loans::EndLoan(const minion_id& minion) {
  const auto it = counts_.find(minion);
  --total_lent_;
  if (--it->second.lent == 0 && it->second.usable == 0) {
    counts_.erase(it);
  }
}

void slot_loans::ExtendLoans(const process_id& owner, instant use_until) {
  for (auto it = borrowed_.lower_bound({owner, 0});
       it != borrowed_.end() && it->first.first == owner; ++it) {
    it->second.use_until = use_until;
    next_expiry_ = instant::min();
  }
}

int slot_loans::OnMessage(const slot_message& message,
                          bool has_waiting_requests,
                          instant now) {
  const auto it = peers_.find(message.from.id);
  if (it == peers_.end() || it->second.member != message.from ||
      message.to_incarnation != self_.incarnation) {
    counters_.Add("slot_message_of_stranger");
    return 0;
  }
  peer& sender = it->second;
  if (message.number <= sender.last_received) {
    counters_.Add("slot_message_late");
    return 0;
  }
  sender.last_received = message.number;
  const std::set<std::uint64_t> held_loans(message.held_loans.begin(),
                                           message.held_loans.end());
  for (auto loan = sender.lent.begin(); loan != sender.lent.end();) {
    if (MessageNumberOf(loan->first) > message.last_received ||
        held_loans.count(loan->first) > 0) {
      ++loan;
      continue;
    }
    EndLoan(loan->second);
    loan = sender.lent.erase(loan);
  }
  if (message.requested_slots > 0) {
    ExtendLoans(message.from.id, now);
  } else if (has_waiting_requests) {
    ExtendLoans(message.from.id, now + kLoanDuration);
  }
  for (std::size_t i = 0; i < message.lent_slots.size(); ++i) {
    const std::uint64_t id = LoanId(message.number, i);
    borrowed_[{message.from.id, id}] = {message.from, id, message.lent_slots[i],
                                        now + kLoanDuration};
    next_expiry_ = instant::min();
    counters_.Add("slot_borrowed");
  }
  if (!message.lent_slots.empty()) {
    request_interval_ = duration(0);
    next_request_at_ = now + kRequestIntervalMin;
  }
  sender.is_reply_due = message.requested_slots > 0 ||
                        !message.lent_slots.empty() ||
                        !message.held_loans.empty();
  return message.requested_slots;
}

void slot_loans::Lend(const gateway_member& borrower,
                      const std::vector<minion_id>& slots) {
  const auto it = peers_.find(borrower.id);
  if (it == peers_.end() || it->second.member != borrower) {
    return;
  }
  for (const minion_id& minion : slots) {
    if (it->second.slots_to_lend.size() < kMaxSlotsPerMessage) {
      it->second.slots_to_lend.push_back(minion);
      ++counts_[minion].lent;
      ++total_lent_;
      counters_.Add("slot_lent");
    }
  }
}

void slot_loans::CountUsable(instant now) {
  for (auto it = counts_.begin(); it != counts_.end();) {
    it->second.usable = 0;
    it = it->second.lent == 0 ? counts_.erase(it) : std::next(it);
  }
  expired_count_ = 0;
  next_expiry_ = instant::max();
  for (const auto& [key, slot] : borrowed_) {
    if (slot.use_until <= now) {
      ++expired_count_;
      continue;
    }
    ++counts_[slot.minion].usable;
    next_expiry_ = std::min(next_expiry_, slot.use_until);
  }
}

void slot_loans::ReturnExpired(
    const std::function<int(const minion_id&)>& in_use,
    instant now) {
  if (now >= next_expiry_) {
    CountUsable(now);
  }
  if (expired_count_ == 0) {
    return;
  }
  // Sends in flight are assigned to unexpired slots first; expired slots are
  // kept only for the remainder.
  std::map<minion_id, int> kept;
  for (auto it = borrowed_.begin(); it != borrowed_.end();) {
    const borrowed_slot& slot = it->second;
    if (slot.use_until > now) {
      ++it;
      continue;
    }
    int& count =
        kept.try_emplace(slot.minion, Usable(slot.minion)).first->second;
    if (count < in_use(slot.minion)) {
      ++count;
      ++it;
      continue;
    }
    peers_[slot.owner.id].is_reply_due = true;
    --expired_count_;
    it = borrowed_.erase(it);
  }
}

bool slot_loans::HasLoansWith(const peer& item) const {
  const bool has_borrowed = std::any_of(
      borrowed_.begin(), borrowed_.end(),
      [&](const auto& slot) { return slot.first.first == item.member.id; });
  return has_borrowed || !item.lent.empty();
}

void slot_loans::SendTo(peer& to,
                        int requested_slots,
                        request_actions& actions) {
  slot_message message;
  message.target = target_;
  message.from = self_;
  message.to_incarnation = to.member.incarnation;
  message.number = ++to.number;
  message.last_received = to.last_received;
  message.requested_slots = requested_slots;
  for (const auto& [key, slot] : borrowed_) {
    if (key.first == to.member.id) {
      message.held_loans.push_back(slot.id);
    }
  }
  for (std::size_t i = 0; i < to.slots_to_lend.size(); ++i) {
    to.lent[LoanId(message.number, i)] = to.slots_to_lend[i];
  }
  message.lent_slots = std::move(to.slots_to_lend);
  to.slots_to_lend.clear();
  to.is_reply_due = false;
  actions.emplace_back(send_slot_message{to.member.id, std::move(message)});
}

void slot_loans::Pump(int requested_slots,
                      instant now,
                      request_actions& actions) {
  const bool is_request_due = requested_slots > 0 && now >= next_request_at_;
  const bool is_report_due = now >= next_report_at_;
  for (auto& [id, item] : peers_) {
    if (is_request_due || item.is_reply_due || !item.slots_to_lend.empty() ||
        (is_report_due && HasLoansWith(item))) {
      SendTo(item, is_request_due ? requested_slots : 0, actions);
    }
  }
  if (is_request_due) {
    request_interval_ = std::clamp(request_interval_ * 2, kRequestIntervalMin,
                                   kRequestIntervalMax);
    next_request_at_ = now + request_interval_;
  }
  if (is_report_due) {
    next_report_at_ = now + kReportInterval;
  }
}

std::optional<instant> slot_loans::NextWake(int requested_slots) const {
  if (peers_.empty()) {
    return std::nullopt;
  }
  std::optional<instant> wake;
  if (requested_slots > 0) {
    wake = next_request_at_;
  }
  const bool has_loans = !borrowed_.empty() || total_lent_ > 0;
  if (has_loans && (!wake || next_report_at_ < *wake)) {
    wake = next_report_at_;
  }
  return wake;
}

}  // namespace sassafras

#ifndef SASSAFRAS_REQUEST_SLOT_LOANS_H_
#define SASSAFRAS_REQUEST_SLOT_LOANS_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// Slots that gateways lend to each other. Messages may be lost, delayed or
/// duplicated. A lender counts a slot as lent until either the borrower reports
/// that it does not hold it, in a message sent after receiving the loan's
/// number or a later one, or the borrower's process is dead. A borrower accepts
/// messages only in the order of their numbers, so a delayed loan is never
/// accepted after the lender counted it as returned. Not safe for concurrent
/// use.
class slot_loans {
 public:
  /// One borrowed slot.
  struct borrowed_slot {
    gateway_member owner;
    std::uint64_t id = 0;
    minion_id minion;
    instant use_until;  ///< Returned after it, once idle; no new work.
  };

  /// Manages loans of slots of the minions of `target`.
  slot_loans(target_id target, gateway_member self, counter_table& counters)
      : target_(std::move(target)),
        self_(std::move(self)),
        counters_(counters) {}

  /// Sets the live gateways. Drops loans to and from all others.
  void SetMembers(const std::vector<gateway_member>& members);

  /// Processes a message and returns the number of slots that its sender
  /// requests. If the sender requests slots, the loans from it expire now.
  /// Otherwise they are extended if this process `has_waiting_requests`.
  int OnMessage(const slot_message& message,
                bool has_waiting_requests,
                instant now);

  /// Lends `slots` to `borrower` with the next message to it.
  void Lend(const gateway_member& borrower,
            const std::vector<minion_id>& slots);

  /// Returns expired borrowed slots to their owners, except as many slots of
  /// each minion as `in_use` gives for it.
  void ReturnExpired(const std::function<int(const minion_id&)>& in_use,
                     instant now);

  /// Appends the messages that are due to `actions`. They request
  /// `requested_slots` slots.
  void Pump(int requested_slots, instant now, request_actions& actions);

  /// Number of slots of `minion` that are lent to other gateways.
  int Lent(const minion_id& minion) const { return CountsOf(minion).lent; }

  /// Number of borrowed slots of `minion` that had not expired at the last
  /// ReturnExpired().
  int Usable(const minion_id& minion) const { return CountsOf(minion).usable; }

  /// When Pump() is due; empty if no slots are lent, borrowed or requested.
  std::optional<instant> NextWake(int requested_slots) const;

 private:
  struct peer {
    gateway_member member;
    std::uint64_t number = 0;         ///< Of the last message sent to it.
    std::uint64_t last_received = 0;  ///< Number of its last message.
    std::map<std::uint64_t, minion_id> lent;  ///< By loan id.
    std::vector<minion_id> slots_to_lend;     ///< With the next message.
    bool is_reply_due = false;
  };

  struct slot_counts {
    int lent = 0;
    int usable = 0;
  };

  slot_counts CountsOf(const minion_id& minion) const;
  void ExtendLoans(const process_id& owner, instant use_until);
  void CountUsable(instant now);
  void EndLoan(const minion_id& minion);
  void SendTo(peer& to, int requested_slots, request_actions& actions);
  bool HasLoansWith(const peer& item) const;

  target_id target_;
  gateway_member self_;
  counter_table& counters_;
  std::map<process_id, peer> peers_;
  std::map<std::pair<process_id, std::uint64_t>, borrowed_slot> borrowed_;
  std::map<minion_id, slot_counts> counts_;
  int total_lent_ = 0;
  int expired_count_ = 0;  ///< Borrowed slots past use_until.
  instant next_expiry_ = instant::max();
  instant next_request_at_;
  instant next_report_at_;
  duration request_interval_{0};
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_SLOT_LOANS_H_

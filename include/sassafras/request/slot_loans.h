#ifndef SASSAFRAS_REQUEST_SLOT_LOANS_H_
#define SASSAFRAS_REQUEST_SLOT_LOANS_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// Slots that gateways lend one another. Messages may be lost, late or
/// repeated. A lender counts a slot as lent until the borrower has told, after
/// it saw the loan's number or a later one, that it does not hold it, or until
/// the borrower's process is gone. A borrower takes loans only in the order of
/// their numbers, so a late one is never taken after it was counted as
/// returned. Not safe for concurrent use.
class slot_loans {
 public:
  /// One slot that is borrowed.
  struct borrowed_slot {
    gateway_member owner;
    std::uint64_t id = 0;
    minion_id minion;
    instant use_until;  ///< No new work after it; then it goes back.
  };

  /// Lends and borrows slots of the minions of `target`.
  slot_loans(target_id target, gateway_member self, counter_table& counters)
      : target_(std::move(target)),
        self_(std::move(self)),
        counters_(counters) {}

  /// Forgets loans to and from processes that are gone.
  void SetMembers(const std::vector<gateway_member>& members);

  /// Takes in a message. Returns the slots that its sender asks for. An owner
  /// that asks for slots itself wants those back that it lent; one that does
  /// not lets them go on while this process `has_waiting_requests`.
  int OnMessage(const slot_message& message,
                bool has_waiting_requests,
                instant now);

  /// Lends `slots` to `borrower`; the answer carries them.
  void Lend(const gateway_member& borrower,
            const std::vector<minion_id>& slots);

  /// Gives back borrowed slots that are past their time, but keeps as many of
  /// a minion's as `in_use` tells.
  void ReturnExpired(const std::function<int(const minion_id&)>& in_use,
                     instant now);

  /// Appends the messages that are due. `wanted` slots are asked for.
  void Pump(int requested_slots, instant now, request_actions& actions);

  /// Slots of `minion` that are lent out.
  int Lent(const minion_id& minion) const { return CountsOf(minion).lent; }

  /// Slots of `minion` that are borrowed and, by the last ReturnExpired(), may
  /// take new work.
  int Usable(const minion_id& minion) const { return CountsOf(minion).usable; }

  /// When Pump() is due; empty if nothing is lent, borrowed or `wanted`.
  std::optional<instant> NextWake(int requested_slots) const;

 private:
  struct peer {
    gateway_member member;
    std::uint64_t number = 0;                 ///< Of the last message sent.
    std::uint64_t last_received = 0;          ///< Of the last message received.
    std::map<std::uint64_t, minion_id> lent;  ///< By loan id.
    std::vector<minion_id> slots_to_lend;     ///< Goes with the next message.
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
  int expired_count_ = 0;  ///< Borrowed slots that take no new work.
  instant next_expiry_ = instant::max();
  instant next_request_at_;
  instant next_report_at_;
  duration request_interval_{0};
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_SLOT_LOANS_H_

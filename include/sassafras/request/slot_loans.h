#ifndef SASSAFRAS_REQUEST_SLOT_LOANS_H_
#define SASSAFRAS_REQUEST_SLOT_LOANS_H_

#include <map>
#include <optional>
#include <set>
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

  /// Takes in a message. Returns the slots that its sender asks for.
  int OnMessage(const slot_message& message, instant now);

  /// Lends `slots` to `borrower`; the answer carries them.
  void Lend(const gateway_member& borrower,
            const std::vector<minion_id>& slots);

  /// Gives back borrowed slots of `minion` that are past their time, but keeps
  /// `in_use` of them.
  void GiveBack(const minion_id& minion, int in_use, instant now);

  /// Appends the messages that are due. `wanted` slots are asked for.
  void Pump(int wanted, instant now, request_actions& actions);

  /// Slots of `minion` that are lent out.
  int Lent(const minion_id& minion) const;

  /// Slots of `minion` that are borrowed.
  int Borrowed(const minion_id& minion) const;

  /// Slots of `minion` that are borrowed and may take new work.
  int Usable(const minion_id& minion, instant now) const;

  int TotalBorrowed() const { return static_cast<int>(borrowed_.size()); }
  int TotalLent() const;

  /// Minions of which slots are borrowed.
  std::set<minion_id> BorrowedMinions() const;

  /// When Pump() is due; empty if nothing is lent, borrowed or `wanted`.
  std::optional<instant> NextWake(int wanted) const;

 private:
  struct peer {
    gateway_member member;
    std::uint64_t number = 0;                 ///< Of the last message sent.
    std::uint64_t seen = 0;                   ///< Of the last message received.
    std::map<std::uint64_t, minion_id> lent;  ///< By loan id.
    std::vector<minion_id> offer;             ///< Goes with the next message.
    bool owes_answer = false;
  };

  void SendTo(peer& to, int wanted, request_actions& actions);
  bool HasBusiness(const peer& item) const;

  target_id target_;
  gateway_member self_;
  counter_table& counters_;
  std::map<process_id, peer> peers_;
  std::map<std::pair<process_id, std::uint64_t>, borrowed_slot> borrowed_;
  std::map<minion_id, int> lent_count_;
  std::map<minion_id, int> borrowed_count_;
  instant next_ask_;
  instant next_report_;
  duration ask_interval_{0};
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_SLOT_LOANS_H_

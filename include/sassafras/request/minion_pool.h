#ifndef SASSAFRAS_REQUEST_MINION_POOL_H_
#define SASSAFRAS_REQUEST_MINION_POOL_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/request/request_events.h"
#include "sassafras/request/slot_loans.h"

namespace sassafras {

/// Result of a send as a signal of the minion's health.
enum class send_result : std::uint8_t {
  kSuccess,  ///< A complete answer other than a failure of the minion.
  kFailure,  ///< A failure, a lost answer or no connection.
  kNeutral,  ///< No signal, e.g. the caller disconnected.
};

/// Requirements of a request on the minion it is sent to.
struct minion_requirements {
  bool is_urgent = false;
  bool is_idempotent = true;
  std::set<minion_id> avoid;  ///< Minions tried before.
};

/// The minions of one target as seen by this gateway: usable slots, sends in
/// flight and health. A minion is ejected (gets no work for a while) after
/// consecutive failures, and is on probation after that until enough sends
/// succeeded. Not safe for concurrent use.
class minion_pool {
 public:
  minion_pool(place_id place, slot_loans& loans, counter_table& counters)
      : place_(std::move(place)), loans_(loans), counters_(counters) {}

  /// Applies the target's definition. A removed minion with sends in flight is
  /// kept until they end. `gateway_count` divides the connections per minion.
  void Configure(const target& definition, int gateway_count, instant now);

  /// Sets this gateway's index among the live gateways and their number; with
  /// 0 members no slots are used. Slots gained by a change are used after
  /// kSlotHandover.
  void SetMembers(int member_index, int member_count, instant now);

  /// Sets the minions that the platform lists as leaving.
  void SetLeaving(const std::set<minion_id>& leaving);

  /// Records that `minion` refused a request because it is leaving.
  void RecordRefusal(const minion_id& minion, instant now);

  /// Chooses a minion with a free slot; empty if there is none.
  std::optional<minion_id> Choose(const minion_requirements& need,
                                  instant now,
                                  random_engine& random) const;

  /// Occupies a slot of `minion` for a send.
  void AcquireSlot(const minion_id& minion);

  /// Frees the slot of a send that ended with `outcome`.
  void ReleaseSlot(const minion_id& minion,
                   send_result outcome,
                   instant now,
                   random_engine& random);

  /// Frees the slot of a send that ended without an answer at `at`, since the
  /// minion may still be working on it. Counts as a failure.
  void ReleaseSlotAt(const minion_id& minion,
                     instant at,
                     instant now,
                     random_engine& random);

  /// Records a failure of `minion`: its send failed, or a hedged send of the
  /// same request was answered first.
  void RecordFailure(const minion_id& minion,
                     instant now,
                     random_engine& random);

  /// Slots that this gateway may use, both free and occupied.
  int UsableSlots(instant now) const;

  /// Usable slots that are free now.
  int FreeSlots(instant now) const;

  /// Whether any minion accepts work, even if all its slots are occupied or it
  /// is ejected.
  bool HasMinions(instant now) const;

  /// Up to `count` free own slots that can be lent, at most one per minion.
  std::vector<minion_id> FreeOwnSlots(int count, instant now) const;

  /// Frees the slots that ReleaseSlotAt() scheduled up to `now` and returns
  /// expired borrowed slots.
  void Advance(instant now, random_engine& random);

  const std::string& Address(const minion_id& minion) const;
  int InFlight(const minion_id& minion) const;
  int TotalInFlight() const { return total_in_flight_; }
  int MaxConnections(const minion_id& minion) const;
  bool IsLeaving(const minion_id& minion, instant now) const;

  /// Returns and clears the addresses of minions that started leaving since
  /// the last call; idle connections to them are to be closed.
  std::vector<std::string> TakeAddressesToClose();

  /// When the next slot or minion becomes usable through the passage of time
  /// alone.
  std::optional<instant> NextWake(instant now) const;

 private:
  struct minion_state {
    minion definition;
    bool is_configured = true;
    bool is_listed_leaving = false;
    instant refused_until;  ///< Set when it refuses a request.
    int share = 0;          ///< Own slots before next_share_from.
    int next_share = 0;     ///< Own slots from next_share_from on.
    instant next_share_from;
    int max_connections = 0;
    int in_flight = 0;
    int consecutive_failures = 0;
    instant suspect_until;  ///< Other minions are preferred until then.
    int ejections = 0;
    /// Since the last ejection, or since the minion was added.
    int successes_since_ejection = 0;
    instant ejected_until;
  };

  static int CurrentShare(const minion_state& item, instant now);
  void UpdateShare(minion_state& item, instant now) const;
  int OwnSlots(const minion_state& item, instant now) const;
  int FreeSlotsOf(const minion_state& item, instant now) const;
  bool CanTakeWork(const minion_state& item, instant now) const;
  bool IsOnProbation(const minion_state& item, instant now) const;
  void Eject(minion_state& item, instant now, random_engine& random);
  int CountEjected(instant now) const;

  place_id place_;
  slot_loans& loans_;
  counter_table& counters_;
  std::map<minion_id, minion_state> minions_;
  std::multimap<instant, minion_id> pending_releases_;  ///< By ReleaseSlotAt().
  std::vector<std::string> addresses_to_close_;
  int total_in_flight_ = 0;
  int member_index_ = 0;
  int member_count_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_MINION_POOL_H_

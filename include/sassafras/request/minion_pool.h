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

/// How a send to a minion went, as far as it tells of the minion's health.
enum class send_result : std::uint8_t {
  kSuccess,  ///< A whole answer that is no failure.
  kFailure,  ///< A failure, a lost answer, or no connection.
  kNeutral,  ///< It tells nothing, e.g. the caller left.
};

/// What the request needs of its minion.
struct minion_requirements {
  bool is_urgent = false;
  bool is_idempotent = true;
  std::set<minion_id> avoid;  ///< Tried before for this request.
};

/// The minions of one target as this gateway sees them: slots it may use,
/// sends in progress, health. Not safe for concurrent use.
class minion_pool {
 public:
  minion_pool(place_id place, slot_loans& loans, counter_table& counters)
      : place_(std::move(place)), loans_(loans), counters_(counters) {}

  /// Takes in the target's definition. A minion with sends in progress is
  /// kept until they end.
  void Configure(const target& definition, int gateway_count, instant now);

  /// Sets this gateway's index among the live ones; members 0: no slots. Slots
  /// gained by a change are used kSlotHandover later.
  void SetMembers(int member_index, int member_count, instant now);

  void SetLeaving(const std::set<minion_id>& leaving);

  /// The minion itself said that it is leaving.
  void RecordRefusal(const minion_id& minion, instant now);

  /// Chooses a minion with a free slot, or empty.
  std::optional<minion_id> Choose(const minion_requirements& need,
                                  instant now,
                                  random_engine& random) const;

  /// A send to `minion` holds a slot from now on.
  void AcquireSlot(const minion_id& minion);

  /// It no longer does. `verdict` tells how it went.
  void ReleaseSlot(const minion_id& minion,
                   send_result outcome,
                   instant now,
                   random_engine& random);

  /// A send to `minion` ended without an answer. The minion may go on working:
  /// the slot is free at `at`.
  void ReleaseSlotAt(const minion_id& minion,
                     instant at,
                     instant now,
                     random_engine& random);

  /// A send to `minion` failed, or another of the same request was faster by
  /// far.
  void RecordFailure(const minion_id& minion,
                     instant now,
                     random_engine& random);

  /// Slots that this gateway may use in all, in work or not.
  int UsableSlots(instant now) const;

  /// Slots that are free now.
  int FreeSlots(instant now) const;

  /// Whether any minion may take work, now or later.
  bool HasMinions(instant now) const;

  /// Up to `count` free slots of its own to lend, at most one per minion.
  std::vector<minion_id> FreeOwnSlots(int count, instant now) const;

  /// Frees slots whose time has come, and gives borrowed ones back that are
  /// past theirs.
  void Advance(instant now, random_engine& random);

  const std::string& Address(const minion_id& minion) const;
  int InFlight(const minion_id& minion) const;
  int TotalInFlight() const { return total_in_flight_; }
  int MaxConnections(const minion_id& minion) const;
  bool IsLeaving(const minion_id& minion, instant now) const;

  /// Addresses of minions that began to leave since the last call.
  std::vector<std::string> TakeAddressesToClose();

  /// When slots or minions become usable by time alone.
  std::optional<instant> NextWake(instant now) const;

 private:
  struct minion_state {
    minion definition;
    bool is_configured = true;
    bool is_listed_leaving = false;
    instant refused_until;  ///< After its own refusal.
    int share = 0;          ///< Slots that may be used before next_share_from.
    int next_share = 0;     ///< From next_share_from on.
    instant next_share_from;
    int max_connections = 0;
    int in_flight = 0;
    int consecutive_failures = 0;
    instant suspect_until;  ///< Others are preferred until then.
    int ejections = 0;
    int successes_since_ejection =
        0;  ///< Good answers since it was new or came back.
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
  std::multimap<instant, minion_id> pending_releases_;  ///< Slots freed later.
  std::vector<std::string> addresses_to_close_;
  int total_in_flight_ = 0;
  int member_index_ = 0;
  int member_count_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_MINION_POOL_H_

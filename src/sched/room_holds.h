#ifndef SASSAFRAS_SRC_SCHED_ROOM_HOLDS_H_
#define SASSAFRAS_SRC_SCHED_ROOM_HOLDS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"
#include "sassafras/sched/placement.h"

namespace sassafras::sched {

/// Answers the load in which gangs wait while single tasks, which are less
/// urgent, take each piece of capacity that becomes free: the capacity for a
/// whole gang is then never free at the same time. A waiting gang gets a
/// reservation on the minions where its capacity comes together soonest.

/// Resources of a minion that are expected to become free.
struct expected_release {
  instant at;
  resource_amounts amount;
};

/// The minions on which a gang's capacity is reserved.
struct room_hold {
  /// Number of tasks by index in fleet_view::Minions().
  std::map<std::size_t, int> tasks;
  instant complete_at;  ///< When the capacity is complete.
};

/// Identifies the unit that holds a reservation: job, occurrence and step.
using hold_key = std::tuple<std::string, int, int>;

/// Expected releases on a minion, by its index, in ascending order of time.
using release_hook =
    std::function<const std::vector<expected_release>&(std::size_t index)>;

/// Chooses the minions on which `count` tasks of `step` can start soonest, in
/// one rack unless `may_leave_rack`. Empty if they would not fit even after all
/// expected releases.
std::optional<room_hold> ChooseHold(instant now,
                                    const step_spec& step,
                                    int count,
                                    const fleet_view& fleet,
                                    bool may_leave_rack,
                                    const release_hook& releases_on);

/// Reservations of one fleet. A unit has one while it waits. Its minions are
/// kept for kMaxAge and then chosen anew, because runs end earlier or later
/// than expected; so is the finding that there is none for it.
class room_holds {
 public:
  /// Part of the usable minions that all reservations together may cover,
  /// unless the first alone needs more. The rest stays open, so that less
  /// urgent work is not stopped altogether.
  static constexpr double kMaxShareOfMinions = 0.5;
  static constexpr duration kMaxAge = std::chrono::seconds(1);
  /// Reservations that are chosen in one pass. Each goes through all minions.
  static constexpr int kMaxChoicesPerPass = 4;

  /// What Hold() has done for a unit.
  struct outcome {
    int minions = 0;      ///< That the reservation covers; 0: there is none.
    bool is_new = false;  ///< The unit had none before.
    instant complete_at;  ///< When its capacity is complete.
  };

  /// Called when the minions of the fleet or their indices have changed.
  void OnFleetChanged() { is_indexed_ = false; }

  /// Begins a placement pass: forgets the reservations that were not renewed in
  /// the last pass and returns the held capacity of `fleet`.
  void BeginPass(instant now, fleet_view& fleet);

  /// Renews or makes the reservation of the unit `key` and withholds its
  /// capacity from later placements of this pass.
  outcome Hold(const hold_key& key,
               const step_spec& step,
               int count,
               bool may_leave_rack,
               const release_hook& releases_on,
               fleet_view& fleet);

  /// Number of minions that the unit's reservation covers; 0: it has none.
  int CountMinions(const hold_key& key) const;
  std::size_t Count() const { return holds_.size(); }

 private:
  struct kept_hold {
    std::map<std::string, int> tasks;  // By minion. Empty: none was found.
    instant chosen_at;
    instant complete_at;
    bool is_renewed = false;
  };

  void IndexFleet(const fleet_view& fleet);
  std::optional<room_hold> Renew(const kept_hold& kept,
                                 const step_spec& step,
                                 const fleet_view& fleet) const;
  bool IsWithinShare(const room_hold& hold, const fleet_view& fleet) const;

  std::map<hold_key, kept_hold> holds_;
  instant now_;      // Of the current pass.
  int choices_ = 0;  // In the current pass.
  bool is_indexed_ = false;
  std::map<std::string, std::size_t> index_of_;  // Of minions in the fleet.
  std::size_t usable_ = 0;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_ROOM_HOLDS_H_

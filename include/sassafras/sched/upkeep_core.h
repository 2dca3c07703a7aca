#ifndef SASSAFRAS_SCHED_UPKEEP_CORE_H_
#define SASSAFRAS_SCHED_UPKEEP_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"

namespace sassafras::sched {

/// State of a machine in the platform's list.
enum class machine_state : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/// One machine of the platform's list.
struct machine_row {
  std::string id;
  std::string pool;  ///< Service whose minion it runs.
  machine_state state = machine_state::kDown;
  /// Id of the minion's current incarnation; may be empty.
  std::string minion;
};

/// The operator's request for the upkeep of a set of machines.
struct upkeep_wave {
  std::int64_t number = 0;
  std::vector<std::string> machines;
  duration deadline{0};  ///< For the whole wave, from when it is first seen.
  /// Limit of its machines that are down at the same time.
  int max_concurrent = 1;
};

/// Takes a machine down for its upkeep.
struct upkeep_order {
  std::string machine;
  std::int64_t wave = 0;
  std::string holder;  ///< Name of this process.
  std::uint64_t fence = 0;
};

/// What is known about the effect of an upkeep order.
enum class upkeep_outcome : std::uint8_t {
  kBegun,      ///< The machine is down, or was already down for this wave.
  kBusy,       ///< The machine is not up. No effect.
  kNotInWave,  ///< The wave does not include the machine. No effect.
  kUnknownMachine,
  kFenced,     ///< A later owner has sent an order. No effect.
  kThrottled,  ///< Refused or not sent; retry later. No effect.
  kUnknown,    ///< May take effect, even later.
};

/// Status of a wave, written to a row that the operator reads.
struct wave_status {
  std::int64_t wave = 0;
  bool is_complete = false;
};

/// A machine of a wave that was selected for its upkeep.
struct recorded_upkeep {
  std::string machine;
  std::string minion;  ///< Id of the minion that its upkeep ends.
  /// The platform has answered the order: the upkeep has begun, or it never
  /// will.
  bool is_settled = false;

  bool operator==(const recorded_upkeep&) const = default;
};

/// Progress of a wave that must outlive its owner. A machine that is missing
/// has not been selected, so that no order for it was ever sent.
struct wave_record {
  std::int64_t wave = 0;
  bool is_complete = false;
  std::vector<recorded_upkeep> machines;

  bool operator==(const wave_record&) const = default;
};

/// What the caller of upkeep_core carries out.
struct upkeep_actions {
  std::vector<upkeep_order> orders;  ///< Answered by OnOrdered().
  /// Each is written to the wave's record and status rows, in one transaction.
  /// Answered by OnRecorded().
  std::vector<wave_record> records;
  bool needs_machine_list = false;  ///< The list must be read for OnMachines().
};

/// Calls to the platform's service for machines. `list` passes no machines
/// unless `is_complete`.
struct machine_port {
  std::function<void(
      std::function<void(bool is_complete, std::vector<machine_row>)> done)>
      list;
  std::function<void(upkeep_order, std::function<void(upkeep_outcome)> done)>
      begin_upkeep;
};

/// State machine, without I/O, that decides which machines go down for upkeep
/// and when. It keeps the limit of each wave, drains a machine before it orders
/// the upkeep, and keeps the wave's deadline. After an order of unknown outcome
/// the machine counts as down until the list shows it up with another minion.
///
/// An order is sent only after the record that names its machine is durable.
/// The next owner thus knows which upkeeps may have begun: those count as down
/// until the platform answers, and only the machines that no record names are
/// still to be selected. A minion stays cordoned only until its machine is
/// back. Not safe for concurrent use.
class upkeep_core {
 public:
  struct hooks {
    /// Excludes a minion from new tasks if `is_cordoned`, else admits it again.
    std::function<void(const std::string& minion, bool is_cordoned)> cordon;
    /// Drains a minion; returns whether it may go down now. With `is_forced`
    /// its runs are stopped. Called again until it returns true.
    std::function<bool(const std::string& minion, bool is_forced)> drain;
  };

  /// `holder` names this process and `fence` is its fencing token, both sent
  /// with each order. `records` holds the progress that earlier owners made, as
  /// read at `now`.
  upkeep_core(std::string holder,
              std::uint64_t fence,
              instant now,
              const std::vector<wave_record>& records,
              counter_table& counters);

  /// Adds a wave; no effect if its number is known. `first_seen` is when this
  /// process learned of the wave, from which its deadline counts.
  void OnWave(instant first_seen, const upkeep_wave& wave);

  /// Processes the platform's complete list of machines, requested at `sent`.
  void OnMachines(instant sent, const std::vector<machine_row>& machines);

  /// Processes the outcome of an order.
  void OnOrdered(instant now,
                 const upkeep_order& order,
                 upkeep_outcome outcome);

  /// Processes the outcome of writing the last record of `wave`.
  void OnRecorded(std::int64_t wave, bool is_durable);

  upkeep_actions Decide(instant now, const hooks& work);

 private:
  enum class phase : std::uint8_t {
    kWaiting,   ///< Held back by the limit of the wave.
    kDraining,  ///< Its minion is cordoned; runs end or are stopped.
    kOrdered,   ///< Order sent or due; the machine counts as down.
    kDown,      ///< Order carried out; not yet listed as up.
    kFinished,
  };

  struct machine_entry {
    std::string id;
    phase current_phase = phase::kWaiting;
    std::string minion;   ///< Id of its minion before the upkeep.
    instant phase_start;  ///< When `current_phase` began.
    bool is_selected = false;
    bool is_settled = false;  ///< See recorded_upkeep.
    /// Change of the wave that names the machine and its minion.
    std::uint64_t record_change = 0;
    bool is_order_in_flight = false;
    instant next_order;  ///< Earliest time of the next order.
  };

  struct wave_entry {
    upkeep_wave wave;
    instant first_seen;
    std::vector<machine_entry> machines;
    bool is_complete = false;
    std::uint64_t change = 0;  ///< Number of its last change.
    std::uint64_t last_durable_change = 0;
    std::uint64_t sent_change = 0;  ///< Last change in the record in flight.
    bool is_record_in_flight = false;
  };

  void Restore(wave_entry& wave, const wave_record& record) const;
  static wave_record RecordOf(const wave_entry& wave);
  static bool IsBack(instant sent,
                     const machine_entry& machine,
                     const machine_row& row);
  void SelectMachine(instant now, wave_entry& wave, machine_entry& machine);
  void UpdateCordons(const hooks& work);
  void AdvanceWave(instant now,
                   wave_entry& wave,
                   const hooks& work,
                   upkeep_actions& actions);
  void DrainAndOrder(instant now,
                     wave_entry& wave,
                     machine_entry& machine,
                     const hooks& work,
                     upkeep_actions& actions);
  std::string MinionOf(const machine_entry& machine) const;
  bool IsShortOfTime(instant now,
                     const wave_entry& wave,
                     const machine_entry& machine) const;
  machine_entry* FindMachine(std::int64_t wave, const std::string& machine);

  const std::string holder_;
  const std::uint64_t fence_;
  const instant tenure_began_at_;
  counter_table& counters_;
  std::map<std::int64_t, wave_record> records_;  ///< Of earlier owners.
  std::map<std::int64_t, wave_entry> waves_;
  std::map<std::string, machine_row> machines_;
  std::set<std::string> cordoned_minions_;
  bool has_machine_list_ = false;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_UPKEEP_CORE_H_

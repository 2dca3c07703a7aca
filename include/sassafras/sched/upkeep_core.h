#ifndef SASSAFRAS_SCHED_UPKEEP_CORE_H_
#define SASSAFRAS_SCHED_UPKEEP_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"

namespace sassafras::sched {

/// What the platform says a machine is doing.
enum class machine_state : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/// One machine of the platform's list.
struct machine_row {
  std::string id;
  std::string pool;  ///< The service whose minion it runs.
  machine_state state = machine_state::kDown;
  std::string minion;  ///< Id of the minion's present life; may be empty.
};

/// The operator's request that machines have their upkeep.
struct upkeep_wave {
  std::int64_t number = 0;
  std::vector<std::string> machines;
  duration deadline{0};    ///< For the whole wave, from its appearance.
  int max_concurrent = 1;  ///< Machines that may be down for it together.
};

/// Takes a machine down for its upkeep.
struct upkeep_order {
  std::string machine;
  std::int64_t wave = 0;
  std::string holder;  ///< This process.
  std::uint64_t fence = 0;
};

enum class upkeep_outcome : std::uint8_t {
  kBegun,      ///< The machine is down, or has been for this wave.
  kBusy,       ///< It is not up. Nothing was done.
  kNotInWave,  ///< The wave does not name it.
  kUnknownMachine,
  kFenced,     ///< Another owner has ordered since.
  kThrottled,  ///< Refused without doing anything; ask again later.
  kUnknown,    ///< May be carried out, also later.
};

/// Whether a wave is finished, as the operator reads it.
struct wave_status {
  std::int64_t wave = 0;
  bool is_complete = false;
};

struct upkeep_actions {
  std::vector<upkeep_order> orders;   ///< Answered by OnOrdered().
  std::vector<wave_status> statuses;  ///< To be written for the operator.
  bool needs_machine_list = false;    ///< The list of machines is needed.
};

/// Calls of the platform's service for machines.
struct machine_port {
  std::function<void(
      std::function<void(bool is_complete, std::vector<machine_row>)> done)>
      list;
  std::function<void(upkeep_order, std::function<void(upkeep_outcome)> done)>
      begin_upkeep;
};

/// Decides which machines go down for upkeep and when: within the limit of
/// each wave, after the work on them was moved, in time for the deadline. An
/// order of unknown outcome counts as a machine that is down until the list
/// shows it up with another minion. Not safe for concurrent use.
class upkeep_core {
 public:
  struct hooks {
    /// Keeps new tasks off a minion, or ends that.
    std::function<void(const std::string& minion, bool is_cordoned)> cordon;
    /// Whether the minion may go down; stops its runs if forced.
    std::function<bool(const std::string& minion, bool is_forced)> drain;
  };

  upkeep_core(std::string holder, std::uint64_t fence, counter_table& counters);

  void OnWave(instant now, const upkeep_wave& wave);
  void OnMachines(instant now, const std::vector<machine_row>& machines);
  void OnOrdered(instant now,
                 const upkeep_order& order,
                 upkeep_outcome outcome);

  upkeep_actions Decide(instant now, const hooks& work);

 private:
  enum class phase : std::uint8_t {
    kWaiting,   ///< Its turn has not come.
    kDraining,  ///< Its minion gets no new tasks; runs end or are stopped.
    kOrdered,   ///< An order has left; the machine counts as down.
    kDown,      ///< The order was carried out; not seen up since.
    kFinished,
  };

  struct machine_entry {
    std::string id;
    phase current_phase = phase::kWaiting;
    std::string minion;   ///< Before the upkeep.
    instant phase_start;  ///< Of its phase.
    bool is_order_in_flight = false;
    instant next_order;
  };

  struct wave_entry {
    upkeep_wave wave;
    instant first_seen;
    std::vector<machine_entry> machines;
    bool is_status_reported = false;
    bool is_complete = false;
  };

  void AdvanceWave(instant now,
                   wave_entry& wave,
                   const hooks& work,
                   upkeep_actions& actions);
  void DrainAndOrder(instant now,
                     wave_entry& wave,
                     machine_entry& machine,
                     const hooks& work,
                     upkeep_actions& actions);
  bool IsShortOfTime(instant now,
                     const wave_entry& wave,
                     const machine_entry& machine) const;
  machine_entry* FindMachine(std::int64_t wave, const std::string& machine);

  const std::string holder_;
  const std::uint64_t fence_;
  counter_table& counters_;
  std::map<std::int64_t, wave_entry> waves_;
  std::map<std::string, machine_row> machines_;
  bool has_machine_list_ = false;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_UPKEEP_CORE_H_

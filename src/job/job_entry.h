#ifndef SASSAFRAS_JOB_JOB_ENTRY_H_
#define SASSAFRAS_JOB_JOB_ENTRY_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/job/planner.h"

namespace sassafras {

/// On what terms a job holds its workers.
enum class hold_terms : std::uint8_t {
  kNone,        ///< It holds none.
  kGuaranteed,  ///< Within a cell of its team's guarantees.
  kFirm,        ///< On capacity that no guarantee needs; never evicted.
  kBorrowed,    ///< May be evicted for a guarantee or a large gang.
};

/// Place in the order of arrival.
struct arrival {
  instant submitted;
  std::uint64_t sequence = 0;  ///< Order of Add between equals.

  auto operator<=>(const arrival&) const = default;
};

/// One job in the planner's table.
struct job_entry {
  planned_job job;
  arrival order;
  const shape* wanted = nullptr;            ///< Null if it was removed.
  const job_class* class_object = nullptr;  ///< Null if it was removed.
  int team = -1;                            ///< Index of the team table, or -1.

  job_phase phase = job_phase::kWaiting;
  hold_terms terms = hold_terms::kNone;
  std::uint64_t claim_order = 0;  ///< Of its claims; earlier ones go first.
  bool claiming = false;          ///< Waits for victims to stop on `workers`.
  std::vector<worker_id> worker_names;
  std::vector<int> workers;  ///< Indices of the inventory.
  resources need;            ///< Held on each worker.
  std::vector<int> move_to;  ///< Claimed for it while it stops to be moved.
  int cell = -1;             ///< Index of the guarantee table, or -1.

  instant started;
  instant checkpointed;
  instant stop_asked;
  job_id beneficiary;  ///< For whom it was last asked to stop.
  int evictions = 0;

  bool IsPlaceable() const {
    return wanted != nullptr && class_object != nullptr && team >= 0;
  }

  bool MovesTo(int worker) const {
    return std::find(move_to.begin(), move_to.end(), worker) != move_to.end();
  }

  int Accelerators() const {
    return need.accelerators * static_cast<int>(workers.size());
  }
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_JOB_ENTRY_H_

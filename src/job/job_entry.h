#ifndef SASSAFRAS_JOB_JOB_ENTRY_H_
#define SASSAFRAS_JOB_JOB_ENTRY_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/job/planner.h"

namespace sassafras {

/// Kind of capacity on which a job holds its workers.
enum class hold_terms : std::uint8_t {
  kNone,        ///< It holds none.
  kGuaranteed,  ///< Within a cell of its team's guarantees.
  kFirm,        ///< On capacity outside all guarantees; never evicted.
  kBorrowed,    ///< May be evicted for a guarantee or a large gang.
};

/// Position in the order of arrival.
struct arrival {
  instant submitted;
  std::uint64_t sequence = 0;  ///< Order of Add() for equal times.

  auto operator<=>(const arrival&) const = default;
};

/// One job of the planner.
struct job_entry {
  planned_job job;
  arrival order;
  const shape* wanted = nullptr;            ///< Null if it was removed.
  const job_class* class_object = nullptr;  ///< Null if it was removed.
  int team = -1;  ///< Index into the team table, or -1.

  job_phase phase = job_phase::kWaiting;
  hold_terms terms = hold_terms::kNone;
  std::uint64_t claim_order = 0;  ///< Of its claims; lower goes first.
  /// Whether it waits for victims to stop on `workers`.
  bool claiming = false;
  std::vector<worker_id> worker_names;
  std::vector<int> workers;  ///< Indices into the inventory.
  resources need;            ///< Held on each worker.
  /// Workers claimed for it while it stops for a move.
  std::vector<int> move_to;
  int cell = -1;  ///< Index into the guarantee table, or -1.

  instant started;
  instant checkpointed;
  instant stop_asked;
  job_id beneficiary;  ///< Job for which it was last asked to stop.
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

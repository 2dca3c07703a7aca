#ifndef SASSAFRAS_JOB_PLACEMENT_LEDGER_H_
#define SASSAFRAS_JOB_PLACEMENT_LEDGER_H_

#include <map>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/core/id.h"
#include "sassafras/world/resources.h"

namespace sassafras::job {

/// Resources booked on each worker by placed gangs. Independent of the planner,
/// so that its decisions can be checked.
class placement_ledger {
 public:
  /// Whether one more task of `need` fits on each of `workers`. False if a
  /// worker is unknown or appears twice.
  bool Fits(const config_set& objects,
            const std::vector<worker_id>& workers,
            const resources& need) const;

  /// Books `need` on each of `workers` for `job`. Replaces an earlier booking.
  void Book(const job_id& job,
            const std::vector<worker_id>& workers,
            const resources& need);

  /// Removes the booking of `job`, if any.
  void Free(const job_id& job);

 private:
  struct booking {
    std::vector<worker_id> workers;
    resources need;
  };

  std::map<job_id, booking> bookings_;
  std::map<worker_id, resources> held_;
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_PLACEMENT_LEDGER_H_

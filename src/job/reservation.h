#ifndef SASSAFRAS_JOB_RESERVATION_H_
#define SASSAFRAS_JOB_RESERVATION_H_

#include <functional>
#include <optional>
#include <vector>

#include "src/job/victims.h"

namespace sassafras {

/// Workers that drain for one waiting gang.
struct reservation {
  int job = -1;
  std::vector<int> workers;
  instant ready;  ///< When all of them are expected to be free.
  /// For a gang that cannot borrow: the workers that no guarantee needs any
  /// more, which are kept so.
  std::vector<int> promised;
  /// Only unused guarantee cells are left in the way, and cannot move yet.
  bool is_blocked_by_cells = false;
};

/// When a job that holds workers is expected to end.
using expected_end = std::function<instant(int job)>;

/// What a reservation is planned from.
struct reservation_input {
  const inventory& workers;
  const job_table& jobs;
  const victim_search& victims;
  const expected_end& end;
  bool can_evict = false;  ///< Count on moving smaller borrowed work.
  instant now;
};

/// When the workers of `planned` are expected to be free for its job. Empty if
/// one of them is not usable.
std::optional<instant> ReadyTime(const reservation_input& input,
                                 const reservation& planned);

/// Chooses the workers on which the waiting job `job` can run first, outside
/// of those of `others`. Empty if no usable group could ever hold it.
std::optional<reservation> PlanReservation(
    const reservation_input& input,
    int job,
    const std::vector<reservation>& others);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_RESERVATION_H_

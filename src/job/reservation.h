#ifndef SASSAFRAS_JOB_RESERVATION_H_
#define SASSAFRAS_JOB_RESERVATION_H_

#include <functional>
#include <optional>
#include <vector>

#include "src/job/victims.h"

namespace sassafras {

/// Workers reserved for one waiting gang. They drain until it can start.
struct reservation {
  int job = -1;
  std::vector<int> workers;
  instant ready;  ///< When all of them are expected to be free.
  /// For a gang that cannot borrow: the workers whose guarantee cells were
  /// moved away. The capacity is promised to the gang, so cells do not return.
  std::vector<int> promised;
  /// Free capacity is blocked only by unused guarantee cells that do not fit
  /// on other workers yet.
  bool is_blocked_by_cells = false;
};

/// Returns the time at which a job that holds workers is expected to end.
using expected_end = std::function<instant(int job)>;

/// Input for planning a reservation.
struct reservation_input {
  const inventory& workers;
  const job_table& jobs;
  const victim_search& victims;
  const expected_end& end;
  bool can_evict = false;  ///< Smaller borrowed jobs can be evicted.
  instant now;
};

/// Returns the time at which the workers of `planned` are expected to be free
/// for its job. Empty if one of them is not usable or can never be free.
std::optional<instant> ReadyTime(const reservation_input& input,
                                 const reservation& planned);

/// Chooses the workers on which the waiting job `job` can start earliest,
/// excluding those of `others`. Empty if no usable group can ever hold it.
std::optional<reservation> PlanReservation(
    const reservation_input& input,
    int job,
    const std::vector<reservation>& others);

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_RESERVATION_H_

#ifndef SASSAFRAS_JOB_VICTIMS_H_
#define SASSAFRAS_JOB_VICTIMS_H_

#include <optional>
#include <vector>

#include "src/job/inventory.h"
#include "src/job/job_table.h"

namespace sassafras {

/// Maximum time for which an urgent job waits for a victim's checkpoint.
inline constexpr duration kMaxCheckpointGrace = std::chrono::seconds(5);

/// Running time that a job loses when it is checkpointed and restarted.
inline constexpr duration kRestartLoss = std::chrono::seconds(30);

/// Restricts which jobs can be evicted for another job.
struct eviction_rule {
  /// Allows revoking the claims of jobs that borrow.
  bool can_revoke_claims = false;
  /// Job for which others are evicted; it is never a victim itself.
  int beneficiary = -1;
  /// Gangs with at least this many accelerators are not evicted; 0 protects
  /// none.
  int min_protected_accelerators = 0;
};

/// Selects the jobs to evict.
class victim_search {
 public:
  victim_search(const inventory& workers,
                const job_table& jobs,
                const std::vector<double>& share_use,
                instant now)
      : workers_(workers), jobs_(jobs), share_use_(share_use), now_(now) {}

  /// Returns the accelerator seconds lost if `job` is evicted, weighted by its
  /// class, its team's use of its share and the number of its evictions.
  double Loss(int job) const;

  /// Returns the loss caused by freeing `need` on `worker`. Empty if evictions
  /// that `rule` allows cannot free it.
  std::optional<double> Cost(int worker,
                             const resources& need,
                             const eviction_rule& rule) const;

  /// Returns a small set of low-loss victims whose end frees `need` on each of
  /// `chosen`. Greedy: not always the minimum.
  std::vector<int> Choose(const std::vector<int>& chosen,
                          const resources& need,
                          const eviction_rule& rule) const;

  /// Whether a victim can be checkpointed: its class supports it and needs no
  /// more than kMaxCheckpointGrace.
  bool CanCheckpoint(int job) const;

 private:
  bool CanEvict(int worker, int job, const eviction_rule& rule) const;
  std::vector<int> EvictableByLoss(int worker, const eviction_rule& rule) const;
  resources FreeWithout(int worker, const std::vector<int>& victims) const;

  const inventory& workers_;
  const job_table& jobs_;
  const std::vector<double>& share_use_;
  instant now_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_VICTIMS_H_

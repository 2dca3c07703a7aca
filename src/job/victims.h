#ifndef SASSAFRAS_JOB_VICTIMS_H_
#define SASSAFRAS_JOB_VICTIMS_H_

#include <optional>
#include <vector>

#include "src/job/inventory.h"
#include "src/job/job_table.h"

namespace sassafras {

/// Greatest time for which an urgent job waits for a victim's checkpoint.
inline constexpr duration kMaxCheckpointGrace = std::chrono::seconds(5);

/// Running time that a job loses when it is moved by a checkpoint.
inline constexpr duration kRestartLoss = std::chrono::seconds(30);

/// Who gives way to whom.
struct eviction_rule {
  bool can_revoke_claims =
      false;             ///< May take what another job claimed on loan.
  int beneficiary = -1;  ///< Never a victim.
  int min_protected_accelerators =
      0;  ///< Gangs this large or larger are spared.
};

/// Chooses the jobs that give way.
class victim_search {
 public:
  victim_search(const inventory& workers,
                const job_table& jobs,
                const std::vector<double>& share_use,
                instant now)
      : workers_(workers), jobs_(jobs), share_use_(share_use), now_(now) {}

  /// Accelerator seconds lost if `job` gives way, weighted by its class, by
  /// its team's use of its share and by how often it gave way before.
  double Loss(int job) const;

  /// Loss of freeing `need` on `worker`; empty if that is not possible.
  std::optional<double> Cost(int worker,
                             const resources& need,
                             const eviction_rule& rule) const;

  /// The fewest, cheapest jobs found whose end frees `need` on all `chosen`.
  std::vector<int> Choose(const std::vector<int>& chosen,
                          const resources& need,
                          const eviction_rule& rule) const;

  /// Whether a victim is given time for a checkpoint.
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

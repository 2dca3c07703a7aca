#ifndef SASSAFRAS_JOB_PLANNER_H_
#define SASSAFRAS_JOB_PLANNER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/core/error.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// How the planner places jobs. The baselines are kept for measurements.
enum class planner_policy : std::uint8_t {
  kFirstFit,  ///< Baseline: first fit, strictly in order of arrival.
  kBestFit,   ///< Baseline: best fit with backfill.
  kReserve,   ///< The product: guarantees, whole groups, reservations.
};

/// Names of planner_policy: "first_fit", "best_fit", "reserve".
std::string_view GetName(planner_policy policy);

/// Settings of the planner.
struct planner_options {
  planner_policy policy = planner_policy::kReserve;

  /// Running time that an accelerator may lose to a checkpoint and a move for
  /// each free accelerator that becomes useful by it. More of it means less
  /// fragmentation and more moves; 0 moves nothing for that purpose.
  duration max_compaction_loss = std::chrono::seconds(240);
};

/// One job as the planner knows it.
struct planned_job {
  job_id id;
  team_id team;
  class_id job_class;
  shape_id shape;
  duration declared_run{0};  ///< As submitted; may be far from the truth.
  instant submitted;
};

/// What is happening to a job.
enum class job_phase : std::uint8_t {
  kWaiting,   ///< Holds no worker.
  kStarting,  ///< Holds its workers; not all tasks have started.
  kRunning,   ///< Holds its workers; all tasks run.
  kStopping,  ///< Still holds its workers until every task has stopped.
};

/// One gang to start: a worker per task.
struct planned_start {
  job_id job;
  std::vector<worker_id> workers;
  bool is_borrowed =
      false;  ///< Not on a guarantee: may be evicted at any time.
};

/// One gang to stop, so that its workers can be given to `beneficiary`.
struct planned_stop {
  job_id job;
  job_id beneficiary;
  bool should_checkpoint =
      false;  ///< Checkpoint first, within the class's grace.
};

/// What the planner wants done now. Stops come before starts; a start never
/// relies on a stop that is not complete.
struct plan {
  std::vector<planned_stop> stops;
  std::vector<planned_start> starts;
};

/// Decides which gangs run where. Deterministic; no input or output. It counts
/// workers as held from Decide() (start) until SetPhase(kWaiting) or Remove().
/// Not safe for concurrent use.
class planner {
 public:
  planner(planner_options options, counter_table& counters);
  ~planner();
  planner(const planner&) = delete;
  planner& operator=(const planner&) = delete;

  /// Replaces the inventory, shapes, teams and classes. Jobs stay where they
  /// are. Jobs whose shape, class or team is gone are not placed again.
  void SetConfig(const config_ptr& config);

  /// Marks a worker as usable for new tasks (healthy, not quarantined).
  /// Workers of the configuration are usable at first.
  void SetUsable(const worker_id& worker, bool is_usable);

  /// Adds a waiting job. Fails with kNeverFits if no set of workers of the
  /// inventory can hold its shape, kNotFound for an unknown name.
  std::optional<error> Add(const planned_job& job);

  /// Adds a job that already holds workers, as read from its record.
  void AddPlaced(const planned_job& job,
                 const std::vector<worker_id>& workers,
                 bool is_borrowed,
                 job_phase phase,
                 instant started);

  /// Records what became of a job. kWaiting frees its workers and queues it.
  void SetPhase(const job_id& job, job_phase phase, instant now);

  /// Notes that a checkpoint of the whole gang was completed at `now`.
  void SetCheckpointed(const job_id& job, instant now);

  /// Frees the workers of a job that ended, and forgets it. `run` is its whole
  /// running time, from which later estimates are learned, if it ended well.
  void Remove(const job_id& job, std::optional<duration> run);

  /// Chooses what to stop and start now.
  plan Decide(instant now);

  /// One sentence saying why a waiting job does not run, with the blocking
  /// reason.
  std::string Explain(const job_id& job) const;

  /// Teams whose guarantees cannot be honoured on the usable workers.
  std::vector<team_id> BrokenGuarantees() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_PLANNER_H_

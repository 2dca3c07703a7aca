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

/// Placement policy. The two baselines exist for comparison in benchmarks.
enum class planner_policy : std::uint8_t {
  kFirstFit,  ///< Baseline: first fit, strictly in order of arrival.
  kBestFit,   ///< Baseline: best fit with backfill.
  kReserve,   ///< Default: team guarantees, gang placement, reservations.
};

/// Returns the name of a policy: "first_fit", "best_fit" or "reserve".
std::string_view GetName(planner_policy policy);

/// Settings of the planner.
struct planner_options {
  planner_policy policy = planner_policy::kReserve;

  /// Upper bound on the running time lost per accelerator to checkpointing and
  /// moving borrowed jobs, for each free accelerator that becomes usable for a
  /// larger shape. A higher value gives less fragmentation and more moves; 0
  /// disables compaction.
  duration max_compaction_loss = std::chrono::seconds(240);
};

/// Job data that the planner uses for placement.
struct planned_job {
  job_id id;
  team_id team;
  class_id job_class;
  shape_id shape;
  duration declared_run{0};  ///< As submitted; the actual time may differ.
  instant submitted;
};

/// Placement phase of a job.
enum class job_phase : std::uint8_t {
  kWaiting,   ///< Holds no worker.
  kStarting,  ///< Holds its workers; some tasks have not started.
  kRunning,   ///< Holds its workers; all tasks run.
  kStopping,  ///< Holds its workers until every task has stopped.
};

/// A gang to start, with one worker for each task.
struct planned_start {
  job_id job;
  std::vector<worker_id> workers;
  /// Placed outside the guarantees of its team: can be evicted at any time.
  bool is_borrowed = false;
};

/// A gang to stop, so that its workers can be assigned to `beneficiary`.
struct planned_stop {
  job_id job;
  job_id beneficiary;
  /// Checkpoint first, within the checkpoint_grace of its class.
  bool should_checkpoint = false;
};

/// Stops and starts to perform, stops first. No start depends on a stop that
/// is still in progress.
struct plan {
  std::vector<planned_stop> stops;
  std::vector<planned_start> starts;
};

/// Decides which gangs run on which workers. Deterministic; performs no I/O. A
/// worker counts as held from the Decide() that starts a job on it until
/// SetPhase(kWaiting) or Remove(). Not safe for concurrent use.
class planner {
 public:
  planner(planner_options options, counter_table& counters);
  ~planner();
  planner(const planner&) = delete;
  planner& operator=(const planner&) = delete;

  /// Replaces the inventory, shapes, teams and classes. Jobs keep the workers
  /// that they hold. A job whose shape, class or team was removed is not placed
  /// again.
  void SetConfig(const config_ptr& config);

  /// Sets whether a worker accepts new tasks (healthy and not quarantined).
  /// Workers of the configuration are usable initially.
  void SetUsable(const worker_id& worker, bool is_usable);

  /// Adds a waiting job. Returns kNeverFits if no set of workers in the
  /// inventory can hold its shape, kNotFound if its shape, team or class is
  /// unknown, kNoConfiguration before SetConfig(). No effect if it exists.
  std::optional<error> Add(const planned_job& job);

  /// Adds a job that already holds workers, as read from its stored record.
  void AddPlaced(const planned_job& job,
                 const std::vector<worker_id>& workers,
                 bool is_borrowed,
                 job_phase phase,
                 instant started);

  /// Records the phase of a job. kWaiting frees its workers and queues it.
  void SetPhase(const job_id& job, job_phase phase, instant now);

  /// Records that a checkpoint of the whole gang was completed at `now`.
  void SetCheckpointed(const job_id& job, instant now);

  /// Removes a job that ended and frees its workers. `run` is its total running
  /// time if it succeeded; it is used for later run time estimates.
  void Remove(const job_id& job, std::optional<duration> run);

  /// Returns the gangs to stop and to start at `now`.
  plan Decide(instant now);

  /// Returns one sentence that gives the reason why a waiting job is not
  /// placed.
  std::string Explain(const job_id& job) const;

  /// Returns the teams whose guarantees do not fit on the usable workers.
  std::vector<team_id> BrokenGuarantees() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_PLANNER_H_

#ifndef SASSAFRAS_JOB_PLANNER_IMPL_H_
#define SASSAFRAS_JOB_PLANNER_IMPL_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafras/job/planner.h"
#include "src/job/guarantee_table.h"
#include "src/job/inventory.h"
#include "src/job/job_table.h"
#include "src/job/reservation.h"
#include "src/job/run_estimates.h"
#include "src/job/victims.h"

namespace sassafras {

/// Share and current use of one team.
struct team_state {
  team_id id;
  int share = 1;
  std::int64_t accelerators = 0;  ///< Held by its jobs.
};

/// Cells of its team that are considered for a job.
enum class cell_match : std::uint8_t {
  kExact,   ///< Cells of the job's own shape, tried first.
  kLarger,  ///< Cells of a larger shape, tried after borrowing.
};

/// Implementation of the planner. planner_state.cc maintains the tables,
/// planner_config.cc transfers them to a new configuration, planner_decide.cc
/// and planner_guarantee.cc place jobs, planner_drain.cc manages reservations,
/// planner_compact.cc reduces fragmentation by moving borrowed jobs, and
/// planner_explain.cc describes why a job waits.
class planner::impl {
 public:
  impl(planner_options options, counter_table& counters);

  void SetConfig(const config_ptr& config);
  void SetUsable(const worker_id& worker, bool is_usable);
  std::optional<error> Add(const planned_job& job);
  void AddPlaced(const planned_job& job,
                 const std::vector<worker_id>& workers,
                 bool is_borrowed,
                 job_phase phase,
                 instant started);
  void SetPhase(const job_id& job, job_phase phase, instant now);
  void SetCheckpointed(const job_id& job, instant now);
  void Remove(const job_id& job, std::optional<duration> run);
  plan Decide(instant now);
  std::string Explain(const job_id& job) const;
  std::vector<team_id> BrokenGuarantees() const;

 private:
  // Sort key of a bucket of waiting jobs; the lowest is placed first.
  struct queue_rank {
    int urgency = 0;
    double share_use = 0;
    arrival order;
    bucket_key key;

    auto operator<=>(const queue_rank&) const = default;
  };

  // Key of a failed placement search. Jobs with the same key fail alike within
  // one decision.
  struct failed_search {
    const shape* wanted = nullptr;
    hold_terms terms = hold_terms::kNone;
    std::uint64_t allowed = 0;  // See AllowedReservations().

    auto operator<=>(const failed_search&) const = default;
  };

  // A cell chosen for a job, and the workers of the job within it.
  struct cell_choice {
    int cell = -1;
    std::vector<int> cell_workers;  // Empty if the cell does not move.
    std::vector<int> workers;
    double cost = 0;
  };

  // Possible move of a borrowed job. `source` and `target` are workers, or
  // racks for jobs on whole workers.
  struct gap_move {
    double gain = 0;  // Accelerator seconds.
    int job = -1;
    int source = -1;
    int target = -1;

    auto operator<=>(const gap_move&) const = default;
  };

  // planner_state.cc
  void Resolve(job_entry& entry) const;
  void LoadTeams();
  void RestoreHeldWorkers();
  void RestoreCells(const std::vector<guarantee_cell>& former,
                    const std::vector<team_state>& former_teams,
                    const std::vector<worker_id>& former_workers);
  bool FitsInventory(const shape& wanted, bool beyond_guarantees) const;
  std::optional<error> CheckFits(const job_entry& entry);
  void HoldWorkers(int job);
  void ReleaseWorkers(int job);
  void MarkStopping(int job, bool stopping);
  void DropClaim(int job);
  void ClaimMoveTarget(int job);
  void DropMove(int job);
  void DetachJobsFromCell(int cell);
  void DetachFromCell(int job);
  bool AdoptCell(int job);
  void PromiseFirm(int job);
  void RevokePromise(int job);

  // planner_decide.cc
  bool IsBaseline() const { return policy_ != planner_policy::kReserve; }
  bool IsFirmWorkBlocked(int job) const;
  hold_terms TermsOutsideGuarantee(const job_entry& entry) const;
  void RepairGuarantees();
  void RepeatStops();
  resources FreeForClaim(int job, int worker) const;
  void FinishClaims();
  void UpdateShareUse();
  queue_rank RankOf(const bucket_key& key, const bucket& waiting) const;
  std::vector<queue_rank> RankedBuckets() const;
  const bucket* FindBucket(const bucket_key& key) const;
  void PlaceGuaranteed(cell_match match);
  bool StartOnGuarantee(int job, cell_match match);
  bool CanUse(const guarantee_cell& cell, const job_entry& entry) const;
  std::optional<double> GuaranteeCost(int job, int worker) const;
  bool HasReservedWorker(const guarantee_cell& cell) const;
  std::optional<cell_choice> ChooseInUsedCell(int job, int cell) const;
  std::optional<cell_choice> ChooseForUnusedCell(int job, int cell);
  std::optional<cell_choice> ChooseEquivalentCell(int job, int cell) const;
  void ApplyChoice(int job, const cell_choice& choice);
  void StartOrClaim(int job, const eviction_rule& rule);
  void StartReserved();
  void PlaceOutsideGuarantees();
  bool StartOutsideGuarantee(int job);
  bool PlaceOutsideGuaranteeOn(int job,
                               const std::vector<int>& workers,
                               const eviction_rule& rule);
  void IndexReservations();
  void DropReservation(std::size_t at);
  bool HasReservation(int job) const;
  void DropReservationOf(int job);
  void PromiseReservedWorkers();
  void RevokeReservedPromises(reservation& item);
  void RefreshReservations(const reservation_input& input);
  std::uint64_t AllowedReservations(int job) const;
  void UpdateReservations(const std::vector<int>& blocked);
  void EvictForReservations();
  bool EvictForGang(int job);
  void StopVictim(int victim, int beneficiary);
  void Start(int job);
  duration ExpectedRun(const job_entry& entry) const;
  instant ExpectedEnd(int job) const;
  victim_search Victims() const;

  // planner_compact.cc
  void Compact();
  bool IsMovable(int job) const;
  bool VacateOneWorker();
  std::map<int, std::vector<int>> FindGaps() const;
  double MoveGain(int job, int source, int target) const;
  std::vector<gap_move> FindGapMoves() const;
  int FillGaps(int max_moves);
  double GapUtility(int free) const;
  double RackUtility(int fully_free, int accelerators) const;
  int FilledRack(int job) const;
  std::vector<std::vector<int>> FullyFreeByRack() const;
  std::vector<gap_move> FindRackMoves(
      const std::vector<std::vector<int>>& fully_free) const;
  int ConsolidateRacks(int max_moves);
  std::optional<std::vector<std::pair<int, int>>> PlanVacating(
      int source) const;
  void Move(int job, const std::vector<int>& to);

  // planner_explain.cc
  std::string DescribeNeed(const shape& wanted) const;
  bool HasFreeGroup(int job,
                    bool require_unpromised,
                    bool exclude_reserved) const;
  std::string ExplainPlaceable(int job) const;

  planner_policy policy_;
  double max_compaction_loss_seconds_;
  counter_table& counters_;
  config_ptr config_;
  std::set<worker_id> unusable_;
  inventory workers_;
  guarantee_table cells_;
  job_table jobs_;
  std::vector<team_state> teams_;
  std::vector<double> share_use_;
  std::map<std::pair<const shape*, bool>, bool> fit_cache_;
  run_estimates estimates_;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t next_claim_ = 0;
  // Demand of submitted rack-level jobs, by number of workers: declared running
  // time in microseconds times accelerators.
  std::map<int, double> rack_demand_by_workers_;
  // Demand of submitted jobs with several accelerators in the same unit, by
  // accelerators per worker.
  std::map<int, double> demand_by_size_;

  std::set<int> claiming_;
  std::set<int> unconfirmed_stops_;
  std::vector<reservation> reservations_;
  std::vector<std::uint64_t> reserved_on_;  // Mask of reservations by worker.
  instant last_reservation_planning_;
  instant last_compaction_;
  bool are_promises_stale_ = true;
  // Set if reserved workers can have become available to promise.
  bool are_reserved_promises_stale_ = true;

  instant now_;
  int starts_left_ = 0;
  plan plan_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_PLANNER_IMPL_H_

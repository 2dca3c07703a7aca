#ifndef SASSAFRAS_SRC_SCHED_WORK_IMPL_H_
#define SASSAFRAS_SRC_SCHED_WORK_IMPL_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "sassafras/sched/placement.h"
#include "sassafras/sched/start_forecast.h"
#include "sassafras/sched/work_core.h"
#include "src/sched/close_cause.h"
#include "src/sched/large_tasks.h"
#include "src/sched/minion_trust.h"
#include "src/sched/team_shares.h"
#include "src/sched/waiting_order.h"
#include "src/sched/work_state.h"

namespace sassafras::sched {

/// Health of a minion that takes tasks, and of one that is kept from them only
/// because its runs failed, stalled or were not answered.
inline constexpr std::string_view kUsable = "usable";
inline constexpr std::string_view kAvoided = "avoided";
/// Health of a minion that is kept from other tasks by an isolated run.
inline constexpr std::string_view kIsolating = "isolates a suspect";

/// Interval at which a stop is sent until it is acknowledged.
inline constexpr duration kStopResendInterval = std::chrono::milliseconds(150);
/// Records in one transaction. The platform accepts 100 entries and 1 MB.
inline constexpr std::size_t kMaxRecordsPerCommit = 30;
/// Time after which a run that is still being stopped is logged. Stops take
/// less than a second.
inline constexpr duration kOverdueStopTime = std::chrono::seconds(2);

/// State and decisions of work_core. work_core.cc processes rows, work_runs.cc
/// tracks runs, work_minions.cc tracks minions, work_strays.cc stops runs that
/// have no unit, work_wakeups.cc schedules when each minion is handled next,
/// work_placing.cc, work_holds.cc and work_evicting.cc place, reserve and
/// evict, work_records.cc writes records.
///
/// The cost of a decision depends on what has changed or is due, not on the
/// numbers of jobs and minions, unless jobs wait for room: units are indexed by
/// phase and minions by their next wakeup, and the placement view of a minion
/// is updated where it changes.
class work_core::impl {
 public:
  impl(work_options options,
       std::uint64_t fence,
       instant now,
       counter_table& counters);

  // work_core.cc
  void AddJob(instant now,
              const accepted_job& job,
              std::uint64_t accepted_version,
              const std::optional<job_record>& record,
              std::uint64_t record_version);
  void CancelJob(instant now, const std::string& id, std::uint64_t version);
  void ForgetSettledUnits();
  void RemoveSettledFromOpenJobs(instant now);
  std::map<std::string, int> WaitingByQueue() const;
  std::string Explain(const std::string& id) const;
  std::vector<expired_job> BeginErasing(instant now, std::size_t max_count);
  void FinishErasing(const std::string& id, bool are_rows_gone);

  // work_minions.cc
  void HandleMinionList(instant now, const std::vector<minion_report>& minions);
  void HandlePollAnswer(instant now,
                        instant sent,
                        const poll_order& order,
                        const poll_answer& answer);
  std::vector<minion_status> Minions() const;

  // work_crashes.cc
  void EndSucceededLives(instant now);

  // work_wakeups.cc
  void PrepareDirtyMinions(instant now);
  void FinishDirtyMinions(instant now);

  // work_summary.cc
  work_summary Summary(instant now) const;

  // work_runs.cc
  void HandleStartAnswer(instant now,
                         const start_order& order,
                         order_outcome outcome);
  void HandleStopAnswer(instant now,
                        const stop_order& order,
                        order_outcome outcome);
  void EmitStarts(instant now);
  void EmitStops(instant now);

  // work_advice.cc
  void HandleAdvice(instant now,
                    const advice_request& request,
                    const advice_answer& answer);

  // work_pacing.cc
  void HandlePaceAnswer(const pace_order& order, order_outcome outcome);

  // work_progress.cc
  void CheckProgress(instant now);

  // work_draining.cc
  void SetEvacuations(const evacuations& evacuated);
  void SetCordoned(const std::string& minion, bool is_cordoned);
  bool TryDrain(instant now, const std::string& minion, bool is_forced);

  // work_placing.cc
  void PlaceAll(instant now, std::int64_t wall_unix_ms);

  // work_ordering.cc
  std::map<std::string, double> TeamAccounts(instant now) const {
    return team_shares_.Accounts(now);
  }
  void RestoreTeamAccounts(instant now,
                           const std::map<std::string, double>& accounts) {
    team_shares_.Restore(now, accounts);
  }

  // work_forecast.cc
  queue_forecasts Forecasts(instant now);

  // work_records.cc
  void EmitCommit(instant now);
  void HandleCommitAnswer(instant now, const commit_answer& answer);
  std::vector<job_entry*> JobsToRecord(instant now);
  std::optional<std::string> EncodeFittingRecord(instant now, job_entry& job);
  void LowerRecord(instant now, job_entry& job, std::string_view reason);
  void WithdrawPlacement(instant now, job_entry& job, work_unit& unit);
  void HandleRefusedRecords(instant now);

  work_actions TakeActions() { return std::exchange(actions_, {}); }
  void SetConfig(service_config_ptr config);
  const std::map<std::string, job_entry>& Jobs() const { return jobs_; }

 private:
  friend class work_core;

  // A record row of the commit in flight.
  struct sent_record {
    std::string job;
    std::uint64_t change = 0;
  };

  // work_core.cc
  void AddUnits(job_entry& entry);
  void AddToWaitingJobs(job_entry& job);
  void LogEndedJobWithRuns(const job_entry& entry);
  void Restore(job_entry& entry, const job_record& record);
  void RestoreDone(job_entry& entry, const std::vector<done_units>& recorded);
  void RestoreMembers(job_entry& entry,
                      work_unit& unit,
                      const recorded_unit& recorded);
  const std::string& ServiceOf(const job_entry& entry) const;
  void SetPhase(job_entry& job, work_unit& unit, unit_phase phase);
  void EnterPhase(job_entry& job, work_unit& unit);
  void LeavePhase(job_entry& job, work_unit& unit);
  static bool CountsAgainstGuarantee(const job_entry& job,
                                     const work_unit& unit);
  std::set<unit_ref>* UnitsIn(unit_phase phase);

  // work_wakeups.cc
  void MarkDirty(minion_entry& minion);
  void ScheduleWakeup(instant now, minion_entry& minion);
  instant NextWakeup(instant now, const minion_entry& minion) const;
  void RefreshView(instant now, minion_entry& minion);
  void RebuildViews(instant now);
  void ForgetMinion(minion_entry& minion);

  // work_runs.cc
  member_ref FindMember(const run_key& run, const std::string& minion) const;
  void AddMember(minion_entry& minion, const member_ref& ref);
  void RemoveMember(minion_entry& minion, const member_ref& ref);
  void AddToCounts(minion_entry& minion, const member_ref& ref, int delta);
  void AddToIsolated(minion_entry& minion, int delta);
  static run_key KeyOf(const job_entry& job,
                       const work_unit& unit,
                       const unit_member& member);
  void StartUnit(instant now, job_entry& job, work_unit& unit);
  void SendStart(instant now,
                 job_entry& job,
                 work_unit& unit,
                 unit_member& member);
  void CloseRun(instant now,
                job_entry& job,
                work_unit& unit,
                close_cause cause,
                std::string_view detail = {});
  static std::optional<close_cause> CauseNotToRun(const job_entry& job,
                                                  const work_unit& unit);
  void CloseNeedlessRuns(instant now, job_entry& job);
  void ReleaseMember(job_entry& job, work_unit& unit, unit_member& member);
  void FinishClosing(instant now, job_entry& job, work_unit& unit);
  void LogIfStopOverdue(instant now, const member_ref& ref);
  static bool CompletesUnit(const job_entry& job,
                            const work_unit& unit,
                            run_end how);
  void HandleEnd(instant now,
                 minion_entry& minion,
                 const member_ref& ref,
                 const listed_end& end);
  void HandleLateEnd(instant now, const listed_end& end);
  static work_unit* FindUnit(job_entry& job, const task_key& task);
  void HandleTerminatedMember(instant now,
                              const member_ref& ref,
                              close_cause cause,
                              std::string_view detail = {});
  void ConfirmMember(instant now, const member_ref& ref);
  void CountFailure(instant now, job_entry& job, work_unit& unit);
  void FailJob(instant now,
               job_entry& job,
               const work_unit& unit,
               const std::string& reason);
  void UpdateState(instant now, job_entry& job);
  void MarkChanged(job_entry& job);
  bool MayStartOn(instant now, const minion_entry& minion) const;
  bool ResendStarts(instant now, const unit_ref& ref);

  // work_minions.cc
  minion_entry& MinionOf(const std::string& id);
  minion_entry* FindMinion(const std::string& id);
  void BeginIncarnation(instant now,
                        minion_entry& minion,
                        std::int64_t incarnation,
                        bool has_left);
  static void MoveToIncarnation(minion_entry& minion, unit_member& member);
  void TerminateIfLeaseExpired(instant now, minion_entry& minion);
  void EmitPolls(instant now, minion_entry& minion);
  static std::string DescribeRunTime(instant now, const member_ref& ref);
  void HandleEnds(instant now, minion_entry& minion, const poll_answer& answer);
  void HandleRunningList(instant now,
                         instant sent,
                         minion_entry& minion,
                         const poll_answer& answer);
  void AcknowledgeDurableEnds(minion_entry& minion);
  instant LeaseExpiry(const minion_entry& minion) const;
  bool HasLeaseExpired(instant now, const minion_entry& minion) const;
  std::int64_t GrantLease(instant now, minion_entry& minion);
  static bool HasRunToKeep(const minion_entry& minion);
  duration PollWait(instant now, const minion_entry& minion) const;
  void EmitPoll(instant now,
                minion_entry& minion,
                duration wait,
                bool is_extra);
  void RemoveDepartedMinions(instant now);
  std::string_view HealthOf(instant now, const minion_entry& minion) const;
  bool MayStartAnything(instant now) const;
  void AvoidMinion(instant now,
                   minion_entry& minion,
                   std::string_view reason,
                   duration base_pause = std::chrono::seconds(2));

  // work_strays.cc
  void KeepStray(instant now,
                 instant sent,
                 minion_entry& minion,
                 const run_key& run);
  void ExpectLateStart(instant now, const start_order& order);
  void AddStray(instant now,
                minion_entry& minion,
                const run_key& run,
                instant may_start_until);
  void StopLateStarts(instant now, minion_entry& minion);
  static void DropStraysNotListed(instant now,
                                  instant sent,
                                  const std::set<run_key>& listed,
                                  minion_entry& minion);
  void StopStrays(instant now);
  void LogIfStrayOverdue(instant now,
                         const minion_entry& minion,
                         const run_key& run,
                         stray_run& stray);
  void HandleStrayStopped(instant now, const stop_order& order);

  // work_crashes.cc
  void EndLife(instant now, minion_entry& minion);
  void RecordSilence(instant now, minion_entry& minion);
  bool HasCommonCause(const minion_entry& minion) const;
  std::map<run_key, crash_role> RolesInCrash(const minion_entry& minion) const;
  static crash_evidence EvidenceOf(instant now,
                                   const member_ref& ref,
                                   crash_role role);
  void CountCrash(instant now,
                  job_entry& job,
                  work_unit& unit,
                  const crash_evidence& lost);
  void CountCrash(instant now,
                  const member_ref& ref,
                  std::optional<crash_role> role);
  void RestoreUnresolved(job_entry& job,
                         work_unit& unit,
                         const recorded_unit& recorded);
  void KeepUnresolved(instant now, const member_ref& ref, crash_role role);
  using incarnations_by_address = std::map<std::string, std::int64_t>;
  std::optional<bool> HasCrashed(const minion_incarnation& lost,
                                 const incarnations_by_address& latest) const;
  void ResolveLosses(instant now, const incarnations_by_address& latest);
  void ForgiveCrashes(const member_ref& ref);
  void EndIsolationIfSettled(work_unit& unit);
  bool CanIsolate(const fleet_view& fleet) const;
  static bool HasUnsettledRuns(const minion_entry& minion);
  fleet_view IsolatedView(instant now,
                          const unit_ref& unit,
                          const std::vector<minion_view>& views,
                          isolation_place place) const;
  bool TryPlaceIsolated(instant now, job_entry& job, work_unit& unit);

  // work_placing.cc
  bool CanSpreadOverRacks(instant now, const unit_ref& waiting) const;
  bool IsAtLeastAsHardToPlace(instant now,
                              const unit_ref& unit,
                              const unit_ref& unplaced) const;
  void PlaceWaiting(instant now,
                    std::int64_t wall_ms,
                    job_entry& job,
                    std::vector<unit_ref>& unplaced);
  bool PlaceOrSkip(instant now,
                   const unit_ref& waiting,
                   std::vector<unit_ref>& unplaced);
  static std::size_t EndOfDue(std::int64_t wall_ms, const job_entry& job);
  static bool IsStepReady(const job_entry& job, const work_unit& unit);
  static std::size_t PositionAfterStep(const unit_ref& unit,
                                       std::size_t position);
  void CountSameStep(const job_entry& job,
                     const work_unit& unit,
                     fleet_view& fleet) const;
  // Claim for which runs are evicted.
  struct eviction_claim {
    int priority = 0;
    std::string team;
    // Also evicts urgent runs of teams that exceed their guarantee.
    bool can_take_borrowed = false;

    bool operator==(const eviction_claim&) const = default;
  };
  // Properties that determine whether a step could ever run on one rack.
  struct step_shape {
    resource_amounts needs;
    int width = 0;
    int max_per_minion = 0;
    std::string required_label;
    std::string data_rack;

    auto operator<=>(const step_shape&) const = default;
  };
  bool CouldFitInOneRack(const std::string& service,
                         const fleet_view& fleet,
                         const unit_ref& unit);
  static std::int64_t AcceleratorsOf(const job_entry& job,
                                     const work_unit& unit);
  std::int64_t GuaranteeOf(const std::string& team) const;
  bool IsWithinGuarantee(const job_entry& job, const work_unit& unit) const;
  bool CanTakeBorrowed(instant now,
                       const job_entry& job,
                       const work_unit& unit) const;
  bool IsEvictableFor(instant now,
                      const eviction_claim& claim,
                      const job_entry& job,
                      const work_unit& unit) const;
  double EvictionCostOf(instant now,
                        const job_entry& job,
                        work_unit& unit) const;
  void CollectEvictable(instant now,
                        const eviction_claim& claim,
                        fleet_view& fleet);
  void CollectEvictableOn(instant now,
                          const eviction_claim& claim,
                          minion_view& view);
  bool TryPlace(instant now, job_entry& job, work_unit& unit);
  static bool CanUseAvoidedMinions(instant now, const unit_ref& unit);
  bool TryPlaceOnAvoided(instant now,
                         job_entry& job,
                         work_unit& unit,
                         const fleet_view& fleet);
  void MarkProvenMinions(instant now, fleet_view& fleet);
  std::optional<std::vector<std::size_t>> FindProvenMinions(
      instant now,
      const job_entry& job,
      const work_unit& unit,
      fleet_view& fleet,
      placement_limits limits);
  std::optional<std::vector<std::size_t>> FindTrustedMinions(
      instant now,
      const unit_ref& unit,
      fleet_view& fleet,
      placement_limits limits);
  bool TryPlaceAmong(instant now,
                     job_entry& job,
                     work_unit& unit,
                     fleet_view& fleet);
  bool CanStop(instant now, const job_entry& job, const work_unit& unit) const;
  void Reserve(instant now,
               job_entry& job,
               work_unit& unit,
               const std::vector<std::size_t>& minion_indices,
               const std::vector<minion_view>& views);
  void Evict(instant now,
             const eviction_claim& claim,
             const job_entry& job,
             const work_unit& unit);
  void ProcessClaims(instant now);
  bool RecordIfFree(const unit_ref& claimed);
  void RecordRun(job_entry& job, work_unit& unit);
  double LossOf(instant now, const job_entry& job, work_unit& unit) const;

  // work_ordering.cc
  double DemandOf(const job_entry& job, const work_unit& unit) const;
  double TaskDemandOf(const job_entry& job, int index) const;
  double WaitingDemandOf(const job_entry& job) const;
  double WeightOf(const std::string& team) const;
  static const work_unit& FirstWaiting(const job_entry& job,
                                       work_unit& untouched);
  waiting_job ToWaitingJob(const job_entry& job) const;
  std::vector<job_entry*> WaitingJobs(instant now);

  // work_forecast.cc
  void AddWaitingWork(instant now,
                      std::map<std::string, queue_load>& loads) const;
  void ReturnPlacedWork(instant now,
                        const job_entry& job,
                        const work_unit& unit,
                        close_cause cause);
  double UsableMinions(instant now, const std::string& service) const;

  // work_holds.cc
  void BeginPass(instant now);
  void HoldRoomFor(instant now, const unit_ref& waiting);
  const std::vector<expected_release>& ReleasesOn(instant now,
                                                  const std::string& minion);
  static instant ExpectedEnd(instant now, const step_spec& step);
  bool MayUseHeldRoom(instant now, const unit_ref& unit) const;
  std::optional<resource_amounts> LargeTaskBeside(const std::string& service,
                                                  const step_spec& step);
  int CountHeldMinions(const job_entry& job) const;

  // work_advice.cc
  bool NeedsAdvice(const job_entry& job) const;
  std::vector<minion_view> AdvisedViews(
      instant now,
      const job_entry& job,
      const work_unit& unit,
      const std::vector<minion_view>& views) const;
  void RequestAdvice(instant now,
                     const job_entry& job,
                     const work_unit& unit,
                     const std::vector<minion_view>& views);
  std::string TicketOf(instant now,
                       const job_entry& job,
                       const work_unit& unit,
                       const minion_incarnation& minion) const;

  // work_pacing.cc
  void PaceFillers(instant now, minion_entry& minion);

  // work_progress.cc
  void UpdateSpeed(instant now, minion_entry& minion, const member_ref& ref);
  static int LeadOfPeers(const work_unit& unit, const unit_member& member);
  bool IsMemberStalled(const unit_ref& ref,
                       const unit_member& member,
                       bool has_alert) const;
  void MoveStalledRun(instant now,
                      const std::string& minion,
                      const member_ref& ref);

  // work_draining.cc
  duration RemainingTimeOf(instant now,
                           const job_entry& job,
                           const work_unit& unit) const;
  void EvacuateDrainingMinion(instant now, minion_entry& minion);

  void LogEvent(std::string_view event,
                const std::string& job,
                const std::string& task,
                const std::string& minion,
                std::string detail,
                bool is_routine = false);

  const work_options options_;
  const std::uint64_t fence_;
  const instant tenure_began_at_;
  counter_table& counters_;
  service_config_ptr config_;
  evacuations evacuations_;
  std::map<std::string, job_entry> jobs_;
  // Jobs that decisions must consider: those that have not ended, have reserved
  // capacity, or have a change that is not durable.
  std::map<std::string, job_entry*> open_jobs_;
  std::map<std::string, minion_entry> minions_;
  // Units in the phases over which decisions iterate.
  std::set<unit_ref> claimed_units_;
  std::set<unit_ref> recorded_units_;
  std::set<unit_ref> closing_units_;
  std::set<unit_ref> unconfirmed_units_;  // With an unanswered start.
  std::set<unit_ref> unresolved_units_;   // With `unresolved` runs.
  std::set<unit_ref> settled_units_;      // Done; they still have an object.
  // Jobs with waiting units, by priority, then by acceptance.
  std::map<std::tuple<int, std::uint64_t, std::string>, job_entry*>
      waiting_jobs_;
  // Jobs with a change that is not durable.
  std::map<std::string, job_entry*> changed_jobs_;
  // Minions by the time of their next wakeup.
  std::set<std::pair<instant, std::string>> wakeups_;
  std::vector<minion_entry*> dirty_minions_;
  std::set<std::string> polled_minions_;  // Since the last progress check.
  std::set<std::string> minions_with_pending_ends_;
  std::set<std::string> minions_with_strays_;
  std::map<std::string, fleet_view> fleets_;                 // By service.
  std::map<std::string, room_holds> holds_;                  // By service.
  std::map<std::string, resource_amounts> mean_capacities_;  // By service.
  team_shares team_shares_;
  // Gang tasks by service, and which of them lack room in the current pass.
  std::map<std::string, large_tasks> large_tasks_;
  std::map<std::string, std::optional<resource_amounts>> scarce_large_tasks_;
  instant scarce_large_tasks_at_;
  // Time and fleet for which `has_succeeded` was last set.
  std::pair<instant, const fleet_view*> successes_key_;
  std::map<std::string, placement_rate> placement_rates_;  // By queue.
  bool has_had_pass_ = false;  // A placement pass since the last forecast.
  // Cache of whether a step could ever run on one rack. Cleared when the minion
  // list is read.
  std::map<std::tuple<std::string, step_shape>, bool> fits_in_one_rack_;
  // Time, fleet and claim for which evictable runs were last collected.
  std::tuple<instant, const fleet_view*, eviction_claim> evictable_key_;
  stall_alert stall_alert_;
  int long_polls_in_flight_ = 0;
  std::uint64_t last_change_ = 0;
  bool is_commit_in_flight_ = false;
  instant next_commit_;
  duration commit_backoff_{0};
  std::vector<sent_record> sent_records_;
  // Records per commit: fewer after the store has refused one for good, until
  // it is known which of them it refuses.
  std::size_t max_records_per_commit_ = kMaxRecordsPerCommit;
  // Accelerators held by each team's urgent units that are not closing.
  std::map<std::string, std::int64_t> urgent_accelerators_;
  std::map<step_key, step_advice> advice_;
  bool is_advice_in_flight_ = false;
  bool should_place_ = true;
  // A minion may have answered since lives were last compared by address.
  bool has_new_answers_ = false;
  instant next_life_check_;
  std::deque<instant> silences_;  // When minions with runs fell silent.
  int isolating_minions_ = 0;     // Minions with members of isolated runs.
  instant minion_list_read_at_;
  instant next_placement_;        // If no event occurs.
  instant placement_not_before_;  // Regardless of events.
  instant next_progress_check_;
  instant next_job_cleanup_;  // Cleanup of open_jobs_.
  work_actions actions_;
};

/// Formats a run as "OCCURRENCE.STEP.INDEX#RUN" for log lines.
std::string FormatRun(const run_key& run);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_WORK_IMPL_H_

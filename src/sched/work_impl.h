#ifndef SASSAFRAS_SRC_SCHED_WORK_IMPL_H_
#define SASSAFRAS_SRC_SCHED_WORK_IMPL_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/sched/placement.h"
#include "sassafras/sched/work_core.h"
#include "src/sched/work_state.h"

namespace sassafras::sched {

/// State and decisions of work_core. Files: work_core.cc takes rows in,
/// work_runs.cc follows runs, work_minions.cc follows minions,
/// work_placing.cc places and evicts, work_records.cc writes records.
class work_core::impl {
 public:
  impl(work_options options,
       std::uint64_t fence,
       instant now,
       counter_table& counters);

  // work_core.cc
  void TakeJob(instant now,
               const accepted_job& job,
               std::uint64_t accepted_version,
               const std::optional<job_record>& record,
               std::uint64_t record_version);
  void CancelJob(instant now, const std::string& id, std::uint64_t version);
  void CloseSettledJobs();
  std::map<std::string, int> WaitingByQueue() const;
  std::string Explain(const std::string& id) const;
  std::vector<expired_job> TakeExpired(instant now, std::size_t most);

  // work_minions.cc
  void TakeMinions(instant now, const std::vector<minion_report>& minions);
  void TakeLook(instant now,
                instant sent,
                const look_order& order,
                const look_answer& answer);
  void CheckMinions(instant now);
  void EmitLooks(instant now);
  std::vector<minion_status> Minions() const;

  // work_summary.cc
  work_summary Summary(instant now) const;

  // work_runs.cc
  void TakeStartAnswer(instant now,
                       const start_order& order,
                       order_outcome outcome);
  void TakeStopAnswer(instant now,
                      const stop_order& order,
                      order_outcome outcome);
  void EmitStarts(instant now);
  void EmitStops(instant now);

  // work_advice.cc
  void TakeAdvice(instant now,
                  const advice_request& asked,
                  const advice_answer& answer);

  // work_pacing.cc
  void PaceAll(instant now);
  void TakePaceAnswer(const pace_order& order, order_outcome outcome);

  // work_progress.cc
  void CheckProgress(instant now);

  // work_leaving.cc
  void LeaveDraining(instant now);
  void Cordon(const std::string& minion, bool is_cordoned);
  bool Clear(instant now, const std::string& minion, bool is_forced);

  // work_placing.cc
  void PlaceAll(instant now, std::int64_t wall_unix_ms);

  // work_records.cc
  void EmitCommit(instant now);
  void TakeCommit(instant now, const commit_answer& answer);

  work_actions TakeActions() { return std::exchange(actions_, {}); }
  void SetConfig(service_config_ptr config);
  const std::map<std::string, job_entry>& Jobs() const { return jobs_; }

 private:
  friend class work_core;

  // A record row of the commit under way.
  struct sent_record {
    std::string job;
    std::uint64_t change = 0;
  };

  // work_core.cc
  void AddUnits(job_entry& entry, instant now);
  void Restore(job_entry& entry, const job_record& record);
  void RestoreMembers(job_entry& entry,
                      work_unit& unit,
                      const recorded_unit& recorded);
  const std::string& ServiceOf(const job_entry& entry) const;

  // work_runs.cc
  member_ref FindMember(const run_key& run, const std::string& minion) const;
  static void AddMember(minion_entry& minion, const member_ref& ref);
  static void DropMember(minion_entry& minion, const member_ref& ref);
  static void CountMember(minion_entry& minion, const member_ref& ref, int by);
  static run_key KeyOf(const job_entry& job,
                       const work_unit& unit,
                       const unit_member& member);
  void StartUnit(instant now, job_entry& job, work_unit& unit);
  void SendStart(instant now,
                 job_entry& job,
                 work_unit& unit,
                 unit_member& member);
  void CloseUnit(instant now,
                 job_entry& job,
                 work_unit& unit,
                 std::string_view why);
  void EndMember(job_entry& job, work_unit& unit, unit_member& member);
  void SettleUnit(instant now, job_entry& job, work_unit& unit);
  void TakeEnd(instant now,
               minion_entry& minion,
               const member_ref& ref,
               const listed_end& end);
  void TakeLateEnd(instant now, const listed_end& end);
  void LoseMember(instant now, const member_ref& ref, std::string_view why);
  void ConfirmMember(instant now, const member_ref& ref);
  void CountFailure(instant now, job_entry& job, work_unit& unit);
  void UpdateState(instant now, job_entry& job);
  void MarkChanged(job_entry& job);
  void ResendStarts(instant now, job_entry& job);

  // work_minions.cc
  minion_entry& MinionOf(const std::string& id);
  minion_entry* FindMinion(const std::string& id);
  void BeginLife(instant now, minion_entry& minion, std::int64_t born);
  static void MoveToLife(minion_entry& minion, unit_member& member);
  static std::string TimesOf(instant now, const member_ref& ref);
  void TakeEnds(instant now, minion_entry& minion, const look_answer& answer);
  void TakeRunning(instant now,
                   instant sent,
                   minion_entry& minion,
                   const look_answer& answer);
  void Acknowledge(minion_entry& minion);
  bool HasLapsed(instant now, const minion_entry& minion) const;
  std::int64_t LeaseUntil(instant now, const minion_entry& minion) const;
  void EmitLook(instant now,
                minion_entry& minion,
                duration wait,
                bool is_extra);
  void DropGone();
  void StopOrphan(const minion_entry& minion, const listed_run& run);
  std::string_view HealthOf(instant now, const minion_entry& minion) const;
  void JudgeEnd(instant now,
                minion_entry& minion,
                const std::string& job,
                run_end how);
  void AvoidMinion(instant now,
                   minion_entry& minion,
                   std::string_view why,
                   duration first = std::chrono::seconds(2));

  // work_placing.cc
  struct waiting_unit {
    job_entry* job = nullptr;
    work_unit* unit = nullptr;

    const step_spec& Step() const {
      return job->job.spec.steps.at(static_cast<std::size_t>(unit->step));
    }
  };
  static bool MaySpread(instant now, const waiting_unit& waiting);
  bool IsNoEasier(instant now,
                  const waiting_unit& unit,
                  const waiting_unit& unplaced) const;
  std::vector<waiting_unit> WaitingUnits(instant now, std::int64_t wall_ms);
  bool IsReady(instant now,
               std::int64_t wall_ms,
               const job_entry& job,
               const work_unit& unit) const;
  std::vector<minion_view> ViewsOf(instant now, const std::string& service);
  void CountSameStep(const job_entry& job,
                     const work_unit& unit,
                     std::vector<minion_view>& views) const;
  // On whose behalf runs are stopped.
  struct eviction_claim {
    int priority = 0;
    std::string team;
    bool takes_borrowed = false;  // Also urgent runs beyond a guarantee.
  };
  void CountUrgentUse();
  static std::int64_t AcceleratorsOf(const job_entry& job,
                                     const work_unit& unit);
  std::int64_t GuaranteeOf(const std::string& team) const;
  bool IsWithinGuarantee(const job_entry& job, const work_unit& unit) const;
  bool MayTakeBorrowed(instant now,
                       const job_entry& job,
                       const work_unit& unit) const;
  bool GivesWay(instant now,
                const eviction_claim& claim,
                const job_entry& job,
                const work_unit& unit) const;
  void AddEvictable(instant now,
                    const eviction_claim& claim,
                    std::vector<minion_view>& views);
  bool TryPlace(instant now,
                job_entry& job,
                work_unit& unit,
                std::vector<minion_view>& views);
  bool TryPlaceAmong(instant now,
                     job_entry& job,
                     work_unit& unit,
                     std::vector<minion_view>& views);
  bool MayStop(instant now, const job_entry& job, const work_unit& unit) const;
  void Reserve(instant now,
               job_entry& job,
               work_unit& unit,
               const std::vector<std::size_t>& places,
               std::vector<minion_view>& views);
  void Evict(instant now,
             const eviction_claim& claim,
             const job_entry& job,
             const work_unit& unit);
  void CheckClaims(instant now);
  void Record(job_entry& job, work_unit& unit);
  double LossOf(instant now, const job_entry& job, const work_unit& unit) const;

  // work_advice.cc
  bool NeedsAdvice(const job_entry& job) const;
  std::vector<minion_view> AdvisedViews(
      instant now,
      const job_entry& job,
      const work_unit& unit,
      const std::vector<minion_view>& views) const;
  void AskAdvice(instant now,
                 const job_entry& job,
                 const work_unit& unit,
                 const std::vector<minion_view>& views);
  std::string TicketOf(instant now,
                       const job_entry& job,
                       const work_unit& unit,
                       const minion_life& minion) const;

  // work_pacing.cc
  void PaceMinion(instant now, minion_entry& minion);

  // work_progress.cc
  void MeasureSpeed(instant now, minion_entry& minion, const member_ref& ref);
  static bool StandsStill(const member_ref& ref);
  void MoveStill(instant now, const std::string& minion, const member_ref& ref);

  // work_leaving.cc
  duration RemainingOf(instant now,
                       const job_entry& job,
                       const work_unit& unit) const;
  void LeaveMinion(instant now, minion_entry& minion);

  void Note(std::string_view event,
            const std::string& job,
            const std::string& task,
            const std::string& minion,
            std::string detail);

  const work_options options_;
  const std::uint64_t fence_;
  const instant began_;
  counter_table& counters_;
  service_config_ptr config_;
  std::map<std::string, job_entry> jobs_;
  // Jobs that decisions concern: not ended, or with units that hold room or a
  // change that is not durable.
  std::map<std::string, job_entry*> open_jobs_;
  std::map<std::string, minion_entry> minions_;
  std::uint64_t changes_ = 0;
  bool is_commit_out_ = false;
  instant next_commit_;
  duration commit_backoff_{0};
  std::vector<sent_record> sent_records_;
  std::map<std::string, std::int64_t> urgent_use_;  // By team; of one pass.
  std::map<step_key, step_advice> advice_;
  bool is_advice_out_ = false;
  bool should_place_ = true;
  // Set when a start was not answered; cleared once none is left to resend.
  bool has_unsure_ = false;
  instant listed_at_;    // The platform's list was last read.
  instant next_place_;   // Without an event.
  instant place_after_;  // Not before, whatever happens.
  instant next_check_;   // Of progress.
  work_actions actions_;
};

/// "OCCURRENCE.STEP.INDEX#RUN" for log lines.
std::string FormatRun(const run_key& run);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_WORK_IMPL_H_

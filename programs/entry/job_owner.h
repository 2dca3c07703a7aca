#ifndef SASSAFRAS_PROGRAMS_ENTRY_JOB_OWNER_H_
#define SASSAFRAS_PROGRAMS_ENTRY_JOB_OWNER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "programs/entry/entry_settings.h"
#include "programs/entry/platform_adapter.h"
#include "programs/shell/lease_keeper.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/sched/decision_pace.h"
#include "sassafras/sched/upkeep_core.h"
#include "sassafras/sched/work_core.h"
#include "sassafras/telemetry/metrics.h"

namespace sassafras {

/// Files: job_owner.cc contends, job_owner_rows.cc reads and writes rows,
/// job_owner_upkeep.cc serves waves, job_owner_orders.cc decides and orders.
///
/// Contends for the ownership of the jobs and, while it holds it, carries out
/// what work_core decides. Safe to use from several threads; its lock comes
/// before those of the lease and of counters, and no port is called with it
/// held.
class job_owner : public std::enable_shared_from_this<job_owner> {
 public:
  struct hooks {
    std::function<instant()> now;
    std::function<std::int64_t()> wall_unix_ms;
    /// Calls `action` once after `delay`.
    std::function<void(duration delay, std::function<void()> action)> after;
  };

  /// `max_long_polls`: looks at minions that may wait at one time.
  static std::shared_ptr<job_owner> Make(const platform_adapter& adapter,
                                         const table_port& table,
                                         const entry_settings& settings,
                                         int max_long_polls,
                                         counter_table& counters,
                                         metrics& metrics_registry,
                                         hooks hooks);

  /// Begins to contend. Call once.
  void Start();

  void OnConfig(sched::service_config_ptr config);

  /// Takes in a row that the operator wrote beside the configuration.
  void OnOperatorRow(const table_row& row);

  /// Gives the ownership up and takes it no more.
  void Stop(std::function<void()> done);

  /// Whether this process owns the jobs now.
  bool IsOwner() const;

  /// Process that owned the jobs when that was last read.
  std::string LastOwner() const;

  /// One sentence about a job; empty if this process does not own it.
  std::string Explain(const std::string& job) const;

  std::vector<sched::minion_status> Minions() const;

  /// Load and room; empty if this process does not own the jobs.
  std::optional<sched::work_summary> Summary() const;

  /// How long this process has owned the jobs, 0 if it does not.
  duration OwnedFor() const;

 private:
  // Events that come together are decided on together.
  static constexpr duration kDecisionBatchDelay = std::chrono::milliseconds(2);
  // Before a call to the store that failed is tried again.
  static constexpr duration kRetryDelay = std::chrono::milliseconds(100);

  job_owner(const platform_adapter& adapter,
            const table_port& table,
            const entry_settings& settings,
            int max_long_polls,
            counter_table& counters,
            metrics& metrics_registry,
            hooks hooks);

  void Tick();
  void RenewLease();
  void OnGained(std::uint64_t epoch);
  void OnLost();
  void LoadJobs(std::uint64_t tenure);
  void LoadTable(std::uint64_t tenure,
                 const std::string& prefix,
                 std::function<void(const read_answer&)> done);
  bool IsCurrentTenure(std::uint64_t tenure) const;
  void OnJobsLoaded(std::uint64_t tenure,
                    const read_answer& record_answer,
                    const read_answer& jobs);
  void ApplyJobRow(const table_row& row,
                   const std::map<std::string, const table_row*>& records);
  void FollowJobs(std::uint64_t tenure, std::uint64_t after);
  void ReloadJobs(std::uint64_t tenure);
  void ListMinions(std::uint64_t tenure);
  void ApplyMinionRows(std::uint64_t tenure, const read_answer& answer);
  void PublishWaitingCounts(std::uint64_t tenure);
  void EraseExpiredJobs(std::uint64_t tenure);
  void DecideUpkeep(std::uint64_t tenure);
  void SendUpkeepOrder(std::uint64_t tenure, const sched::upkeep_order& order);
  void ListMachines(std::uint64_t tenure);
  void WriteWaveStatus(std::uint64_t tenure,
                       const sched::wave_status& status,
                       std::uint64_t expected_version);
  void ScheduleTimedDecisions();

  // Runs `change` on the core if `tenure` lasts, and decides soon after.
  void UpdateCore(
      std::uint64_t tenure,
      const std::function<void(sched::work_core&, instant)>& update);
  void ScheduleDecision(duration delay);
  void DecideNow();
  void ExecuteActions(std::uint64_t tenure, sched::work_actions actions);
  void RecordTakeoverTimes(const sched::work_actions& actions);
  void SendStart(std::uint64_t tenure, sched::start_order order);
  void SendStop(std::uint64_t tenure, sched::stop_order order);
  void SendPoll(std::uint64_t tenure, sched::look_order order);
  void SendPace(std::uint64_t tenure, sched::pace_order order);
  void SendAdvice(std::uint64_t tenure, sched::advice_request request);

  const platform_adapter& adapter_;
  const table_port& table_;
  const entry_settings& settings_;
  const int max_long_polls_;
  counter_table& counters_;
  metrics& metrics_;
  const hooks hooks_;
  std::shared_ptr<lease_keeper> lease_;

  mutable std::mutex mutex_;
  std::unique_ptr<sched::work_core> core_;
  std::unique_ptr<sched::upkeep_core> upkeep_;
  std::map<std::int64_t, sched::upkeep_wave> waves_;
  bool is_machine_list_pending_ = false;
  sched::service_config_ptr config_;
  std::uint64_t tenure_ = 0;  // Counts gains; 0: never held.
  bool is_owner_ = false;
  bool is_decision_scheduled_ = false;
  sched::decision_pace pace_;
  instant gained_at_;
  bool has_sent_poll_ = false;   // Since then.
  bool has_sent_start_ = false;  // Since then.
  bool is_renewal_in_flight_ = false;
  instant last_commit_at_;
  std::uint64_t waiting_counts_version_ = 0;
  std::string published_waiting_counts_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_JOB_OWNER_H_

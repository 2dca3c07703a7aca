#ifndef SASSAFRAS_PROGRAMS_ENTRY_JOB_OWNER_H_
#define SASSAFRAS_PROGRAMS_ENTRY_JOB_OWNER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
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

/// Contends for the ownership of the jobs and, while this process is the owner,
/// carries out the decisions of work_core and upkeep_core. A period of
/// ownership is called a tenure; answers to calls of an earlier tenure are
/// ignored. While a renewal of the lease is late, the tenure is suspended: the
/// process makes no decision, sends no order and is no owner, but it keeps its
/// state until it owns the jobs again or another process does.
///
/// Safe to use from several threads. Its lock is acquired before those of the
/// lease and of the counters. No port is called with it held.
///
/// Files: job_owner.cc contends for the lease, job_owner_rows.cc reads and
/// writes rows of the store, job_owner_orders.cc runs decisions and sends
/// orders to minions, job_owner_upkeep.cc serves upkeep waves.
class job_owner : public std::enable_shared_from_this<job_owner> {
 public:
  struct hooks {
    /// Returns the monotonic time.
    std::function<instant()> now;
    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    std::function<std::int64_t()> wall_unix_ms;
    /// Calls `action` once after `delay`.
    std::function<void(duration delay, std::function<void()> action)> after;
    /// Returns the data centres that the operator has evacuated.
    std::function<sched::evacuations()> evacuations;
  };

  /// `max_long_polls` is the number of polls of minions that may wait for a run
  /// to end at the same time. All objects passed by reference must outlive the
  /// job_owner.
  static std::shared_ptr<job_owner> Make(const platform_adapter& adapter,
                                         const table_port& table,
                                         const entry_settings& settings,
                                         int max_long_polls,
                                         counter_table& counters,
                                         metrics& metrics_registry,
                                         hooks hooks);

  /// Starts to contend for the ownership. Call once.
  void Start();

  /// Applies a newer configuration, now and in later tenures.
  void OnConfig(sched::service_config_ptr config);

  /// Handles a row of the operator's table other than the configuration. Upkeep
  /// waves are applied; other rows are only counted.
  void OnOperatorRow(const table_row& row);

  /// Releases the ownership and stops contending. Calls `done` when the release
  /// is answered.
  void Stop(std::function<void()> done);

  bool IsOwner() const;

  /// Returns the id of the process that owned the jobs according to the last
  /// read of the lease; empty if none did.
  std::string LastOwner() const;

  /// Returns one sentence about the state of a job; empty if this process does
  /// not own the jobs or does not know this one.
  std::string Explain(const std::string& job) const;

  /// Returns the known minions; empty if this process does not own the jobs.
  std::vector<sched::minion_status> Minions() const;

  /// Returns load and free capacity; empty if this process does not own the
  /// jobs.
  std::optional<sched::work_summary> Summary() const;

  /// Returns the time since this process became owner, or 0 if it is not.
  duration OwnedFor() const;

 private:
  // Delay from an event to the decision, so that events that arrive together
  // are handled by one decision.
  static constexpr duration kDecisionBatchDelay = std::chrono::milliseconds(2);
  // Delay before a failed call to the store is repeated.
  static constexpr duration kRetryDelay = std::chrono::milliseconds(100);

  // An upkeep wave that the operator requested.
  struct known_wave {
    sched::upkeep_wave wave;
    instant first_seen;  // By this process, in whatever tenure.
  };
  // A tombstone of a submission.
  struct known_tombstone {
    std::uint64_t version = 0;
    instant first_seen;  // By this process, in whatever tenure.
  };
  // Rows of jobs that were read and are applied one after another.
  struct loaded_rows {
    std::map<std::string, table_row> records;  // By key.
    std::vector<table_row> jobs;
    std::size_t next = 0;       // Index of the first of `jobs` not applied.
    std::uint64_t version = 0;  // Of the store when `jobs` were read.
  };
  // Versions of the rows of a wave, as far as this process has met them.
  struct wave_versions {
    std::uint64_t record = 0;
    std::uint64_t status = 0;
  };

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
  bool ResumeTenure(std::uint64_t epoch);
  void EndTenureIfSuperseded();
  void EndTenure();
  void LoadRows(std::uint64_t tenure,
                std::function<void(const loaded_rows& rows)> done);
  void LoadJobs(std::uint64_t tenure);
  void LoadTable(std::uint64_t tenure,
                 const std::vector<std::string>& prefixes,
                 std::function<void(read_answer)> done);
  bool IsCurrentTenure(std::uint64_t tenure) const;
  void OnJobsLoaded(std::uint64_t tenure, const loaded_rows& rows);
  void ApplyLoadedRows(
      std::uint64_t tenure,
      const std::shared_ptr<loaded_rows>& rows,
      const std::function<void(const loaded_rows& rows)>& done);
  void ApplyJobRow(const table_row& row,
                   const std::map<std::string, table_row>& records);
  void FollowJobs(std::uint64_t tenure, std::uint64_t after);
  void ReloadJobs(std::uint64_t tenure);
  void ListMinions(std::uint64_t tenure);
  void ApplyMinionRows(std::uint64_t tenure, const read_answer& answer);
  void PublishWaitingCounts(std::uint64_t tenure);
  void LoadForecast(std::uint64_t tenure);
  void PublishForecast(std::uint64_t tenure);
  void EraseExpiredJobs(std::uint64_t tenure);
  void EraseJob(std::uint64_t tenure, const sched::expired_job& job);
  void OnJobRowErased(std::uint64_t tenure,
                      const sched::expired_job& job,
                      const commit_answer& answer);
  void FinishErasing(std::uint64_t tenure,
                     const std::string& id,
                     bool are_rows_gone);
  void NoteTombstone(const table_row& row);
  void EraseOldTombstones(std::uint64_t tenure);
  void OnTombstoneErased(const table_write& erased,
                         const commit_answer& answer);
  void LoadWaves(std::uint64_t tenure);
  void OnWavesLoaded(std::uint64_t tenure, const read_answer& answer);
  void DecideUpkeep(std::uint64_t tenure);
  void SendUpkeepOrder(std::uint64_t tenure, const sched::upkeep_order& order);
  void ListMachines(std::uint64_t tenure);
  void WriteWave(std::uint64_t tenure, const sched::wave_record& record);
  void OnWaveWritten(std::uint64_t tenure,
                     const sched::wave_record& record,
                     const std::string& status_key,
                     const commit_answer& answer);
  void ScheduleTimedDecisions();

  // Calls `update` with the core if `tenure` is current, and schedules a
  // decision.
  void UpdateCore(
      std::uint64_t tenure,
      const std::function<void(sched::work_core&, instant)>& update);
  void ScheduleDecision(duration delay);
  void DecideNow();
  void ExecuteActions(std::uint64_t tenure, sched::work_actions actions);
  void RecordTakeoverTimes(const sched::work_actions& actions);
  void SendStart(std::uint64_t tenure, sched::start_order order);
  void SendStop(std::uint64_t tenure, sched::stop_order order);
  void SendPoll(std::uint64_t tenure, sched::poll_order order);
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
  // Null until the records of the waves have been loaded in this tenure.
  std::unique_ptr<sched::upkeep_core> upkeep_;
  std::map<std::string, known_tombstone> tombstones_;  // By key.
  std::map<std::int64_t, known_wave> waves_;
  std::map<std::int64_t, wave_versions> wave_versions_;
  // Set from the call for the list until kMachineListInterval after its answer.
  bool is_machine_list_pending_ = false;
  sched::service_config_ptr config_;
  std::uint64_t tenure_ = 0;  // Number of the last tenure; 0: none yet.
  std::uint64_t epoch_ = 0;   // Epoch of the lease in that tenure.
  std::uint64_t fence_ = 0;   // Fencing token of that tenure.
  // Whether this process may act. False with a core: the tenure is suspended.
  bool is_owner_ = false;
  // Whether all jobs of the current tenure are in the core. Before that, runs
  // of jobs that are not would be taken for strays.
  bool are_jobs_loaded_ = false;
  bool is_decision_scheduled_ = false;
  sched::decision_pace pace_;
  instant gained_at_;
  bool has_sent_poll_ = false;   // In the current tenure.
  bool has_sent_start_ = false;  // In the current tenure.
  bool is_renewal_in_flight_ = false;
  instant last_commit_at_;
  std::uint64_t waiting_counts_version_ = 0;
  std::string published_waiting_counts_;
  std::uint64_t forecast_version_ = 0;
  std::string published_forecast_;
};

/// What a process can do as the owner of the jobs, in cores. A slow link is as
/// much of a limit as a small share of a core, and processes of much larger
/// capacity are handed the ownership.
double OwnerCapacityOf(const entry_settings& settings);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_JOB_OWNER_H_

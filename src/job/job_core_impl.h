#ifndef SASSAFRAS_JOB_JOB_CORE_IMPL_H_
#define SASSAFRAS_JOB_JOB_CORE_IMPL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafras/job/job_core.h"
#include "src/job/gang_driver.h"
#include "src/job/placement_ledger.h"
#include "src/job/renewal_table.h"
#include "src/job/row_scanner.h"
#include "src/job/row_writer.h"
#include "src/job/tracked_job.h"

namespace sassafras::job {

/// Implementation of job_core. job_core.cc handles events and timers,
/// job_records.cc reads and writes rows, job_workers.cc handles worker calls.
class job_core::impl {
 public:
  impl(job_core_options options, counter_table& counters);

  std::vector<job_action> Handle(instant now,
                                 const job_ownership& ownership,
                                 const job_event& event);

  bool IsReady() const { return mode_ == mode::kOwner; }
  std::size_t Count(job_state state) const;
  std::vector<team_id> BrokenGuarantees() const;
  std::vector<worker_id> Quarantined() const { return health_.Quarantined(); }

 private:
  enum class mode : std::uint8_t {
    kStandby,  ///< Not the owner of the jobs.
    kLoading,  ///< Has become the owner and reads all rows.
    kOwner,    ///< Is the owner and has read all rows.
  };

  // job_core.cc: ownership, events and timers.
  void UpdateMode(const job_ownership& ownership);
  void BecomeOwner();
  void StartScan();
  void On(const config_changed& event);
  void On(const tick& event);
  void On(const rows_scanned& event);
  void On(const rows_read& event);
  void On(const rows_committed& event);
  void On(const task_answered& event);
  void On(const tasks_renewed& event);
  void On(const tasks_listed& event);
  void TickOwner();
  void TickScan();
  void RunPlanner();
  void ApplyStart(const planned_start& start);
  void ApplyStop(const planned_stop& stop);
  void ExplainSome();
  duration RenewInterval() const;
  void SendRenewals();
  void FlushWrites();

  // job_records.cc: rows.
  void TrackAllRows(const std::vector<table_row>& rows, std::int64_t wall_ms);
  void TrackRow(const table_row& row, std::int64_t wall_ms);
  void AddToPlanner(tracked_job& job);
  void ProcessMarkedRow(const table_row& row, std::int64_t wall_ms);
  void RecordStoreResult(instant sent, const read_answer& answer);
  void OnMarkers(const rows_scanned& event);
  void OnRecorded(job_row row, std::uint64_t version);
  void EnterState(tracked_job& job, job_state before);
  void End(tracked_job& job, job_state before);
  void Supersede(tracked_job& job, const table_row& row);
  void StopTracking(const job_id& job);
  void LogStateChange(const job_row& row);
  std::optional<row_change> NextChange(const job_id& job);

  // job_workers.cc: workers.
  void TickWorkers();
  void ReportAllUsability();
  void ReportUsability(const worker_id& worker);
  void Drive(tracked_job& job);
  void ProcessReport(const worker_id& worker,
                     instant sent,
                     const task_report& report);
  void OnTaskCall(tracked_job& job, int index, const task_answered& event);
  void SendProbe(const worker_id& worker);
  void OnProbe(const task_answered& event);
  bool IsExpected(const worker_id& worker, const task_report& report);
  void StopStrayTask(const worker_id& worker, const task_id& task);
  tracked_job* FindTask(const worker_id& worker,
                        const task_id& task,
                        int& index);

  job_core_options options_;
  counter_table& counters_;
  mode mode_ = mode::kStandby;
  bool was_renewing_as_standby_ = false;
  std::uint64_t epoch_ = 0;
  job_ownership ownership_;
  instant now_;
  std::vector<job_action> actions_;
  // Last number given to a scan, read or probe.
  std::uint64_t last_number_ = 0;

  config_ptr config_;
  std::unique_ptr<planner> planner_;
  worker_health health_;
  std::map<worker_id, bool> reported_usability_;
  std::map<worker_id, instant> next_list_;
  std::map<worker_id, instant> probes_;  // Sending times of probes in flight.
  placement_ledger ledger_;
  renewal_table renewals_;
  row_writer writer_;
  row_scanner scanner_;
  row_scanner marker_scanner_;
  std::uint64_t marker_read_ = 0;                    // Read in flight, or 0.
  std::map<job_id, std::uint64_t> marker_versions_;  // Markers of that read.

  std::map<job_id, tracked_job> jobs_;
  std::set<job_id> active_jobs_;  // Driven at each tick.
  // Reason why the planner refused each.
  std::map<job_id, std::string> rejected_jobs_;
  job_id explain_cursor_;
  bool is_plan_due_ = false;
  instant next_plan_;
  instant next_scan_;
  instant next_marker_scan_;
  instant next_explain_;
  instant next_worker_check_;
  instant scan_sent_;
  instant marker_scan_sent_;
  // Sending time of the last scan that was answered, with success or failure.
  std::optional<instant> last_store_answer_;
  std::optional<instant> last_store_success_;  // With success only.
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_JOB_CORE_IMPL_H_

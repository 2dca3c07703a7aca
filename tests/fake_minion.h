#ifndef SASSAFRAS_TESTS_FAKE_MINION_H_
#define SASSAFRAS_TESTS_FAKE_MINION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafras/sched/job_model.h"
#include "sassafras/sched/minion_orders.h"

namespace sassafras::sched {

/// State of a simulated minion. fake_fleet implements the platform's rules for
/// fences, leases, run and end numbers, gangs and stops, and checks invariants.
struct fake_minion {
  struct held_run {
    std::string payload;
    duration remaining{0};  ///< Remaining work.
    instant started_at;
    bool is_stopping = false;
    instant stop_completes_at;
  };

  minion_report report;
  bool is_up = true;
  bool is_partitioned = false;  ///< Orders and answers are lost.
  bool fails_all_runs = false;  ///< Each of its runs fails.
  bool refuses_starts = false;  ///< Starts have no effect there.
  bool refuses_stops = false;   ///< Stops have no effect there.
  instant last_cut_off;         ///< When it was last unreachable.
  double speed = 1;             ///< Speed of its runs; 0: stalled.
  instant clock_origin;         ///< When its clock reads 0.
  double clock_rate = 1;        ///< Speed of its clock; 0.98 is the slowest.
  std::uint64_t fence = 0;
  std::optional<instant> lease;
  instant lease_expired_at;  ///< When its lease last expired.
  std::map<run_key, held_run> running;
  /// Highest number of a run of each task that ended or was stopped here.
  std::map<task_key, std::int64_t> highest_ended_run;
  std::vector<listed_end> ended;
  std::int64_t end_count = 0;
  std::map<run_key, int> paces;      ///< Speed limits in percent.
  resource_amounts capacity_before;  ///< Before it shrank at `shrunk_at`.
  instant shrunk_at;                 ///< Never, if it has the default value.

  std::int64_t Clock(instant now) const {
    return static_cast<std::int64_t>(
        static_cast<double>((now - clock_origin).count()) * clock_rate / 1000);
  }

  /// When its clock reads `clock_ms`.
  instant TimeAt(std::int64_t clock_ms) const {
    return clock_origin +
           duration(static_cast<std::int64_t>(static_cast<double>(clock_ms) *
                                              1000 / clock_rate));
  }
};

/// Returns a job of one step with `count` tasks of the given needs and run
/// time.
inline accepted_job OneStep(const std::string& id,
                            int priority,
                            int count,
                            resource_amounts needs,
                            duration length) {
  accepted_job job;
  job.id = id;
  job.priority = priority;
  job.max_attempts = 3;
  step_spec step;
  step.count = count;
  step.needs = needs;
  step.estimate = length;
  job.spec.payload = "payload of " + id;
  job.spec.steps.push_back(step);
  return job;
}

}  // namespace sassafras::sched

#endif  // SASSAFRAS_TESTS_FAKE_MINION_H_

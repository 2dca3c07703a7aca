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

/// A minion in memory, with the platform's rules for fences, leases, numbers
/// of runs and ends, gangs and stops. It asserts nothing; the fleet does.
struct fake_minion {
  struct held_run {
    std::string payload;
    duration remaining{0};  ///< Work that remains.
    instant started_at;
    bool is_stopping = false;
    instant stop_completes_at;
  };

  minion_report report;
  bool is_up = true;
  bool is_partitioned = false;  ///< No order and no answer passes.
  bool fails_all_runs = false;  ///< Each run ends as failed.
  double speed = 1;             ///< Of its runs; 0: they stand still.
  instant clock_origin;         ///< Its clock reads 0 then.
  std::uint64_t fence = 0;
  std::optional<instant> lease;
  instant lease_expired_at;  ///< When its lease had last run out.
  std::map<run_key, held_run> running;
  std::map<task_key, std::int64_t>
      highest_ended_run;  ///< Highest run that ended here.
  std::vector<listed_end> ended;
  std::int64_t end_count = 0;
  std::map<run_key, int> paces;  ///< Share of its speed that a run was given.

  std::int64_t Clock(instant now) const {
    return (now - clock_origin).count() / 1000;
  }
};

/// A job of one step.
inline accepted_job OneStep(const std::string& id,
                            int priority,
                            int count,
                            room needs,
                            duration length) {
  accepted_job job;
  job.id = id;
  job.priority = priority;
  job.attempts = 3;
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

#ifndef SASSAFRAS_PROGRAMS_LOAD_LOAD_PLAN_H_
#define SASSAFRAS_PROGRAMS_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Stand-in services on consecutive ports of one host.
struct service_range {
  std::string host;
  int first_port = 0;
  int count = 0;
};

/// Requests of one class, sent at random intervals.
struct request_load_plan {
  std::string class_name;
  std::string token;
  int per_second = 0;
  duration work_time{0};         ///< Processing time of each on a minion.
  bool is_at_most_once = false;  ///< Sent and checked with an idempotency key.
};

/// Jobs of one class, submitted at a fixed interval.
struct job_load_plan {
  std::string class_name;
  std::string shape;
  std::string token;
  int tasks = 1;                 ///< Number of tasks of the shape.
  duration submit_interval{0};   ///< Time between submissions.
  duration run_time{0};          ///< Run time of each task.
  bool is_at_most_once = false;  ///< Each task is checked to run at most once.
};

/// Plan file of sassafras-load.
struct load_plan {
  std::vector<std::string> gateways;    ///< "IP:port", chosen at random.
  std::vector<std::string> schedulers;  ///< "IP:port", read for metrics.
  service_range minions;
  service_range workers;
  duration send_time{0};       ///< Duration of the send phase.
  duration settle_timeout{0};  ///< Limit for all to end after send_time.
  std::vector<request_load_plan> requests;
  std::vector<job_load_plan> jobs;
};

/// A parsed plan and all faults found in it.
struct parsed_load_plan {
  load_plan plan;
  std::vector<config_fault> faults;
};

/// Parses the plan `text`; `file` is its name in faults. Never throws.
parsed_load_plan ParseLoadPlan(const std::string& file,
                               const std::string& text);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_LOAD_LOAD_PLAN_H_

#ifndef SASSAFRAS_PROGRAMS_LOAD_LOAD_PLAN_H_
#define SASSAFRAS_PROGRAMS_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Stand-in services on consecutive ports.
struct service_range {
  std::string host;
  int first_port = 0;
  int count = 0;
};

/// A stream of requests of one class.
struct request_load_plan {
  std::string class_name;
  std::string token;
  int per_second = 0;
  duration work_time{0};  ///< Time that a minion takes for each.
  bool is_at_most_once =
      false;  ///< Non-idempotent: sent with a key, checked for it.
};

/// A stream of jobs of one class.
struct job_load_plan {
  std::string class_name;
  std::string shape;
  std::string token;
  int tasks = 1;                ///< Tasks that the shape has.
  duration submit_interval{0};  ///< Time between submissions.
  duration run_time{0};         ///< Time that each task works.
  bool is_at_most_once =
      false;  ///< Non-idempotent: checked to work at most once.
};

/// What sassafras-load does.
struct load_plan {
  std::vector<std::string> gateways;    ///< "IP:port", chosen at random.
  std::vector<std::string> schedulers;  ///< "IP:port", read for metrics.
  service_range minions;
  service_range workers;
  duration send_time{0};       ///< Time in which requests and jobs are sent.
  duration settle_timeout{0};  ///< Greatest time after it until all have ended.
  std::vector<request_load_plan> requests;
  std::vector<job_load_plan> jobs;
};

/// A plan that was read and every fault found.
struct parsed_load_plan {
  load_plan plan;
  std::vector<config_fault> faults;
};

/// Reads a plan file. Never throws.
parsed_load_plan ParseLoadPlan(const std::string& file,
                               const std::string& text);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_LOAD_LOAD_PLAN_H_

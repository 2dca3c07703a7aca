#ifndef SASSAFRAS_SCHED_SERVICE_CONFIG_H_
#define SASSAFRAS_SCHED_SERVICE_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Response time of the policy of a queue, which names the minions that may run
/// a step, and validity of its tickets.
struct advice_terms {
  duration decision_time{0};    ///< Fixed part of the time of an answer.
  duration time_per_minion{0};  ///< Additional time per minion in the request.
  duration ticket_validity{0};  ///< Time during which a ticket is valid.
};

/// A queue to which callers submit jobs. It is identified by host and path
/// prefix.
struct job_queue {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;  ///< Service whose minions run its jobs.
  int priority = 0;     ///< 0 is the most urgent and may evict other jobs.
  int max_attempts = 1;
  double stretch = 1;
  duration target{0};
  bool allows_anonymous_calls = false;  ///< Accepts calls without an API key.
  /// Empty: no policy, any minion may run a step.
  std::optional<advice_terms> advice;
};

/// A pool of minions.
struct minion_service {
  std::string name;
  /// Its minions refuse tasks that do not fit.
  bool has_admission_control = false;
  bool is_standby = false;  ///< Its machines are switched off.
};

/// A team and its guarantee.
struct team_terms {
  std::string name;
  std::int64_t guaranteed_accelerators = 0;  ///< For its jobs of priority 0.
};

/// One complete version of the operator's configuration.
struct service_config {
  std::uint64_t version = 0;
  std::vector<job_queue> queues;
  std::map<std::string, minion_service> services;
  std::map<std::string, team_terms> teams;
  std::unordered_map<std::string, std::string> team_of_key;  ///< By API key.

  /// The queue on `host` with the longest prefix that `path` starts with, or
  /// null.
  const job_queue* FindQueue(std::string_view host,
                             std::string_view path) const;

  /// The queue named `name`, or null.
  const job_queue* FindQueueByName(std::string_view name) const;
};

using service_config_ptr = std::shared_ptr<const service_config>;

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_SERVICE_CONFIG_H_

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

/// How the policy of a queue names the minions that may run a step.
struct advice_terms {
  duration decision_time{0};    ///< Time of one answer,
  duration time_per_minion{0};  ///< and for each minion asked about.
  duration ticket_validity{0};  ///< Of a ticket.
};

/// A queue that callers hand jobs to, found by host and path prefix.
struct job_queue {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;  ///< Whose minions run its jobs.
  int priority = 0;     ///< 0 is the most urgent and may evict others.
  int max_attempts = 1;
  double stretch = 1;
  duration target{0};
  bool allows_anonymous_calls = false;  ///< Takes calls without a key.
  std::optional<advice_terms> advice;   ///< Empty: any minion may run a step.
};

/// A pool of minions.
struct minion_service {
  std::string name;
  bool has_admission_control =
      false;                ///< Its minions refuse what does not fit.
  bool is_standby = false;  ///< Its machines are off.
};

/// A team and what it was promised.
struct team_terms {
  std::string name;
  std::int64_t guaranteed_accelerators = 0;  ///< For its priority 0 jobs.
};

/// One version of the operator's configuration, whole.
struct service_config {
  std::uint64_t version = 0;
  std::vector<job_queue> queues;
  std::map<std::string, minion_service> services;
  std::map<std::string, team_terms> teams;
  std::unordered_map<std::string, std::string> team_of_key;

  /// The queue with the longest prefix of `path` on `host`, or null.
  const job_queue* FindQueue(std::string_view host,
                             std::string_view path) const;

  /// The queue named `name`, or null.
  const job_queue* FindQueueByName(std::string_view name) const;
};

using service_config_ptr = std::shared_ptr<const service_config>;

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_SERVICE_CONFIG_H_

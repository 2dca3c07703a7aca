#ifndef SASSAFRAS_WORLD_JOB_CLASS_H_
#define SASSAFRAS_WORLD_JOB_CLASS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "sassafras/core/id.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Whether a class is of requests to a target or of gangs on workers.
enum class class_kind : std::uint8_t { kRequest, kJob };

/// Names of class_kind in configuration: "request", "job".
std::string_view GetName(class_kind kind);

/// Order between classes; an earlier one is served first.
enum class urgency : std::uint8_t { kUrgent, kNormal, kBatch };

/// Names of urgency in configuration: "urgent", "normal", "batch".
std::string_view GetName(urgency value);

/// What happens to a gang that lost a member.
enum class member_loss_policy : std::uint8_t { kRequeue, kEnd };

/// Names of member_loss_policy in configuration: "requeue", "end".
std::string_view GetName(member_loss_policy policy);

/// A class of requests or jobs.
struct job_class {
  class_id id;
  class_kind kind = class_kind::kRequest;
  urgency urgency_level = urgency::kNormal;
  bool is_idempotent = true;
  int floor_percent = 0;  ///< Least part of slots it gets while it waits.

  // Requests only.
  std::optional<target_id> target;
  duration timeout{0};  ///< Greatest time from arrival to answer.
  int queue_limit = 0;  ///< Waiting requests per team in one gateway.

  // Jobs only.
  bool can_checkpoint = false;   ///< Tasks can be checkpointed.
  duration checkpoint_grace{0};  ///< Greatest time for a checkpoint.
  int max_restarts = 0;          ///< Of an idempotent job, after failures.
  member_loss_policy on_loss = member_loss_policy::kRequeue;
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_JOB_CLASS_H_

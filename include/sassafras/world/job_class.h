#ifndef SASSAFRAS_WORLD_JOB_CLASS_H_
#define SASSAFRAS_WORLD_JOB_CLASS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "sassafras/core/id.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// What a class consists of: requests to a target (kRequest) or jobs, each run
/// as a gang of tasks on workers (kJob).
enum class class_kind : std::uint8_t { kRequest, kJob };

/// Returns the name of `kind` in configuration: "request" or "job".
std::string_view GetName(class_kind kind);

/// Priority of a class. Classes of an earlier value are served first.
enum class urgency : std::uint8_t { kUrgent, kNormal, kBatch };

/// Returns the name of `value` in configuration: "urgent", "normal" or "batch".
std::string_view GetName(urgency value);

/// What happens to a gang after one of its members is lost: all tasks return to
/// the queue (kRequeue), or the job ends (kEnd).
enum class member_loss_policy : std::uint8_t { kRequeue, kEnd };

/// Returns the name of `policy` in configuration: "requeue" or "end".
std::string_view GetName(member_loss_policy policy);

/// A class of requests or jobs with common limits.
struct job_class {
  class_id id;
  class_kind kind = class_kind::kRequest;
  urgency urgency_level = urgency::kNormal;
  bool is_idempotent = true;
  int floor_percent = 0;  ///< Minimum share of slots while requests wait.

  // Requests only.
  std::optional<target_id> target;
  duration timeout{0};  ///< Maximum time from arrival to answer.
  int queue_limit = 0;  ///< Maximum queued requests per team and gateway.

  // Jobs only.
  bool can_checkpoint = false;   ///< Tasks can be checkpointed.
  duration checkpoint_grace{0};  ///< Maximum time for a checkpoint.
  int max_restarts = 0;          ///< After failures; idempotent jobs only.
  member_loss_policy on_loss = member_loss_policy::kRequeue;
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_JOB_CLASS_H_

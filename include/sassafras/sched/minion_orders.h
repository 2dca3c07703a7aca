#ifndef SASSAFRAS_SCHED_MINION_ORDERS_H_
#define SASSAFRAS_SCHED_MINION_ORDERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// A minion's entry in the platform's list.
struct minion_report {
  std::string id;
  std::int64_t incarnation_unix_ms = 0;  ///< Start time; names the incarnation.
  std::string service;
  std::string address;  ///< "IP:port".
  std::string zone;
  bool is_draining = false;
  duration drain_remaining{0};  ///< If draining: it stays at least this long.
  duration cold_remaining{0};   ///< It runs slowly for so long after its start.
  resource_amounts capacity;
  std::vector<std::string> labels;
  std::string rack;  ///< Empty: not stated.
};

/// One incarnation of a minion, as the recipient of an order.
struct minion_incarnation {
  std::string id;
  std::int64_t incarnation_unix_ms = 0;
  std::string address;

  bool IsSameIncarnation(const minion_incarnation& other) const {
    return id == other.id && incarnation_unix_ms == other.incarnation_unix_ms;
  }
};

/// What is known about the effect of an order.
enum class order_outcome : std::uint8_t {
  kDone,
  kFenced,         ///< The minion has seen a higher fencing token. No effect.
  kInvalidTicket,  ///< The ticket is missing or no longer valid.
  kStaleRun,       ///< This run or a later one has ended or was stopped there.
  kLeaseExpired,   ///< The order's lease had expired. No effect.
  kInsufficientResources,  ///< Refused: too few free resources.
  kUnavailable,            ///< Overloaded or unavailable. No effect.
  kOtherIncarnation,       ///< Another incarnation answered. No effect.
  kRejected,               ///< Any other refusal. No effect.
  kNotSent,                ///< No byte of the order was sent.
  kUnknown,  ///< No complete answer; it may take effect, even later.
};

/// Name of `outcome` in logs and counters.
std::string_view GetName(order_outcome outcome);

/// Tells a minion to start a run. It is idempotent.
struct start_order {
  minion_incarnation minion;
  run_key run;
  std::string payload;
  std::string checkpoint;  ///< Checkpoint to resume from; empty: none.
  /// End of the lease, on the minion's clock.
  std::int64_t lease_expiry_clock_ms = 0;
  std::uint64_t fence = 0;
  std::string ticket;  ///< Issued by the queue's policy; empty: none needed.
};

/// Limits the speed of a run to `speed_percent` of its full speed.
struct pace_order {
  minion_incarnation minion;
  run_key run;
  int speed_percent = 100;
  std::uint64_t fence = 0;
};

/// One step of one occurrence of a job.
struct step_key {
  std::string job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const step_key&) const = default;
};

/// Asks the policy of a queue which of `minions` may run a step.
struct advice_request {
  step_key step;
  std::vector<std::string> minions;  ///< At most 100 ids.
};

/// A minion that may run the step, and the ticket that a start order for it
/// must carry.
struct advised_minion {
  std::string id;
  std::string ticket;
};

/// Answer of the policy of a queue.
struct advice_answer {
  bool is_answered = false;  ///< If false, nothing is known about any minion.
  std::vector<advised_minion> eligible;
  duration ticket_validity{0};
};

/// Tells a minion to stop a run. If the run has not started, a later start of
/// it has no effect.
struct stop_order {
  minion_incarnation minion;
  run_key run;
  std::uint64_t fence = 0;
};

/// Answer to a start, stop or pace order.
struct order_answer {
  order_outcome outcome = order_outcome::kUnknown;
};

/// Heartbeat: asks a minion for its running tasks and ended runs, and renews
/// the lease of its runs.
struct poll_order {
  minion_incarnation minion;
  std::uint64_t fence = 0;
  std::int64_t acknowledged = 0;  ///< The minion drops ends up to this number.
  /// New end of the lease, on the minion's clock; empty: not renewed.
  std::optional<std::int64_t> lease_expiry_clock_ms;
  duration wait{0};       ///< Long poll: how long to wait for a run to end.
  bool is_extra = false;  ///< Sent in addition to the regular poll.
};

/// A run that a minion lists as running.
struct listed_run {
  run_key run;
  std::string checkpoint;
  int progress_percent = 0;  ///< As the minion states it.
  /// Tail latency in ms if it serves users, else millicores in use.
  std::int64_t load = 0;
};

/// The end of a run. The minion lists it until it is acknowledged.
struct listed_end {
  std::int64_t number = 0;  ///< Rising, from 1 in each incarnation.
  run_key run;
  run_end how = run_end::kLost;
  std::string checkpoint;
};

/// Answer to a poll.
struct poll_answer {
  order_outcome outcome = order_outcome::kUnknown;
  std::int64_t clock_ms = 0;             ///< Time on the minion's clock.
  std::int64_t incarnation_unix_ms = 0;  ///< 0: not stated.
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  int skipped_rows = 0;  ///< Rows that could not be decoded.
};

/// Calls to minions and to the policies of queues. Each function calls `done`
/// exactly once.
struct order_port {
  std::function<void(start_order, std::function<void(order_answer)> done)>
      start;
  std::function<void(stop_order, std::function<void(order_answer)> done)> stop;
  std::function<void(poll_order, std::function<void(poll_answer)> done)> poll;
  std::function<void(pace_order, std::function<void(order_answer)> done)> pace;
  /// Empty if no queue has a policy.
  std::function<void(advice_request, std::function<void(advice_answer)> done)>
      advise;
};

/// The platform's list of minions.
struct minion_list_answer {
  /// If false, the list was not read and `minions` is empty.
  bool is_complete = false;
  std::vector<minion_report> minions;
  int skipped = 0;  ///< Entries that are malformed or not usable.
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_MINION_ORDERS_H_

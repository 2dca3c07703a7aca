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

/// What a minion says of itself in the platform's list.
struct minion_report {
  std::string id;
  std::int64_t incarnation_unix_ms = 0;  ///< Names this life of the minion.
  std::string service;
  std::string address;  ///< "IP:port".
  std::string zone;
  bool is_draining = false;
  duration drain_remaining{0};  ///< Least time until it leaves, if draining.
  resource_amounts capacity;
  std::vector<std::string> labels;
  std::string rack;  ///< Empty if it names none.
};

/// One life of a minion, as an order names it.
struct minion_incarnation {
  std::string id;
  std::int64_t incarnation_unix_ms = 0;
  std::string address;

  bool IsSameIncarnation(const minion_incarnation& other) const {
    return id == other.id && incarnation_unix_ms == other.incarnation_unix_ms;
  }
};

/// What is known of an order's effect.
enum class order_outcome : std::uint8_t {
  kDone,
  kFenced,         ///< A higher fence stands there. Nothing was done.
  kInvalidTicket,  ///< The ticket is missing or no longer valid.
  kStaleRun,       ///< This run or a higher one ended or was stopped there.
  kLeaseExpired,   ///< The lease of the order had run out. Nothing was done.
  kInsufficientResources,  ///< The minion refused for want of room.
  kUnavailable,            ///< The minion refused without doing anything.
  kOtherIncarnation,       ///< Another life of the minion answered. Nothing was
                           ///< done.
  kRejected,               ///< Any other refusal. Nothing was done.
  kNotSent,                ///< No byte left this process.
  kUnknown,  ///< No whole answer; it may be carried out, also later.
};

/// Names of order_outcome in logs and counters.
std::string_view GetName(order_outcome outcome);

/// Tells a minion to start a run. Sending it twice starts it once.
struct start_order {
  minion_incarnation minion;
  run_key run;
  std::string payload;
  std::string checkpoint;                  ///< Empty: from the beginning.
  std::int64_t lease_expiry_clock_ms = 0;  ///< Lease, on the minion's clock.
  std::uint64_t fence = 0;
  std::string ticket;  ///< Of the queue's policy; empty: none needed.
};

/// Tells a minion how much of its speed a run may use.
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

/// Asks the policy of a queue which minions may run a step.
struct advice_request {
  step_key step;
  std::vector<std::string> minions;  ///< At most 100 ids.
};

/// A minion that may run the step, with the proof that a start must carry.
struct advised_minion {
  std::string id;
  std::string ticket;
};

struct advice_answer {
  bool is_answered = false;  ///< Else nothing is known of any minion.
  std::vector<advised_minion> eligible;
  duration ticket_validity{0};
};

/// Tells a minion to stop a run, and never to start it if it is not there.
struct stop_order {
  minion_incarnation minion;
  run_key run;
  std::uint64_t fence = 0;
};

struct order_answer {
  order_outcome outcome = order_outcome::kUnknown;
};

/// Asks a minion what it runs and what has ended; renews its lease.
struct poll_order {
  minion_incarnation minion;
  std::uint64_t fence = 0;
  std::int64_t acknowledged = 0;  ///< Ends up to this number are forgotten.
  std::optional<std::int64_t> lease_expiry_clock_ms;
  duration wait{0};       ///< The answer waits for an end for so long.
  bool is_extra = false;  ///< Sent beside the regular look.
};

/// A run that is going on at a minion.
struct listed_run {
  run_key run;
  std::string checkpoint;
  int progress_percent = 0;  ///< Progress as the minion states it.
  std::int64_t load = 0;  ///< Tail in ms if it serves, else millicores in use.
};

/// An end that a minion lists until it is acknowledged.
struct listed_end {
  std::int64_t number = 0;  ///< From 1 in each life, rising.
  run_key run;
  run_end how = run_end::kLost;
  std::string checkpoint;
};

struct poll_answer {
  order_outcome outcome = order_outcome::kUnknown;
  std::int64_t clock_ms = 0;             ///< The minion's clock.
  std::int64_t incarnation_unix_ms = 0;  ///< 0: not stated.
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  int skipped_rows = 0;  ///< Rows that could not be decoded.
};

/// Calls to minions. Each hook calls `done` exactly once.
struct order_port {
  std::function<void(start_order, std::function<void(order_answer)> done)>
      start;
  std::function<void(stop_order, std::function<void(order_answer)> done)> stop;
  std::function<void(poll_order, std::function<void(poll_answer)> done)> poll;
  std::function<void(pace_order, std::function<void(order_answer)> done)> pace;
  /// Empty where no queue has a policy.
  std::function<void(advice_request, std::function<void(advice_answer)> done)>
      advise;
};

/// The platform's list of minions.
struct minion_list_answer {
  bool is_complete = false;  ///< The list was read; else `minions` is empty.
  std::vector<minion_report> minions;
  int skipped = 0;  ///< Entries that name no minion to use.
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_MINION_ORDERS_H_

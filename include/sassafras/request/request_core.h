#ifndef SASSAFRAS_REQUEST_REQUEST_CORE_H_
#define SASSAFRAS_REQUEST_REQUEST_CORE_H_

#include <memory>
#include <optional>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/core/time.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// Settings of request_core for one gateway.
struct request_options {
  gateway_member self;
  place_id place;         ///< Minions in this place are preferred on a tie.
  int gateway_count = 1;  ///< Gateways named in the settings, live or not.
};

/// Current load of a gateway, for metrics and tests.
struct request_load {
  int waiting = 0;    ///< Requests in a queue.
  int in_flight = 0;  ///< Sends in flight.
  int open = 0;       ///< Requests not yet ended, including answered ones.
};

/// State machine without I/O for the requests of one gateway: admission,
/// queueing, claims, choice of a minion, retries and replies to callers.
///
/// Deterministic: the same events, times and seed give the same actions. Not
/// safe for concurrent use. The caller must deliver the event that ends a send
/// or store call exactly once; it may be late.
class request_core {
 public:
  /// `counters` must outlive the core.
  request_core(request_options options, counter_table& counters);
  ~request_core();
  request_core(const request_core&) = delete;
  request_core& operator=(const request_core&) = delete;

  /// Processes one event at `now` and returns the actions to carry out.
  request_actions Handle(const request_event& event,
                         instant now,
                         random_engine& random);

  /// Latest time at which time_passed must be delivered; empty before the first
  /// event.
  std::optional<instant> NextWake() const;

  /// Returns the current load over all targets.
  request_load Load() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_REQUEST_CORE_H_

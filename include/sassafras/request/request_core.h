#ifndef SASSAFRAS_REQUEST_REQUEST_CORE_H_
#define SASSAFRAS_REQUEST_REQUEST_CORE_H_

#include <memory>
#include <optional>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/core/time.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// Settings of the request decisions of one gateway.
struct request_options {
  gateway_member self;
  place_id place;
  int gateway_count = 1;  ///< Gateways that settings name, dead ones included.
};

/// Numbers for metrics and tests.
struct request_load {
  int waiting = 0;    ///< Requests that are queued.
  int in_flight = 0;  ///< Sends in progress.
  int open = 0;       ///< Requests not yet ended, answered ones included.
};

/// All decisions about callers' requests in one gateway: admission, order,
/// claims, choice of minion, retries and what a caller is told.
///
/// Deterministic: the same events, times and seed give the same actions. Not
/// safe for concurrent use. Each event of a send or store call is given
/// exactly once; late ones are allowed.
class request_core {
 public:
  /// `counters` must outlive the core.
  request_core(request_options options, counter_table& counters);
  ~request_core();
  request_core(const request_core&) = delete;
  request_core& operator=(const request_core&) = delete;

  /// Takes in one event at `now` and returns what is to be done.
  request_actions Handle(const request_event& event,
                         instant now,
                         random_engine& random);

  /// When time_passed is due at the latest; empty if nothing waits for time.
  std::optional<instant> NextWake() const;

  request_load Load() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_REQUEST_CORE_H_

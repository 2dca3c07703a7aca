#ifndef SASSAFRAS_PROGRAMS_STANDIN_FAULT_SWITCH_H_
#define SASSAFRAS_PROGRAMS_STANDIN_FAULT_SWITCH_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>

#include "sassafras/core/random.h"
#include "sassafras/core/time.h"
#include "sassafras/net/http_server.h"

namespace sassafras {

/// What one stand-in service does wrong. Set by POST /fault with a JSON map of
/// the members' names; members that are not named return to their defaults.
struct fault_switch {
  bool down = false;      ///< Answers 503 and changes nothing.
  bool silent = false;    ///< Takes requests and never answers.
  bool dead = false;      ///< As a machine that died: tasks are gone, silence.
  bool fail_all = false;  ///< Minions answer 500; tasks fail at once.
  bool leaving = false;   ///< Minions refuse new work with x-leaving.
  bool listed_leaving = false;  ///< The VM list shows it as leaving.
  double lose_answer = 0;       ///< Part of requests that act but never answer.
  int delay_ms = 0;             ///< Added before each answer.
  int read_lag_ms = 0;          ///< Table reads show what stood this long ago.
};

/// Parses the body of POST /fault; fails with kMalformed.
result<fault_switch> ParseFaults(std::string_view body);

/// Serves one exchange under `faults`: `act` computes the answer.
void ServeWithFaults(boost::asio::io_context& context,
                     const fault_switch& faults,
                     random_engine& random,
                     http_exchange exchange,
                     const std::function<http_response()>& act);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_STANDIN_FAULT_SWITCH_H_

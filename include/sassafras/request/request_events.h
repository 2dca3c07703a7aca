#ifndef SASSAFRAS_REQUEST_REQUEST_EVENTS_H_
#define SASSAFRAS_REQUEST_REQUEST_EVENTS_H_

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/core/error.h"
#include "sassafras/core/id.h"
#include "sassafras/core/time.h"
#include "sassafras/net/answer.h"
#include "sassafras/net/minion_port.h"
#include "sassafras/net/table_port.h"

// What request_core takes in and what it asks for. Bodies of requests and
// answers stay in the shell, under the ids of requests and sends.

namespace sassafras {

/// One caller's request in this process. Chosen by the shell, never reused.
using request_id = std::uint64_t;

/// One send of a request to a minion. Chosen by the core, never reused.
using send_id = std::uint64_t;

/// One operation on the platform's store. Chosen by the core, never reused.
using store_call_id = std::uint64_t;

/// Time from a change of membership until slots that a gateway gained by it
/// are used: the others have stopped using them by then.
inline constexpr duration kSlotHandover = std::chrono::seconds(1);

/// A process that heard of nothing for this long after a time of NextWake()
/// was paused: it uses no slots until the next members_changed.
inline constexpr duration kPauseLimit = std::chrono::seconds(3);

/// A gateway that is alive.
struct gateway_member {
  process_id id;
  std::string incarnation;  ///< Unique to one start of the process.

  auto operator<=>(const gateway_member&) const = default;
};

/// A message between gateways about lent slots.
struct slot_message {
  target_id target;  ///< Of whose minions the slots are.
  gateway_member from;
  std::string to_incarnation;  ///< Start of the receiver it is meant for.
  std::uint64_t number = 0;    ///< Grows with each message to this receiver.
  std::uint64_t last_received = 0;  ///< Greatest number seen from the receiver.
  int requested_slots = 0;          ///< Slots that the sender asks for.
  std::vector<std::uint64_t>
      held_loans;                     ///< Loans of the receiver's still in use.
  std::vector<minion_id> lent_slots;  ///< Slots lent as loan `number`.
};

// Events.

/// A caller sent a whole request.
struct request_arrived {
  request_id request = 0;
  class_id class_name;
  std::string authorization;  ///< Value of the header.
  std::string key;            ///< Idempotency key, empty if none.
  std::string body_sha256;    ///< Needed if there is a key.
  duration timeout{0};        ///< The caller's wish; 0: that of the class.
};

/// The caller of a request has closed its connection.
struct caller_disconnected {
  request_id request = 0;
};

/// A send has ended. Given exactly once for each send.
struct send_ended {
  send_id send = 0;
  answer_state state = answer_state::kUnknown;
  int status = 0;  ///< HTTP status, if kDone.
  bool refused_leaving = false;
};

/// A transaction of commit_rows has ended.
struct rows_committed {
  store_call_id call = 0;
  commit_answer answer;
};

/// A read of read_rows has ended.
struct rows_read {
  store_call_id call = 0;
  read_answer answer;
};

/// A write of store_answer has ended.
struct answer_stored {
  request_id request = 0;
  answer_state state = answer_state::kUnknown;
};

/// A read of load_answer has ended. Its status and body stay in the shell.
struct answer_loaded {
  request_id request = 0;
  bool is_found = false;  ///< The whole answer was read.
  int status = 0;         ///< HTTP status of the minion, if found.
};

/// A newer configuration came into force.
struct config_changed {
  config_ptr config;
};

/// The set of live gateways, given at each refresh, also if it is the same.
/// Without this process in it, nothing is dispatched. Slots that this process
/// gains by a change are used after kSlotHandover.
struct members_changed {
  std::vector<gateway_member> gateways;
};

/// The platform's list was read: minions (by name) that are leaving.
struct leaving_minions_listed {
  std::set<minion_id> leaving;
};

/// A message of another gateway arrived.
struct slot_message_received {
  slot_message message;
};

/// A time of NextWake() was reached.
struct time_passed {};

/// The process is to stop: no new request is taken.
struct stop_requested {};

using request_event = std::variant<request_arrived,
                                   caller_disconnected,
                                   send_ended,
                                   rows_committed,
                                   rows_read,
                                   answer_stored,
                                   answer_loaded,
                                   config_changed,
                                   members_changed,
                                   leaving_minions_listed,
                                   slot_message_received,
                                   time_passed,
                                   stop_requested>;

// Actions.

/// Answer the caller with a refusal or failure.
struct reply_error {
  request_id request = 0;
  error failure;
  run_outcome outcome = run_outcome::kNotRun;
  duration retry_after{0};  ///< When to send again; 0: not told.
};

/// Answer the caller with the whole answer of `send`.
struct reply_answer {
  request_id request = 0;
  send_id send = 0;
};

/// Answer the caller with the answer that answer_loaded told of.
struct reply_stored {
  request_id request = 0;
};

/// Send the request's body to a minion and give send_ended.
struct send_request {
  send_id send = 0;
  request_id request = 0;
  minion_id minion;
  std::string address;
  class_id class_name;
  std::string key;
  connection_choice connection = connection_choice::kPooled;
  duration timeout{0};
  int max_connections = 0;  ///< To the minion, of this process.
};

/// Close idle connections to `address` beyond `keep`.
struct trim_connections {
  std::string address;
  int keep = 0;
};

/// Commit rows and give rows_committed.
struct commit_rows {
  store_call_id call = 0;
  table_transaction transaction;
};

/// Read rows and give rows_read.
struct read_rows {
  store_call_id call = 0;
  std::vector<std::string> keys;
};

/// Write the answer of `send` under `object` and give answer_stored.
struct store_answer {
  request_id request = 0;
  send_id send = 0;
  std::string object;
};

/// Read the answer under `object` and give answer_loaded.
struct load_answer {
  request_id request = 0;
  std::string object;
};

/// Send a message to another gateway; it may be lost.
struct send_slot_message {
  process_id to;
  slot_message message;
};

/// Drop everything kept for the request; it is answered and recorded.
struct request_ended {
  request_id request = 0;
};

/// No work is left after stop_requested.
struct stop_completed {};

using request_action = std::variant<reply_error,
                                    reply_answer,
                                    reply_stored,
                                    send_request,
                                    trim_connections,
                                    commit_rows,
                                    read_rows,
                                    store_answer,
                                    load_answer,
                                    send_slot_message,
                                    request_ended,
                                    stop_completed>;

/// Actions in the order in which they are to be carried out.
using request_actions = std::vector<request_action>;

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_REQUEST_EVENTS_H_

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

// Events that request_core processes and actions that it returns. The bodies of
// requests and answers stay with the caller of request_core (the gateway
// process), keyed by request id and send id.

namespace sassafras {

/// Identifies one caller's request within this process. Allocated by the
/// gateway process, never reused.
using request_id = std::uint64_t;

/// Identifies one send of a request to a minion. Allocated by request_core,
/// never reused.
using send_id = std::uint64_t;

/// Identifies one operation on the platform's store. Allocated by request_core,
/// never reused.
using store_call_id = std::uint64_t;

/// Delay between a membership change and the use of slots that a gateway gained
/// by it. By then the previous owners have stopped using them.
inline constexpr duration kSlotHandover = std::chrono::seconds(1);

/// If an event arrives more than this after the time given by NextWake(), the
/// process is considered to have been paused: it uses no slots until the next
/// members_changed.
inline constexpr duration kPauseLimit = std::chrono::seconds(3);

/// One incarnation of a gateway.
struct gateway_member {
  process_id id;
  std::string incarnation;  ///< Unique to one start of the process.

  auto operator<=>(const gateway_member&) const = default;
};

/// A message between two gateways about slots lent to each other.
struct slot_message {
  target_id target;  ///< Target whose minions have the slots.
  gateway_member from;
  std::string to_incarnation;       ///< Incarnation of the intended receiver.
  std::uint64_t number = 0;         ///< Sequence number per receiver.
  std::uint64_t last_received = 0;  ///< Highest number from the receiver.
  int requested_slots = 0;          ///< Slots that the sender requests.
  std::vector<std::uint64_t> held_loans;  ///< Ids of loans from the receiver
                                          ///< that the sender still holds.
  std::vector<minion_id> lent_slots;      ///< Loan ids derive from `number`.
};

// Events.

/// A complete request of a caller arrived.
struct request_arrived {
  request_id request = 0;
  class_id class_name;
  std::string authorization;  ///< Value of the Authorization header.
  std::string key;            ///< Idempotency key, empty if none.
  std::string body_sha256;    ///< Required if there is a key.
  duration timeout{0};  ///< Capped by that of the class; 0: that of the class.
};

/// The caller of a request closed its connection.
struct caller_disconnected {
  request_id request = 0;
};

/// A send ended. Delivered exactly once for each send.
struct send_ended {
  send_id send = 0;
  answer_state state = answer_state::kUnknown;
  int status = 0;                ///< HTTP status, if kDone.
  bool refused_leaving = false;  ///< The minion refused since it is leaving.
};

/// The transaction of a commit_rows action ended.
struct rows_committed {
  store_call_id call = 0;
  commit_answer answer;
};

/// The read of a read_rows action ended.
struct rows_read {
  store_call_id call = 0;
  read_answer answer;
};

/// The write of a store_answer action ended.
struct answer_stored {
  request_id request = 0;
  answer_state state = answer_state::kUnknown;
};

/// The read of a load_answer action ended. The answer's body stays with the
/// gateway process.
struct answer_loaded {
  request_id request = 0;
  bool is_found = false;  ///< The complete answer was read.
  int status = 0;         ///< HTTP status of the minion, if found.
};

/// A newer configuration came into force.
struct config_changed {
  config_ptr config;
};

/// The set of live gateways, delivered at each refresh even if unchanged. If it
/// does not contain this process, nothing is dispatched. Slots that this
/// process gains by a change are used after kSlotHandover.
struct members_changed {
  std::vector<gateway_member> gateways;
};

/// The platform's list of VMs was read; holds the names of leaving minions.
struct leaving_minions_listed {
  std::set<minion_id> leaving;
};

/// A slot message of another gateway arrived.
struct slot_message_received {
  slot_message message;
};

/// The time given by NextWake() was reached.
struct time_passed {};

/// The process starts to drain: new requests are refused.
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

/// Answer the caller with an error.
struct reply_error {
  request_id request = 0;
  error failure;
  run_outcome outcome = run_outcome::kNotRun;
  duration retry_after{0};  ///< Delay before a retry; 0: not given.
};

/// Answer the caller with the complete answer to `send`.
struct reply_answer {
  request_id request = 0;
  send_id send = 0;
};

/// Answer the caller with the answer read by load_answer.
struct reply_stored {
  request_id request = 0;
};

/// Send the request's body to a minion; send_ended follows.
struct send_request {
  send_id send = 0;
  request_id request = 0;
  minion_id minion;
  std::string address;
  class_id class_name;
  std::string key;
  connection_choice connection = connection_choice::kPooled;
  duration timeout{0};
  int max_connections = 0;  ///< Connections of this process to the minion.
};

/// Close idle connections to `address` beyond `keep`.
struct trim_connections {
  std::string address;
  int keep = 0;
};

/// Commit rows; rows_committed follows.
struct commit_rows {
  store_call_id call = 0;
  table_transaction transaction;
};

/// Read rows; rows_read follows.
struct read_rows {
  store_call_id call = 0;
  std::vector<std::string> keys;
};

/// Write the answer to `send` to the object `object`; answer_stored follows.
struct store_answer {
  request_id request = 0;
  send_id send = 0;
  std::string object;
};

/// Read the answer from the object `object`; answer_loaded follows.
struct load_answer {
  request_id request = 0;
  std::string object;
};

/// Send a message to another gateway. Delivery is not guaranteed.
struct send_slot_message {
  process_id to;
  slot_message message;
};

/// Release everything kept for the request, which is answered and recorded.
struct request_ended {
  request_id request = 0;
};

/// All requests have ended after stop_requested.
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

/// Actions in order of execution.
using request_actions = std::vector<request_action>;

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_REQUEST_EVENTS_H_

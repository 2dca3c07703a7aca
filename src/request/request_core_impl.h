#ifndef SASSAFRAS_SRC_REQUEST_REQUEST_CORE_IMPL_H_
#define SASSAFRAS_SRC_REQUEST_REQUEST_CORE_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/request/claim_record.h"
#include "sassafras/request/claim_writer.h"
#include "sassafras/request/minion_pool.h"
#include "sassafras/request/request_core.h"
#include "sassafras/request/request_queue.h"
#include "sassafras/request/service_time.h"
#include "sassafras/request/slot_loans.h"

namespace sassafras {

/// Phase of a request. Only requests of non-idempotent classes have claims.
enum class request_phase : std::uint8_t {
  kReading,           ///< Its claim row is being read.
  kWaitingForHolder,  ///< Another submission holds the claim.
  kLoading,           ///< The answer of another submission is being read.
  kQueued,            ///< Waits for a slot.
  kClaiming,          ///< Its claim is being written.
  kSent,              ///< At least one send is in flight.
  kBackoff,           ///< Waits for the next attempt.
  kReleasing,         ///< Its claim is being released for another attempt.
  kStoring,           ///< Its answer is being written.
  kRecording,         ///< The final write of its claim is in flight.
};

/// One send in flight.
struct in_flight_send {
  request_id request = 0;
  target_id target;
  minion_id minion;
  class_id class_name;
  instant started;
  bool is_abandoned = false;  ///< Its answer is no longer needed.
};

/// One request that has not ended.
struct request_entry {
  request_id id = 0;
  class_id class_name;
  team_id team;
  target_id target;
  urgency urgency_level = urgency::kNormal;
  bool is_idempotent = true;
  std::string key;
  std::string body_sha256;
  instant arrived;
  instant deadline;
  request_phase phase = request_phase::kQueued;

  bool is_answered = false;  ///< The caller was answered or has disconnected.
  int sent = 0;              ///< Sends that may have reached a minion.
  bool has_run = false;      ///< A minion answered it.
  bool is_counted_in_budget = false;  ///< First send counted in retry_budget.
  int attempts = 0;
  std::set<send_id> sends;
  std::set<minion_id> tried_minions;
  error last_failure;

  std::string row_key;
  std::uint64_t row_version = 0;
  claim_record claim;
  bool is_claimed = false;  ///< This request is known to hold the claim.
  std::optional<minion_id> reserved;  ///< Slot reserved while claiming.
  std::string holder_token;  ///< Token last read from another holder's row.
  instant holder_since;      ///< When that token was first read.
  send_id answer_send = 0;   ///< Send whose answer is recorded.

  std::optional<instant> wake;

  bool MayHaveRun() const { return sent > 0; }
};

/// Queue, minions and statistics of one target.
struct target_state {
  target_state(const target_id& id,
               const request_options& options,
               counter_table& counters)
      : loans(id, options.self, counters),
        pool(options.place, loans, counters) {}

  request_queue queue;
  slot_loans loans;
  minion_pool pool;
  retry_budget budget;
  service_time overall_service_time;  ///< Over all classes.
  bool is_leaving = false;
  bool has_urgent = false;
  int requested_slots = 0;  ///< Slots to request from other gateways.
};

class request_core::impl {
 public:
  impl(request_options options, counter_table& counters);

  request_actions Handle(const request_event& event,
                         instant now,
                         random_engine& random);
  std::optional<instant> NextWake() const;
  request_load Load() const;

 private:
  // Event handlers.
  void On(const request_arrived& event);
  void On(const caller_disconnected& event);
  void On(const send_ended& event);
  void On(const rows_committed& event);
  void On(const rows_read& event);
  void On(const answer_stored& event);
  void On(const answer_loaded& event);
  void On(const config_changed& event);
  void On(const members_changed& event);
  void On(const leaving_minions_listed& event);
  void On(const slot_message_received& event);
  void On(const time_passed& event);
  void On(const stop_requested& event);

  // Admission and replies.
  std::optional<error> Admit(const request_arrived& event,
                             request_entry& entry);
  std::optional<error> CheckLoad(const request_entry& entry,
                                 const job_class& definition);
  duration ExpectedWait(const request_entry& entry);
  duration RetryAfter(error_kind kind, const request_entry* entry);
  void Refuse(request_id request, const error& failure, duration retry_after);
  void Fail(request_entry& entry, error failure);
  void FailAs(request_entry& entry, error failure, run_outcome outcome);
  void End(request_entry& entry);
  void GiveUp(request_entry& entry, error failure);
  void OnDeadline(request_entry& entry);
  void OnWake(request_entry& entry);
  void SetWake(request_entry& entry, std::optional<instant> at);
  request_entry* Find(request_id request);

  // Slots and sends.
  void Enqueue(request_entry& entry);
  void Dispatch(target_state& state);
  bool DispatchOne(target_state& state);
  bool CanDispatch(const target_state& state,
                   const job_class& definition,
                   int free,
                   int slots) const;
  static int Headroom(const target_state& state, int slots);
  void Send(request_entry& entry, const minion_id& minion);
  void Hedge(request_entry& entry);
  duration HedgeDelay(const request_entry& entry);
  std::optional<minion_id> ChooseMinion(const request_entry& entry);
  void ReleaseSlot(const in_flight_send& send, send_result verdict);
  void ReleaseLater(const in_flight_send& send);
  void ReleaseReserved(request_entry& entry);
  void OnIdempotentSendEnded(request_entry& entry, const send_ended& event);
  void OnClaimedSendEnded(request_entry& entry, const send_ended& event);
  void Retry(request_entry& entry, error failure, bool is_exempt_from_budget);
  void AbandonSends(request_entry& entry, bool should_record_failures);

  // Claims.
  void ReadClaim(request_entry& entry);
  void StartReads();
  void OnClaimRow(request_entry& entry, const table_row& row);
  void OnClaimHeld(request_entry& entry, const claim_record& record);
  bool IsHolderDead(const request_entry& entry,
                    const gateway_member& holder) const;
  void StartClaim(request_entry& entry, const minion_id& minion);
  void WriteClaim(request_entry& entry, claim_state state);
  void OnClaimWritten(const claim_write_result& written);
  void OnClaimAcquired(request_entry& entry);
  void AbandonClaim(request_entry& entry);
  void StoreAnswer(request_entry& entry);
  void RecordClaim(request_entry& entry, claim_state state);

  // Membership, timers and lending.
  void ApplyMembers();
  void DetectPause();
  void ProcessDueWork();
  target_state& TargetOf(const request_entry& entry);
  int SlotsToRequest(const target_state& state) const;

  request_options options_;
  counter_table& counters_;
  config_ptr config_;
  std::map<target_id, std::unique_ptr<target_state>> targets_;
  std::map<class_id, service_time> service_times_;
  std::map<request_id, request_entry> entries_;
  std::map<send_id, in_flight_send> sends_;
  std::set<std::pair<instant, request_id>> wakes_;
  claim_writer writer_;
  std::deque<request_id> pending_reads_;
  std::map<store_call_id, std::vector<request_id>> reads_;
  std::vector<gateway_member> members_;
  std::set<gateway_member> lost_members_;
  send_id next_send_ = 1;
  store_call_id next_call_ = 1;
  std::uint64_t next_token_ = 1;
  bool is_stopping_ = false;
  bool is_stopped_ = false;
  bool is_suspended_ = false;
  std::optional<instant> resumed_at_;  ///< End of the last detected pause.

  // State of the current Handle() call; next_wake_ persists between calls.
  instant now_;
  random_engine* random_ = nullptr;
  request_actions actions_;
  std::optional<instant> next_wake_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_SRC_REQUEST_REQUEST_CORE_IMPL_H_

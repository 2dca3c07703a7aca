#include <algorithm>

#include "sassafras/core/invariant.h"
#include "src/request/request_core_impl.h"

// Claims: ensure that all gateways together dispatch a non-idempotent request
// at most once.

namespace sassafras {
namespace {

constexpr std::size_t kMaxReads = 4;       // Reads in flight at once.
constexpr std::size_t kMaxReadRows = 100;  // Rows per read.
constexpr duration kHolderPollInterval = std::chrono::milliseconds(300);
constexpr duration kHolderGracePeriod = std::chrono::seconds(10);
constexpr duration kMaxSlotHold = std::chrono::milliseconds(200);
constexpr duration kStoreRetryInterval = std::chrono::milliseconds(500);

}  // namespace

void request_core::impl::ReadClaim(request_entry& entry) {
  entry.phase = request_phase::kReading;
  pending_reads_.push_back(entry.id);
  SetWake(entry, entry.deadline);
}

// Reads the claim rows of many requests with one store call.
void request_core::impl::StartReads() {
  if (!writer_.IsStoreAvailable() &&
      (!reads_.empty() || !writer_.CanCallStore(now_))) {
    return;
  }
  while (!pending_reads_.empty() && reads_.size() < kMaxReads) {
    std::vector<request_id> requests;
    std::vector<std::string> keys;
    while (!pending_reads_.empty() && requests.size() < kMaxReadRows) {
      const request_entry* entry = Find(pending_reads_.front());
      if (entry != nullptr && entry->phase == request_phase::kReading) {
        requests.push_back(entry->id);
        keys.push_back(entry->row_key);
      }
      pending_reads_.pop_front();
    }
    if (!requests.empty()) {
      const store_call_id call = next_call_++;
      reads_[call] = std::move(requests);
      actions_.emplace_back(read_rows{call, std::move(keys)});
    }
  }
}

void request_core::impl::On(const rows_read& event) {
  if (writer_.Owns(event.call)) {
    for (const claim_write_result& written :
         writer_.OnRead(event, now_, *random_)) {
      OnClaimWritten(written);
    }
    return;
  }
  auto node = reads_.extract(event.call);
  if (node.empty()) {
    counters_.Add("store_answer_unexpected");
    return;
  }
  const std::vector<request_id>& requests = node.mapped();
  const bool is_whole = event.answer.state == answer_state::kDone &&
                        event.answer.rows.size() == requests.size();
  writer_.RecordStoreResult(is_whole, now_, *random_);
  for (std::size_t i = 0; i < requests.size(); ++i) {
    request_entry* entry = Find(requests[i]);
    if (entry == nullptr || entry->phase != request_phase::kReading) {
      continue;
    }
    if (!is_whole) {
      pending_reads_.push_back(entry->id);
    } else {
      OnClaimRow(*entry, event.answer.rows[i]);
    }
  }
}

// Continues or ends a submission depending on the claim row of its key.
// Corresponds to a guard in models/claim.pml.
void request_core::impl::OnClaimRow(request_entry& entry,
                                    const table_row& row) {
  entry.row_version = row.version;
  if (row.version == 0) {
    Enqueue(entry);
    return;
  }
  auto decoded = DecodeClaim(row.value);
  if (!decoded) {
    counters_.Add("claim_row_malformed");
    FailAs(entry, {error_kind::kStoreUnknown, "claim row"},
           run_outcome::kUnknown);
    End(entry);
    return;
  }
  const claim_record& record = decoded.value();
  if (record.body_sha256 != entry.body_sha256 ||
      record.class_name != entry.class_name) {
    Fail(entry, {error_kind::kKeyReused, {}});
    End(entry);
    return;
  }
  entry.claim = record;
  switch (record.state) {
    case claim_state::kReleased:
      counters_.Add("claim_taken_over");
      Enqueue(entry);
      return;
    case claim_state::kAnswered:
      counters_.Add("claim_answered_before");
      entry.phase = request_phase::kLoading;
      actions_.emplace_back(load_answer{entry.id, record.object});
      SetWake(entry, entry.deadline);
      return;
    case claim_state::kUnknown:
      FailAs(entry, {error_kind::kMinionLost, "first submission"},
             run_outcome::kUnknown);
      End(entry);
      return;
    case claim_state::kClaimed:
      OnClaimHeld(entry, record);
      return;
  }
}

// Another submission holds the claim: polls the row until it changes. If the
// holder is dead, the request may have run, so it is recorded as kUnknown.
// Corresponds to a guard in models/claim.pml.
void request_core::impl::OnClaimHeld(request_entry& entry,
                                     const claim_record& record) {
  if (entry.holder_token != record.token) {
    entry.holder_token = record.token;
    entry.holder_since = now_;
  }
  if (IsHolderDead(entry, record.holder)) {
    counters_.Add("claim_holder_dead");
    RecordClaim(entry, claim_state::kUnknown);
    return;
  }
  entry.phase = request_phase::kWaitingForHolder;
  SetWake(entry, std::min(entry.deadline, now_ + kHolderPollInterval));
}

// A holder that was never among the members may have joined since the last
// refresh, so it counts as dead only after kHolderGracePeriod. Corresponds to a
// guard in models/claim.pml.
bool request_core::impl::IsHolderDead(const request_entry& entry,
                                      const gateway_member& holder) const {
  if (holder.id == options_.self.id) {
    return holder != options_.self;  // An earlier incarnation of this process.
  }
  if (members_.empty() || is_suspended_ ||
      std::binary_search(members_.begin(), members_.end(), holder)) {
    return false;
  }
  return lost_members_.count(holder) > 0 ||
         now_ - entry.holder_since >= kHolderGracePeriod;
}

// Reserves the slot while the claim is written, for at most kMaxSlotHold.
// Corresponds to a guard in models/claim.pml.
void request_core::impl::StartClaim(request_entry& entry,
                                    const minion_id& minion) {
  entry.reserved = minion;
  entry.claim.body_sha256 = entry.body_sha256;
  entry.claim.class_name = entry.class_name;
  entry.claim.holder = options_.self;
  entry.claim.object.clear();
  entry.claim.token = options_.self.id.value + "." + options_.self.incarnation +
                      "." + std::to_string(next_token_++);
  WriteClaim(entry, claim_state::kClaimed);
  entry.phase = request_phase::kClaiming;
  SetWake(entry, std::min(entry.deadline, now_ + kMaxSlotHold));
}

void request_core::impl::WriteClaim(request_entry& entry, claim_state state) {
  entry.claim.state = state;
  writer_.Add(
      {entry.id, entry.row_key, entry.row_version, EncodeClaim(entry.claim)});
}

void request_core::impl::On(const rows_committed& event) {
  if (!writer_.Owns(event.call)) {
    counters_.Add("store_answer_unexpected");
    return;
  }
  for (const claim_write_result& written :
       writer_.OnCommitted(event, now_, *random_)) {
    OnClaimWritten(written);
  }
}

void request_core::impl::OnClaimWritten(const claim_write_result& written) {
  request_entry* entry = Find(written.request);
  if (entry == nullptr) {
    return;
  }
  if (written.is_done) {
    entry->row_version = written.row.version;
  }
  switch (entry->phase) {
    case request_phase::kClaiming:
      if (written.is_done) {
        OnClaimAcquired(*entry);
        return;
      }
      // Another submission claimed the key first.
      counters_.Add("claim_conflict");
      ReleaseReserved(*entry);
      OnClaimRow(*entry, written.row);
      return;
    case request_phase::kReleasing:
      entry->is_claimed = false;
      if (!written.is_done) {
        OnClaimRow(*entry, written.row);
        return;
      }
      Retry(*entry, entry->last_failure, false);
      return;
    case request_phase::kRecording:
      if (!written.is_done) {
        counters_.Add("claim_record_conflict");
        if (!entry->is_answered) {
          OnClaimRow(*entry, written.row);  // The holder is alive.
          return;
        }
      }
      if (!entry->is_answered) {
        FailAs(*entry, {error_kind::kMinionLost, "first submission"},
               run_outcome::kUnknown);
      }
      End(*entry);
      return;
    default:
      CheckInvariant(false, "request_claim_write_expected");
      return;
  }
}

void request_core::impl::OnClaimAcquired(request_entry& entry) {
  entry.is_claimed = true;
  if (now_ >= entry.deadline) {
    GiveUp(entry, {error_kind::kTimedOut, {}});
    return;
  }
  if (!entry.reserved) {
    Enqueue(entry);
    return;
  }
  const minion_id minion = *entry.reserved;
  if (TargetOf(entry).pool.IsLeaving(minion, now_)) {
    ReleaseReserved(entry);
    Enqueue(entry);
    return;
  }
  entry.reserved.reset();  // The send now occupies the slot.
  Send(entry, minion);
}

// Releases a claim before its dispatch. No gateway may dispatch the request
// until the release has taken effect. Corresponds to a guard in
// models/claim.pml.
void request_core::impl::AbandonClaim(request_entry& entry) {
  ReleaseReserved(entry);
  SetWake(entry, std::nullopt);
  counters_.Add("claim_released");
  if (entry.phase == request_phase::kReleasing) {
    entry.phase = request_phase::kRecording;  // The write is in flight.
    return;
  }
  entry.claim.state = claim_state::kReleased;
  if (entry.is_claimed) {
    RecordClaim(entry, claim_state::kReleased);
    return;
  }
  entry.phase = request_phase::kRecording;
  if (writer_.Replace(entry.id, EncodeClaim(entry.claim))) {
    End(entry);
  }
}

void request_core::impl::StoreAnswer(request_entry& entry) {
  if (entry.claim.object.empty()) {
    entry.claim.object = "answer/" + entry.team.value + "/" + entry.key + "/" +
                         entry.claim.token;
  }
  entry.phase = request_phase::kStoring;
  SetWake(entry, std::nullopt);
  actions_.emplace_back(
      store_answer{entry.id, entry.answer_send, entry.claim.object});
}

void request_core::impl::On(const answer_stored& event) {
  request_entry* entry = Find(event.request);
  if (entry == nullptr || entry->phase != request_phase::kStoring) {
    return;
  }
  if (event.state == answer_state::kDone) {
    RecordClaim(*entry, claim_state::kAnswered);
    return;
  }
  // Writing the complete object again is idempotent.
  counters_.Add("answer_store_failed");
  std::uniform_int_distribution<std::int64_t> wait(
      kStoreRetryInterval.count() / 2, kStoreRetryInterval.count());
  SetWake(*entry, now_ + duration(wait(*random_)));
}

void request_core::impl::RecordClaim(request_entry& entry, claim_state state) {
  WriteClaim(entry, state);
  entry.phase = request_phase::kRecording;
  SetWake(entry, std::nullopt);
  if (!entry.is_answered) {
    SetWake(entry, std::max(now_, entry.deadline));
  }
}

void request_core::impl::On(const answer_loaded& event) {
  request_entry* entry = Find(event.request);
  if (entry == nullptr || entry->phase != request_phase::kLoading) {
    return;
  }
  if (!event.is_found) {
    counters_.Add("answer_load_failed");
    SetWake(*entry, std::min(entry->deadline, now_ + kStoreRetryInterval));
    return;
  }
  constexpr int kFirstFailureStatus = 400;
  if (event.status >= kFirstFailureStatus) {
    FailAs(
        *entry,
        {error_kind::kMinionFailed, "status " + std::to_string(event.status)},
        run_outcome::kRan);
  } else {
    entry->is_answered = true;
    counters_.Add("request_answered_again");
    actions_.emplace_back(reply_stored{entry->id});
  }
  End(*entry);
}

}  // namespace sassafras

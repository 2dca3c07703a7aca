#include "sassafras/request/claim_writer.h"

#include <algorithm>
#include <utility>

namespace sassafras {
namespace {

constexpr std::size_t kMaxCalls = 2;       // Store calls in flight at once.
constexpr std::size_t kMaxBatchRows = 64;  // Rows per transaction.
constexpr duration kRetryBase = std::chrono::milliseconds(50);
constexpr duration kRetryMax = std::chrono::seconds(2);
constexpr int kMaxDoublings = 6;

}  // namespace

claim_writer::claim_writer(counter_table& counters, next_call next)
    : counters_(counters), next_(std::move(next)) {}

void claim_writer::Add(claim_write write) {
  const request_id request = write.request;
  pending_write pending;
  pending.write = std::move(write);
  writes_[request] = std::move(pending);
}

// Corresponds to a guard in models/claim.pml.
bool claim_writer::Replace(request_id request, std::string value) {
  const auto it = writes_.find(request);
  if (it == writes_.end()) {
    return false;
  }
  if (it->second.sent.empty()) {
    writes_.erase(it);
    return true;
  }
  it->second.write.value = std::move(value);
  return false;
}

void claim_writer::RecordStoreResult(bool is_available,
                                     instant now,
                                     random_engine& random) {
  if (is_available) {
    failures_ = 0;
    retry_at_ = now;
    return;
  }
  const duration limit = std::min(
      kRetryMax, kRetryBase * (1 << std::min(failures_, kMaxDoublings)));
  std::uniform_int_distribution<std::int64_t> wait(1, limit.count());
  ++failures_;
  retry_at_ = now + duration(wait(random));
}

void claim_writer::Pump(instant now, request_actions& actions) {
  if (failures_ > 0 && now < retry_at_) {
    return;
  }
  // While the store is unavailable, one call at a time probes it.
  const std::size_t limit = failures_ > 0 ? 1 : kMaxCalls;
  for (const bool is_read : {true, false}) {
    if (batches_.size() < limit) {
      StartBatch(is_read, now, actions);
    }
  }
}

void claim_writer::StartBatch(bool is_read,
                              instant /*now*/,
                              request_actions& actions) {
  batch chosen;
  std::vector<std::string> keys;
  table_transaction transaction;
  for (auto& [request, pending] : writes_) {
    if (pending.is_in_flight || pending.needs_read != is_read ||
        chosen.size() >= kMaxBatchRows) {
      continue;
    }
    // A transaction can contain at most one write of a row.
    if (std::find(keys.begin(), keys.end(), pending.write.key) != keys.end()) {
      continue;
    }
    pending.is_in_flight = true;
    chosen.push_back(request);
    keys.push_back(pending.write.key);
    if (!is_read) {
      if (pending.sent.empty() || pending.sent.back() != pending.write.value) {
        pending.sent.push_back(pending.write.value);
      }
      transaction.push_back({pending.write.key, pending.write.expected_version,
                             pending.write.value, false});
    }
  }
  if (chosen.empty()) {
    return;
  }
  const store_call_id call = next_();
  batches_[call] = std::move(chosen);
  counters_.Add(is_read ? "claim_read_back" : "claim_transaction");
  if (is_read) {
    actions.emplace_back(read_rows{call, std::move(keys)});
  } else {
    actions.emplace_back(commit_rows{call, std::move(transaction)});
  }
}

claim_writer::batch claim_writer::ExtractBatch(store_call_id call) {
  auto node = batches_.extract(call);
  return node.empty() ? batch() : std::move(node.mapped());
}

void claim_writer::End(request_id request,
                       bool is_done,
                       table_row row,
                       std::vector<claim_write_result>& ended) {
  writes_.erase(request);
  ended.push_back({request, is_done, std::move(row)});
}

bool claim_writer::IsOwnValue(const pending_write& pending,
                              const table_row& row) {
  return row.version > 0 && std::find(pending.sent.begin(), pending.sent.end(),
                                      row.value) != pending.sent.end();
}

// Compares the current row with the requested value: ends the write, or
// prepares it to be sent again. Corresponds to a guard in models/claim.pml.
void claim_writer::Settle(pending_write& pending,
                          const table_row& row,
                          std::vector<claim_write_result>& ended) {
  pending.needs_read = false;
  if (row.version > 0 && row.value == pending.write.value) {
    End(pending.write.request, true, row, ended);
    return;
  }
  if (IsOwnValue(pending, row)) {
    // An earlier value of this write took effect before Replace(): overwrite
    // it.
    pending.write.expected_version =
        std::max(pending.write.expected_version, row.version);
    return;
  }
  if (row.version == pending.write.expected_version) {
    return;  // Nothing has taken effect yet: write again.
  }
  End(pending.write.request, false, row, ended);
}

claim_writer::pending_write* claim_writer::FinishCall(request_id request) {
  const auto it = writes_.find(request);
  if (it == writes_.end()) {
    return nullptr;
  }
  it->second.is_in_flight = false;
  return &it->second;
}

std::vector<claim_write_result> claim_writer::OnCommitted(
    const rows_committed& event,
    instant now,
    random_engine& random) {
  std::vector<claim_write_result> ended;
  const batch requests = ExtractBatch(event.call);
  const bool is_conflict = event.answer.state == answer_state::kNotDone &&
                           event.answer.reason == error_kind::kConflict;
  const bool is_done = event.answer.state == answer_state::kDone;
  RecordStoreResult(is_done || is_conflict, now, random);
  if (event.answer.state == answer_state::kUnknown) {
    counters_.Add("claim_commit_unknown");
  }
  for (const request_id request : requests) {
    pending_write* pending = FinishCall(request);
    if (pending == nullptr) {
      continue;
    }
    const table_row* row = FindRow(event.answer.rows, pending->write.key);
    if (is_done && row != nullptr) {
      Settle(*pending, {row->key, pending->sent.back(), row->version}, ended);
    } else if (is_conflict) {
      if (row != nullptr) {
        Settle(*pending, *row, ended);
      }
    } else {
      // An earlier attempt may still take effect, even if this one failed.
      pending->needs_read = true;
    }
  }
  return ended;
}

std::vector<claim_write_result> claim_writer::OnRead(const rows_read& event,
                                                     instant now,
                                                     random_engine& random) {
  std::vector<claim_write_result> ended;
  const batch requests = ExtractBatch(event.call);
  const bool is_done = event.answer.state == answer_state::kDone;
  RecordStoreResult(is_done, now, random);
  for (const request_id request : requests) {
    pending_write* pending = FinishCall(request);
    if (pending == nullptr) {
      continue;
    }
    const table_row* row = FindRow(event.answer.rows, pending->write.key);
    if (!is_done || row == nullptr) {
      continue;
    }
    // Reads may return stale rows, so only a row with our own value is
    // conclusive. Otherwise the write is repeated with the same expected
    // version: a conflict returns the current row.
    pending->needs_read = false;
    if (IsOwnValue(*pending, *row)) {
      Settle(*pending, *row, ended);
    }
  }
  return ended;
}

std::optional<instant> claim_writer::NextWake() const {
  const bool has_idle =
      std::any_of(writes_.begin(), writes_.end(),
                  [](const auto& item) { return !item.second.is_in_flight; });
  if (!has_idle || !batches_.empty()) {
    return std::nullopt;
  }
  return retry_at_;
}

}  // namespace sassafras

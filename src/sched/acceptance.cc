#include "sassafras/sched/acceptance.h"

#include <algorithm>
#include <utility>

#include "sassafras/core/invariant.h"
#include "sassafras/sched/caller.h"

namespace sassafras::sched {
namespace {

// Writes of one submission: the job, the tombstone, and one retry of each.
constexpr int kMaxWrites = 4;
constexpr std::size_t kJobIdDigits = 16;

}  // namespace

bool IsJobId(std::string_view text) {
  const auto is_hex_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
           (c >= 'A' && c <= 'F');
  };
  return text.size() == kJobIdDigits &&
         std::all_of(text.begin(), text.end(), is_hex_digit);
}

acceptance::acceptance(accepted_job job)
    : job_(std::move(job)), key_(JobKey(job_.id)) {}

table_transaction acceptance::Begin() {
  return Submit(0);
}

table_transaction acceptance::BeginRefusal(refusal_rule should_refuse) {
  should_refuse_ = std::move(should_refuse);
  refusals_ = 1;
  return Refuse();
}

std::optional<table_transaction> acceptance::OnAnswer(
    const commit_answer& answer) {
  CheckInvariant(!result_.has_value(), "acceptance_is_decided_once");
  if (answer.state == answer_state::kDone) {
    has_stored_tombstone_ = is_refusing_;
    return Finish(is_refusing_ ? acceptance_result::kRefused
                               : acceptance_result::kAccepted);
  }
  if (answer.state == answer_state::kNotDone &&
      answer.reason == error_kind::kConflict) {
    return OnConflict(answer);
  }
  if (answer.state == answer_state::kUnknown) {
    has_unknown_write_ = true;
  }
  if (!has_unknown_write_) {
    return Finish(acceptance_result::kRefused);
  }
  if (writes_ >= kMaxWrites || is_refusing_) {
    return Finish(acceptance_result::kUnknown);
  }
  return Refuse();
}

// The row exists. It holds the job, stored by this or an earlier call, or a
// tombstone: of an earlier refusal, which a new submission may replace, or of a
// cancelled job.
std::optional<table_transaction> acceptance::OnConflict(
    const commit_answer& answer) {
  const table_row* row = FindRow(answer.rows, key_);
  const auto current = row == nullptr || row->version == 0
                           ? result<job_row>(Fail(error_kind::kNotFound))
                           : DecodeJobRow(row->value);
  if (!current) {
    return Finish(has_unknown_write_ ? acceptance_result::kUnknown
                                     : acceptance_result::kRefused);
  }
  switch (current.value().kind) {
    case job_row_kind::kAccepted:
      return Finish(acceptance_result::kAccepted);
    case job_row_kind::kCancelled:
      return Finish(acceptance_result::kCancelled);
    case job_row_kind::kRefused:
      break;
  }
  return OnTombstone(row->version, current.value().refusals);
}

// Since a tombstone is stored, a lost write that expects an earlier version
// fails.
std::optional<table_transaction> acceptance::OnTombstone(std::uint64_t version,
                                                         int refusals) {
  const bool can_write = writes_ < kMaxWrites && !has_unknown_write_;
  if (should_refuse_ && can_write) {
    if (should_refuse_(refusals)) {
      refusals_ = refusals + 1;
      expected_version_ = version;
      return Refuse();
    }
    should_refuse_ = nullptr;
    is_refusing_ = false;
    refusals_ = refusals;
  }
  if (is_refusing_ || writes_ >= kMaxWrites) {
    has_stored_tombstone_ = true;
    return Finish(acceptance_result::kRefused);
  }
  return Submit(version);
}

table_transaction acceptance::Submit(std::uint64_t expected_version) {
  ++writes_;
  expected_version_ = expected_version;
  return {
      {key_, expected_version, EncodeJobRow({job_row_kind::kAccepted, job_})}};
}

table_transaction acceptance::Refuse() {
  ++writes_;
  is_refusing_ = true;
  return {{key_, expected_version_,
           EncodeJobRow({job_row_kind::kRefused, {}, refusals_})}};
}

std::optional<table_transaction> acceptance::Finish(acceptance_result how) {
  result_ = how;
  return std::nullopt;
}

}  // namespace sassafras::sched

#include "sassafras/cluster/lease.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "sassafras/core/invariant.h"

namespace sassafras {
namespace {

constexpr int kRowFormat = 1;
constexpr int kRenewalsPerTerm = 3;
constexpr std::size_t kMaxUnresolvedWrites = 16;
// Shortest interval between two reads of a contender, as a fraction of the
// term.
constexpr double kMinContenderReadFraction = 0.4;
constexpr std::size_t kContenderReadSteps = 1000;
// Least number of store response times that a term covers, up to max_term. A
// renewal takes up to two calls, and one more call may be in flight before it.
constexpr int kMinAnswerTimesPerTerm = 6;
// Fraction of the recorded response time that is kept after a faster answer, so
// that the recorded time falls gradually once the store is fast again.
constexpr double kAnswerTimeDecay = 0.8;
// Least ratio of the contender's to the holder's capacity. A hand-over leaves
// the lease without a holder for a fraction of a second, so a small gain does
// not justify it.
constexpr double kMinHandoverCapacityRatio = 2;
// Least interval between two hand-over requests of one process. The holder may
// have stopped, in which case it does not respond.
constexpr duration kHandoverRequestInterval = std::chrono::seconds(3);
// No hand-over is requested while the store responds more slowly than this,
// because it would leave the lease without a holder for seconds.
constexpr duration kMaxAnswerTimeForHandover = std::chrono::milliseconds(100);
// After a hand-over request, the requester reads the row at this interval for
// this duration.
constexpr duration kHandoverReadInterval = std::chrono::milliseconds(80);
constexpr duration kHandoverReadDuration = std::chrono::milliseconds(1500);

}  // namespace

bool IsClockRateSafe(const lease_options& options, double rate_difference) {
  return rate_difference * static_cast<double>(options.term.count()) <
         static_cast<double>(options.margin.count());
}

lease::lease(lease_options options, counter_table& counters)
    : options_(std::move(options)), counters_(counters) {
  CheckInvariant(options_.margin > duration(0) &&
                     options_.margin * kRenewalsPerTerm < options_.term,
                 "lease_margin_is_a_small_part_of_the_term");
}

bool lease::IsReadDue(instant now) const {
  const bool has_expired = is_held_ && !MayAct(now);
  return !is_closed_ && (has_expired || now >= next_read_);
}

std::optional<table_write> lease::OnRow(instant sent,
                                        instant now,
                                        const table_row& row) {
  CheckClock(now);
  RecordAnswerTime(sent, now);
  next_read_ = now + (is_held_ ? options_.term / kRenewalsPerTerm
                               : NextContenderReadDelay(now));
  if (is_closed_) {
    return std::nullopt;
  }
  const row_state state = Decode(row.value);
  if (state.is_malformed) {
    counters_.Add("lease_row_malformed");
    return std::nullopt;
  }
  if (IsStale(row, state, now)) {
    counters_.Add("lease_stale_read");
  } else {
    Reconcile(now, row, state);
  }
  if (is_held_) {
    return PrepareWrite(now, epoch_, row_version_, row_value_);
  }
  if (CanAcquire(sent, row)) {
    counters_.Add("lease_take_tried");
    return PrepareWrite(now, seen_.epoch + 1, row.version, row.value);
  }
  if (ShouldRequestHandover(now)) {
    return RequestHandover(now, row, state);
  }
  const instant earliest_acquire = unchanged_since_ + AcquireWait(row);
  if (earliest_acquire > now) {
    next_read_ = std::min(next_read_, earliest_acquire);
  }
  return std::nullopt;
}

void lease::OnCommit(instant sent, instant now, const commit_answer& answer) {
  CheckClock(now);
  RecordAnswerTime(sent, now);
  // The send time identifies the write.
  if (sent == handover_requested_at_ && !is_held_) {
    return;  // The next read shows whether the hand-over request took effect.
  }
  const auto it =
      std::find_if(unresolved_writes_.begin(), unresolved_writes_.end(),
                   [&](const sent_write& write) { return write.sent == sent; });
  if (it == unresolved_writes_.end() || is_closed_) {
    counters_.Add("lease_late_answer");
    return;
  }
  if (answer.state == answer_state::kUnknown) {
    counters_.Add("lease_commit_unknown");
    return;
  }
  if (answer.state == answer_state::kDone) {
    const table_row* row = FindRow(answer.rows, options_.key);
    ApplyOwnWrite(*it, row == nullptr ? 0 : row->version);
    return;
  }
  unresolved_writes_.erase(it);
  if (answer.reason == error_kind::kConflict) {
    OnConflict(now, answer);
  }
}

void lease::OnGuarded(instant sent, instant now, const commit_answer& answer) {
  CheckClock(now);
  RecordAnswerTime(sent, now);
  if (!is_held_) {
    return;
  }
  if (answer.state == answer_state::kUnknown) {
    should_adopt_next_row_ = true;
    next_read_ = now;
    return;
  }
  if (answer.state == answer_state::kDone) {
    const table_row* row = FindRow(answer.rows, options_.key);
    if (row != nullptr) {
      row_version_ = row->version;
      row_value_ = guard_value_;
      seen_ = Decode(row_value_);
      seen_version_ = row->version;
      valid_until_ = sent + guard_term_;
      // An answer that comes too late is followed by another renewal at once.
      next_read_ = MayAct(now) ? now + options_.term / kRenewalsPerTerm : now;
    }
    return;
  }
  if (answer.reason == error_kind::kConflict) {
    OnConflict(now, answer);
  }
}

// MAY_ACT in models/placement.pml: a holder decides only while no other process
// can have acquired the lease.
bool lease::MayAct(instant now) const {
  return is_held_ && std::max(now, last_now_) + options_.margin < valid_until_;
}

bool lease::CanRenewUnread(instant now) const {
  return is_held_ && !MayAct(now) && !should_adopt_next_row_ &&
         unresolved_writes_.empty();
}

// GUARDED in models/placement.pml: a transaction with this write takes effect
// only if the lease row is unchanged, so not after another process has acquired
// the lease.
std::optional<table_write> lease::Guard(instant now) {
  if (!is_held_) {
    return std::nullopt;
  }
  row_state state = Decode(row_value_);
  state.term = CurrentTerm();
  guard_term_ = state.term;
  guard_value_ = Encode(state, row_value_);
  CapValidity(now, guard_term_);
  return table_write{options_.key, row_version_, guard_value_};
}

std::optional<table_write> lease::Release(instant now) {
  is_closed_ = true;
  auto write = Yield(now);
  if (write) {
    counters_.Add("lease_released");
  }
  return write;
}

bool lease::ShouldYield() const {
  return is_held_ && seen_.is_handover_requested && IsOwn(seen_);
}

std::optional<table_write> lease::Yield(instant now) {
  CheckClock(now);
  if (!is_held_) {
    return std::nullopt;
  }
  is_held_ = false;
  unresolved_writes_.clear();
  row_state state = seen_;
  state.write_number += 1;
  state.is_released = true;
  state.is_handover_requested = false;
  return table_write{options_.key, row_version_, Encode(state, row_value_)};
}

lease::row_state lease::Decode(const std::string& value) {
  row_state state;
  if (value.empty()) {
    return state;
  }
  try {
    const auto document = nlohmann::json::parse(value);
    state.holder = document.at("holder");
    state.incarnation = document.at("incarnation");
    state.epoch = document.at("epoch");
    state.write_number = document.at("write");
    state.term = duration(document.at("term_us").get<std::int64_t>());
    state.is_released = document.value("released", false);
    state.capacity = document.value("strength", 0.0);
    state.is_handover_requested = document.value("asked_for", false);
  } catch (const nlohmann::json::exception&) {
    state.is_malformed = true;
  }
  return state;
}

// Copies fields that this version does not know from `base`, so that a newer
// version's fields are preserved.
std::string lease::Encode(const row_state& state,
                          const std::string& base) const {
  auto document = nlohmann::json::parse(base, nullptr, false);
  if (!document.is_object()) {
    document = nlohmann::json::object();
  }
  document["format"] = kRowFormat;
  document["holder"] = state.holder;
  document["incarnation"] = state.incarnation;
  document["epoch"] = state.epoch;
  document["write"] = state.write_number;
  document["term_us"] = state.term.count();
  document["released"] = state.is_released;
  document["strength"] = state.capacity;
  document["asked_for"] = state.is_handover_requested;
  return document.dump();
}

bool lease::IsOwn(const row_state& state) const {
  return state.holder == options_.holder.value &&
         state.incarnation == options_.incarnation && !state.is_released;
}

// Whether the read came from a lagging replica: it shows an older state than
// an earlier read did. A row that stays absent for a full term counts as
// erased; the write that acquires it is still conditional.
bool lease::IsStale(const table_row& row,
                    const row_state& state,
                    instant now) const {
  if (row.version == 0) {
    return seen_version_ != 0 &&
           (is_held_ || now - unchanged_since_ < options_.term);
  }
  return state.epoch < seen_.epoch || state.write_number < seen_.write_number;
}

bool lease::CanAcquire(instant sent, const table_row& row) const {
  if (row.version != seen_version_) {
    return false;
  }
  if (row.version != 0 && IsFromEarlierIncarnation(seen_)) {
    return true;
  }
  // The first read that shows a free lease suffices, since the row cannot be
  // acquired twice at the same version.
  const duration wait = AcquireWait(row);
  return wait == duration(0) || sent - unchanged_since_ >= wait;
}

// Time for which the row must have been unchanged before it can be acquired.
duration lease::AcquireWait(const table_row& row) const {
  const bool is_free = row.version == 0 || seen_.is_released;
  const duration term =
      is_free ? duration(0) : std::max(options_.term, seen_.term);
  return term + options_.acquire_delay;
}

// Whether the lease can be acquired before its term has passed. The earlier
// holder must not act as holder any longer (MAY_ACT in models/placement.pml).
// Otherwise the expired term ensures this; here that process has ended, because
// this one runs under its id.
bool lease::IsFromEarlierIncarnation(const row_state& state) const {
  return options_.is_id_exclusive && state.holder == options_.holder.value &&
         state.incarnation != options_.incarnation;
}

// Contenders read about once per term. The interval is jittered by process id
// and read number, so that contenders that started together do not read at the
// same time. The first contender to see the row unchanged for a term acquires
// the lease.
duration lease::NextContenderReadDelay(instant now) {
  if (handover_requested_at_ &&
      now - *handover_requested_at_ < kHandoverReadDuration) {
    return kHandoverReadInterval;
  }
  ++contender_reads_;
  const std::size_t hash_value = std::hash<std::string>()(
      options_.holder.value + '/' + std::to_string(contender_reads_));
  const double fraction =
      static_cast<double>(hash_value % kContenderReadSteps) /
      kContenderReadSteps;
  return std::chrono::duration_cast<duration>(
      options_.term *
      (kMinContenderReadFraction + (1 - kMinContenderReadFraction) * fraction));
}

// The holder sees the request when its next guarded write conflicts with the
// new version of the row. The request does not shorten the wait of other
// contenders, because it changes the row and so restarts their wait.
bool lease::ShouldRequestHandover(instant now) const {
  return options_.capacity > 0 && seen_.capacity > 0 && !seen_.is_released &&
         !seen_.is_handover_requested &&
         options_.capacity >= seen_.capacity * kMinHandoverCapacityRatio &&
         now >= next_handover_request_at_ &&
         answer_time_ <= kMaxAnswerTimeForHandover;
}

table_write lease::RequestHandover(instant now,
                                   const table_row& row,
                                   row_state state) {
  counters_.Add("lease_asked_for");
  handover_requested_at_ = now;
  next_handover_request_at_ = now + kHandoverRequestInterval;
  next_read_ = now + kHandoverReadInterval;
  state.is_handover_requested = true;
  return {options_.key, row.version, Encode(state, row.value)};
}

duration lease::CurrentTerm() const {
  return std::clamp(answer_time_ * kMinAnswerTimesPerTerm, options_.term,
                    std::max(options_.term, options_.max_term));
}

void lease::RecordAnswerTime(instant sent, instant now) {
  const auto decayed =
      std::chrono::duration_cast<duration>(answer_time_ * kAnswerTimeDecay);
  answer_time_ = std::max(now - sent, decayed);
}

// Other processes that see a write with this term can acquire the lease `term`
// after it, whether or not this process receives the answer.
void lease::CapValidity(instant sent, duration term) {
  valid_until_ = std::min(valid_until_, sent + term);
}

void lease::CheckClock(instant now) {
  CheckInvariant(now >= last_now_, "monotonic_clock_never_goes_back");
  last_now_ = std::max(last_now_, now);
}

void lease::Observe(instant now, const table_row& row, const row_state& state) {
  const bool is_absent = row.version == 0;
  if (row.version == seen_version_ && is_absent == was_row_absent_) {
    return;
  }
  was_row_absent_ = is_absent;
  seen_version_ = row.version;
  unchanged_since_ = now;
  if (row.version == 0) {
    seen_.is_released = true;
    seen_holder_.clear();
    return;
  }
  seen_ = state;
  seen_holder_ = state.is_released ? std::string() : state.holder;
}

// Updates the state from a row that is not older than the last one seen, and
// resolves writes whose outcome was unknown.
void lease::Reconcile(instant now,
                      const table_row& row,
                      const row_state& state) {
  const auto own = std::find_if(
      unresolved_writes_.begin(), unresolved_writes_.end(),
      [&](const sent_write& write) {
        return IsOwn(state) && write.write_number == state.write_number &&
               write.epoch == state.epoch;
      });
  if (own != unresolved_writes_.end()) {
    counters_.Add("lease_settled_by_read");
    ApplyOwnWrite(*own, row.version);
  } else if (is_held_ && !(IsOwn(state) && state.epoch == epoch_)) {
    MarkLost();
  } else if (is_held_ && should_adopt_next_row_) {
    row_version_ = row.version;
    row_value_ = row.value;
    should_adopt_next_row_ = false;
  }
  Observe(now, row, state);
}

// `write` took effect no earlier than it was sent, and a process that sees it
// waits for a full term from then on. So no other process acts as holder before
// write.sent + write.term.
void lease::ApplyOwnWrite(const sent_write& write, std::uint64_t version) {
  CheckInvariant(write.epoch >= epoch_, "lease_epoch_never_falls");
  if (!is_held_) {
    counters_.Add("lease_taken");
  }
  is_held_ = true;
  epoch_ = write.epoch;
  row_version_ = version;
  row_value_ = write.value;
  valid_until_ = write.sent + write.term;
  seen_ = Decode(write.value);
  seen_version_ = version;
  seen_holder_ = options_.holder.value;
  should_adopt_next_row_ = false;
  // Earlier writes can no longer take effect: the version that they expect has
  // been replaced.
  unresolved_writes_.clear();
}

void lease::MarkLost() {
  is_held_ = false;
  unresolved_writes_.clear();
  counters_.AddError(error_kind::kLeaseLost);
}

table_write lease::PrepareWrite(instant sent,
                                std::uint64_t epoch,
                                std::uint64_t expected_version,
                                const std::string& base) {
  std::uint64_t write_number = seen_.write_number;
  for (const sent_write& write : unresolved_writes_) {
    write_number = std::max(write_number, write.write_number);
  }
  row_state state;
  state.holder = options_.holder.value;
  state.incarnation = options_.incarnation;
  state.epoch = epoch;
  state.write_number = write_number + 1;
  state.term = CurrentTerm();
  state.capacity = options_.capacity;
  CapValidity(sent, state.term);
  if (unresolved_writes_.size() >= kMaxUnresolvedWrites) {
    unresolved_writes_.erase(unresolved_writes_.begin());
  }
  unresolved_writes_.push_back(
      {sent, epoch, state.write_number, state.term, Encode(state, base)});
  return {options_.key, expected_version, unresolved_writes_.back().value};
}

// The rows of a conflict answer are current, unlike rows of a lagging replica.
void lease::OnConflict(instant now, const commit_answer& answer) {
  const table_row* row = FindRow(answer.rows, options_.key);
  if (row == nullptr) {
    return;
  }
  const row_state state = Decode(row->value);
  if (state.is_malformed) {
    return;
  }
  counters_.Add("lease_conflict");
  should_adopt_next_row_ = true;
  Reconcile(now, *row, state);
}

}  // namespace sassafras

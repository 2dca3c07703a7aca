#ifndef SASSAFRAS_REQUEST_CLAIM_WRITER_H_
#define SASSAFRAS_REQUEST_CLAIM_WRITER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// One conditional write of a claim row; at most one per request at a time.
/// `value` contains the token of the attempt, so that no other writer writes
/// the same value and reading the row back identifies the writer.
struct claim_write {
  request_id request = 0;
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
};

/// Result of a claim_write.
struct claim_write_result {
  request_id request = 0;
  bool is_done = false;  ///< The row holds the requested value.
  table_row row;         ///< Current row; its value is set unless is_done.
};

/// Writes claim rows in batches, one transaction per batch. If the answer to a
/// commit is lost, reads the rows back to find out whether it took effect. A
/// write ends only when its effect is known, so it stays pending while the
/// store is unavailable. Not safe for concurrent use.
class claim_writer {
 public:
  /// Allocates the id of the next store call.
  using next_call = std::function<store_call_id()>;

  claim_writer(counter_table& counters, next_call next);

  /// Queues a write; Pump() starts it.
  void Add(claim_write write);

  /// Replaces the value of a pending write by `value`, which is written over
  /// the first value if that has taken effect, and instead of it otherwise.
  /// Returns true if the first value was never sent; the write is then dropped.
  /// Does nothing and returns false if `request` has no pending write.
  bool Replace(request_id request, std::string value);

  /// Whether `call` is an in-flight call of this writer.
  bool Owns(store_call_id call) const { return batches_.count(call) > 0; }

  /// Processes the answer to a commit or a read; returns the writes that ended.
  std::vector<claim_write_result> OnCommitted(const rows_committed& event,
                                              instant now,
                                              random_engine& random);
  std::vector<claim_write_result> OnRead(const rows_read& event,
                                         instant now,
                                         random_engine& random);

  /// Appends the store calls that are due to `actions`.
  void Pump(instant now, request_actions& actions);

  /// Whether the most recent store call succeeded.
  bool IsStoreAvailable() const { return failures_ == 0; }

  /// Whether a store call may be made: the store is available, or the back-off
  /// after the last failure has passed.
  bool CanCallStore(instant now) const {
    return failures_ == 0 || now >= retry_at_;
  }

  /// Whether no write is pending.
  bool IsIdle() const { return writes_.empty(); }

  /// When the next attempt is due while the store is unavailable.
  instant RetryAt() const { return retry_at_; }

  /// Records whether a store call made outside this class succeeded. Each
  /// failure extends the back-off.
  void RecordStoreResult(bool is_available, instant now, random_engine& random);

  /// When Pump() is due; empty if it has no call to start.
  std::optional<instant> NextWake() const;

 private:
  struct pending_write {
    claim_write write;
    std::vector<std::string> sent;  ///< Values that may have taken effect.
    bool needs_read = false;        ///< Whether it took effect is unknown.
    bool is_in_flight = false;      ///< Part of an in-flight store call.
  };
  using batch = std::vector<request_id>;

  void StartBatch(bool is_read, instant now, request_actions& actions);
  static bool IsOwnValue(const pending_write& pending, const table_row& row);
  void Settle(pending_write& pending,
              const table_row& row,
              std::vector<claim_write_result>& ended);
  void End(request_id request,
           bool is_done,
           table_row row,
           std::vector<claim_write_result>& ended);
  batch ExtractBatch(store_call_id call);
  /// Marks the pending write of `request` as no longer part of an in-flight
  /// call and returns it; null if there is none.
  pending_write* FinishCall(request_id request);

  counter_table& counters_;
  next_call next_;
  std::map<request_id, pending_write> writes_;
  std::map<store_call_id, batch> batches_;
  int failures_ = 0;
  instant retry_at_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_CLAIM_WRITER_H_

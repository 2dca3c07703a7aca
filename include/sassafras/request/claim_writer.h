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

/// One conditional write of a claim row. At most one per request at a time.
/// `value` holds the attempt's token, so that no other writer writes the same.
struct claim_write {
  request_id request = 0;
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
};

/// How a claim_write ended.
struct claim_write_result {
  request_id request = 0;
  bool is_done = false;  ///< The row holds the value that was asked for.
  table_row row;         ///< The row now; its value is set unless is_done.
};

/// Writes claim rows, many per transaction, and settles lost answers by
/// reading back. A write ends only when its effect is certain, so it may take
/// as long as the store is away. Not safe for concurrent use.
class claim_writer {
 public:
  /// Returns the id of the next store call.
  using next_call = std::function<store_call_id()>;

  claim_writer(counter_table& counters, next_call next);

  /// Adds a write; Pump() starts it.
  void Add(claim_write write);

  /// Replaces the value of a write in progress by `value`, which is written
  /// instead of, or over, the first one. Without a write the call is ignored.
  /// Returns whether the first value was never sent: the write is dropped.
  bool Replace(request_id request, std::string value);

  /// Whether `call` belongs to this writer.
  bool Owns(store_call_id call) const { return batches_.count(call) > 0; }

  /// Takes in an answer; returns the writes that ended.
  std::vector<claim_write_result> OnCommitted(const rows_committed& event,
                                              instant now,
                                              random_engine& random);
  std::vector<claim_write_result> OnRead(const rows_read& event,
                                         instant now,
                                         random_engine& random);

  /// Appends the store calls that are due.
  void Pump(instant now, request_actions& actions);

  /// Whether the last answers of the store were good.
  bool IsStoreAvailable() const { return failures_ == 0; }

  /// Whether a call may be made, as a try, while the store is not well.
  bool CanCallStore(instant now) const {
    return failures_ == 0 || now >= retry_at_;
  }

  /// Whether no write is open.
  bool IsIdle() const { return writes_.empty(); }

  /// When the next try is due while the store is not well.
  instant RetryAt() const { return retry_at_; }

  /// Notes the answer of another call to the store.
  void RecordStoreResult(bool is_available, instant now, random_engine& random);

  /// When Pump() is due; empty if it has nothing to start.
  std::optional<instant> NextWake() const;

 private:
  struct pending_write {
    claim_write write;
    std::vector<std::string> sent;  ///< Values that may have taken effect.
    bool needs_read = false;        ///< Its effect is not known.
    bool is_busy = false;           ///< Part of a call in progress.
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
  /// The open write of a request whose store call has ended; null if none.
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

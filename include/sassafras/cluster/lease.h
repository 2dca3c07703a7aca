#ifndef SASSAFRAS_CLUSTER_LEASE_H_
#define SASSAFRAS_CLUSTER_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/id.h"
#include "sassafras/core/result.h"
#include "sassafras/core/time.h"
#include "sassafras/net/table_port.h"

namespace sassafras {

/// Options of one lease.
struct lease_options {
  std::string key;           ///< Key of the lease row, "lease/NAME".
  process_id holder;         ///< Id of this process.
  std::string incarnation;   ///< Unique to this start of the process.
  duration term{3'000'000};  ///< Minimum length of the lease.
  /// Maximum length of the lease. While the store is slow, the term grows to a
  /// multiple of the store's recent response time, up to this bound. 0: the
  /// length is always `term`.
  duration max_term{0};
  /// Whether at most one process runs under `holder` at any time (one process
  /// per VM). If so, a lease held by an earlier incarnation of that id can be
  /// acquired at once.
  bool is_id_exclusive = false;
  /// Additional time that this process waits before it acquires a free or
  /// expired lease, so that processes of larger capacity can acquire it first.
  duration acquire_delay{0};
  /// The holder stops acting this long before its lease expires.
  duration margin{500'000};
  /// Relative amount of work that this process can handle as holder, in any
  /// unit that all contenders share. A contender with at least twice the
  /// holder's capacity requests a hand-over, which the holder grants. 0: this
  /// process takes no part in hand-overs, neither as requester nor as holder.
  double capacity = 0;
};

/// Exclusive ownership of a resource, recorded in a row of the table service.
/// Clock readings of different processes are never compared: another process
/// takes over only after it has seen the row unchanged for a full term on its
/// own monotonic clock. Assumes that the rates of monotonic clocks differ by
/// less than margin / term.
///
/// A state machine without I/O: the caller reads the row when IsReadDue() and
/// commits the returned writes. Not safe for concurrent use.
class lease {
 public:
  lease(lease_options options, counter_table& counters);

  /// Whether the row should be read now. The result of the read goes to
  /// OnRow().
  bool IsReadDue(instant now) const;

  /// Processes `row`, the result of a read that was sent at `sent`. Returns the
  /// write to commit if the lease is to be acquired or renewed, or a hand-over
  /// requested.
  std::optional<table_write> OnRow(instant sent,
                                   instant now,
                                   const table_row& row);

  /// Processes the answer to the write that OnRow() returned at `sent`. If the
  /// outcome is unknown, the next OnRow() resolves it.
  void OnCommit(instant sent, instant now, const commit_answer& answer);

  /// Whether this process may act as holder at `now`: it holds the lease, and
  /// more than the margin remains of it.
  bool MayAct(instant now) const;

  /// Whether the row still names this process as holder, as far as it knows,
  /// although its term may have passed. Once false, another process may have
  /// held the lease meanwhile.
  bool IsHeld() const { return is_held_; }

  /// Whether the term has passed and a transaction with Guard() can renew the
  /// lease without a read of the row before it.
  bool CanRenewUnread(instant now) const;

  /// Epoch of the lease, which grows with each change of holder. Valid while
  /// MayAct().
  std::uint64_t Epoch() const { return epoch_; }

  /// Returns a conditional write of the lease row, or empty if this process
  /// does not hold the lease. A transaction that includes it fails once another
  /// process has acquired the lease. Since it rewrites the row, guarded
  /// transactions and renewals must not overlap: pass each answer to
  /// OnGuarded() before the next one is sent.
  std::optional<table_write> Guard(instant now);

  /// Processes the answer to a transaction with Guard() that was sent at
  /// `sent`. A transaction that took effect renews the lease.
  void OnGuarded(instant sent, instant now, const commit_answer& answer);

  /// Id of the holder in the last row seen; empty if there was none.
  const std::string& LastHolder() const { return seen_holder_; }

  /// Releases the lease for good: after the returned write, another process can
  /// acquire it at once, and this one no longer tries to. Empty if this process
  /// does not hold the lease.
  std::optional<table_write> Release(instant now);

  /// Whether this process holds the lease and another of larger capacity has
  /// requested a hand-over.
  bool ShouldYield() const;

  /// Like Release(), but this process can acquire the lease again after its
  /// acquire_delay.
  std::optional<table_write> Yield(instant now);

 private:
  // Decoded content of the lease row.
  struct row_state {
    std::string holder;
    std::string incarnation;
    std::uint64_t epoch = 0;
    std::uint64_t write_number = 0;  // Grows with each acquisition or renewal.
    duration term{0};
    bool is_released = false;
    bool is_malformed = false;
    double capacity = 0;                 // Of the holder.
    bool is_handover_requested = false;  // By a process of larger capacity.
  };

  // A write of this process whose outcome is not known yet.
  struct sent_write {
    instant sent;
    std::uint64_t epoch = 0;
    std::uint64_t write_number = 0;
    duration term{0};
    std::string value;
  };

  static row_state Decode(const std::string& value);
  std::string Encode(const row_state& state, const std::string& base) const;
  bool IsOwn(const row_state& state) const;
  bool IsStale(const table_row& row, const row_state& state, instant now) const;
  bool CanAcquire(instant sent, const table_row& row) const;
  duration AcquireWait(const table_row& row) const;
  bool IsFromEarlierIncarnation(const row_state& state) const;
  duration CurrentTerm() const;
  duration NextContenderReadDelay(instant now);
  bool ShouldRequestHandover(instant now) const;
  table_write RequestHandover(instant now,
                              const table_row& row,
                              row_state state);
  void RecordAnswerTime(instant sent, instant now);
  void CapValidity(instant sent, duration term);
  void CheckClock(instant now);
  void Observe(instant now, const table_row& row, const row_state& state);
  void Reconcile(instant now, const table_row& row, const row_state& state);
  void ApplyOwnWrite(const sent_write& write, std::uint64_t version);
  void MarkLost();
  table_write PrepareWrite(instant sent,
                           std::uint64_t epoch,
                           std::uint64_t expected_version,
                           const std::string& base);
  void OnConflict(instant now, const commit_answer& answer);

  lease_options options_;
  counter_table& counters_;
  std::uint64_t epoch_ = 0;
  std::uint64_t row_version_ = 0;
  std::string row_value_;
  instant valid_until_;
  instant next_read_;
  instant last_now_;
  bool is_held_ = false;
  bool is_closed_ = false;  // Release() was called.
  // Whether the next row that is read replaces `row_version_` and `row_value_`:
  // a write has conflicted, or a guarded one has an unknown outcome.
  bool should_adopt_next_row_ = false;
  std::string guard_value_;  // Row value written by the last Guard().
  duration guard_term_{0};   // Term written by the last Guard().
  duration answer_time_{0};  // Response time of the store, decaying maximum.
  std::uint64_t contender_reads_ = 0;
  std::vector<sent_write> unresolved_writes_;
  std::string seen_holder_;
  std::uint64_t seen_version_ = 0;
  row_state seen_;
  // When the row was first seen in its present state.
  instant unchanged_since_;
  bool was_row_absent_ = false;  // Whether the row is absent in that state.
  std::optional<instant> handover_requested_at_;  // Last request sent.
  instant next_handover_request_at_;  // Earliest time of the next request.
};

/// Whether a lease with `options` has at most one holder at a time if the rates
/// of the monotonic clocks differ by `rate_difference` (0.01 means 1 %).
bool IsClockRateSafe(const lease_options& options, double rate_difference);

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_LEASE_H_

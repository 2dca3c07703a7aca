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

/// Settings of one lease.
struct lease_options {
  std::string key;           ///< Row of the lease, "lease/NAME".
  process_id holder;         ///< This process.
  std::string incarnation;   ///< Unique to this start of the process.
  duration term{3'000'000};  ///< Length of the lease, at least.
  /// Length while the store is slow: a multiple of its last answer's time, up
  /// to this. 0: always `term`.
  duration max_term{0};
  /// The id names one VM with one process at a time, so that a lease of an
  /// earlier start under it is free at once.
  bool is_id_exclusive = false;
  /// Others that are fitter may take a free lease first: this process waits so
  /// much longer.
  duration acquire_delay{0};
  duration margin{500'000};  ///< Before its end the holder stops acting.
  /// How much work the holder can carry, in any unit. Another with twice as
  /// much asks for the lease, and is given it. 0: never asks, is never asked.
  double capacity = 0;
};

/// Ownership of something under a row of the table service. Clocks are never
/// compared: another process takes over only after it saw the row unchanged
/// for a whole term on its own monotonic clock. Assumes that monotonic clocks
/// differ in rate by less than margin / term.
///
/// A decision object: the caller reads and commits what it asks for. Not safe
/// for concurrent use.
class lease {
 public:
  lease(lease_options options, counter_table& counters);

  /// Whether the row should be read now. After it, call OnRow().
  bool IsReadDue(instant now) const;

  /// Takes in the row as read by a read that was sent at `sent`, and returns
  /// the write that takes or renews the lease, if one is due.
  std::optional<table_write> OnRow(instant sent,
                                   instant now,
                                   const table_row& row);

  /// Takes in the answer to the write that OnRow() returned at `sent`. An
  /// unknown answer is settled by the next OnRow().
  void OnCommit(instant sent, instant now, const commit_answer& answer);

  /// Whether this process may act as owner at `now`, margin included.
  bool MayAct(instant now) const;

  /// Grows with each change of holder. Valid while MayAct().
  std::uint64_t Epoch() const { return epoch_; }

  /// Version of the lease row under which this process acts. A transaction
  /// that includes Guard() fails once another process has taken over. It
  /// rewrites the row, so that guarded transactions and renewals go one at a
  /// time, and each answer is taken in by OnGuarded() before the next.
  std::optional<table_write> Guard(instant now);

  /// Takes in the answer to a transaction with Guard() that left at `sent`.
  /// One that took effect renews the lease.
  void OnGuarded(instant sent, instant now, const commit_answer& answer);

  /// Holder according to the last row seen, empty if none.
  const std::string& LastHolder() const { return seen_holder_; }

  /// Gives the lease up: the returned write lets another take it at once.
  std::optional<table_write> Release(instant now);

  /// Whether a stronger process has asked the holder, this one, for the lease.
  bool ShouldYield() const;

  /// As Release(), but this process may take the lease again, after its
  /// acquire_delay.
  std::optional<table_write> Yield(instant now);

 private:
  // The row's content.
  struct row_state {
    std::string holder;
    std::string incarnation;
    std::uint64_t epoch = 0;
    std::uint64_t write_number = 0;  // Grows with each take or renewal.
    duration term{0};
    bool is_released = false;
    bool is_malformed = false;
    double capacity = 0;                 // Of the holder.
    bool is_handover_requested = false;  // By a stronger process.
  };

  // A write of this process whose effect is not known yet.
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
  bool is_closed_ = false;
  bool is_guard_result_unknown_ = false;
  std::string guard_value_;  // Of the last Guard().
  duration guard_term_{0};
  duration answer_time_{0};  // Of the store, falling slowly.
  std::uint64_t contender_reads_ = 0;
  std::vector<sent_write> unresolved_writes_;
  std::string seen_holder_;
  std::uint64_t seen_version_ = 0;
  row_state seen_;
  instant unchanged_since_;
  bool was_row_absent_ = false;  // At the last read, which says since when.
  std::optional<instant>
      handover_requested_at_;  // When this process last asked for the lease.
  instant next_handover_request_at_;  // Not again before.
};

/// Whether monotonic clocks whose rates differ by `rate_difference` (0.01 is
/// one part in a hundred) keep a lease of `options` from having two holders.
bool IsClockRateSafe(const lease_options& options, double rate_difference);

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_LEASE_H_

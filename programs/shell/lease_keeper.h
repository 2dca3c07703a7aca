#ifndef SASSAFRAS_PROGRAMS_SHELL_LEASE_KEEPER_H_
#define SASSAFRAS_PROGRAMS_SHELL_LEASE_KEEPER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "sassafras/cluster/lease.h"
#include "sassafras/net/table_port.h"

namespace sassafras {

/// Keeps one lease through the table port: reads, acquires and renews it, and
/// sends transactions that take effect only while it is held. At most one
/// operation on the lease row is in flight. Safe to use from several threads;
/// hooks are called without a lock held.
class lease_keeper : public std::enable_shared_from_this<lease_keeper> {
 public:
  struct hooks {
    /// Returns the monotonic time.
    std::function<instant()> now;
    /// Called after this process has become the holder.
    std::function<void(std::uint64_t epoch)> on_gained;
    /// Called when this process may no longer act as holder. From then on
    /// another process may act on whatever this one has started.
    std::function<void()> on_lost;
  };

  static std::shared_ptr<lease_keeper> Make(lease_options options,
                                            table_port table,
                                            counter_table& counters,
                                            hooks hooks);

  /// Starts due operations and reports a change of holder. Call about every
  /// kTickInterval.
  void Tick();
  static constexpr duration kTickInterval = std::chrono::milliseconds(100);

  /// Whether this process may act as holder now. Check it before each call that
  /// has an effect outside this process.
  bool MayAct() const;

  /// Whether no other process can have held the lease since this one gained it,
  /// as far as known. May be true while MayAct() is false: a renewal is late.
  bool IsHeld() const;

  /// Returns the epoch of the lease, which grows with each change of holder.
  /// Valid while MayAct() is true.
  std::uint64_t Epoch() const;

  /// Returns the id of the holder according to the last read of the lease row;
  /// empty if none.
  std::string LastHolder() const;

  /// Queues `transaction` and commits it together with the guard of the lease,
  /// in the order of the calls. Answers kNotDone with kLeaseLost if this
  /// process may not act as holder when the transaction reaches the head of the
  /// queue.
  void Commit(table_transaction transaction,
              std::function<void(commit_answer)> done);

  /// Releases the lease after the operation in flight and all queued
  /// transactions, then calls `done`.
  void Stop(std::function<void()> done);

 private:
  struct guarded_commit {
    table_transaction transaction;
    std::function<void(commit_answer)> done;
  };

  enum class read_permission : std::uint8_t { kAllowed, kDeferred };

  lease_keeper(lease_options options,
               table_port table,
               counter_table& counters,
               hooks hooks);
  void StartNextOperation(read_permission permission);
  void SendRead(instant sent);
  void SendWrite(instant sent, table_write write);
  void SendGuardedCommit(instant sent, guarded_commit commit);
  void SendRelease();
  void SendYield(instant sent);
  bool NeedsRetry(const commit_answer& answer, instant now) const;
  void ReportHolderChange();

  const std::string key_;
  const table_port table_;
  const hooks hooks_;
  counter_table& counters_;
  mutable std::mutex mutex_;
  lease lease_;
  std::deque<guarded_commit> pending_commits_;
  std::function<void()> on_stopped_;
  bool is_operation_in_flight_ = false;
  bool is_stopping_ = false;
  bool was_reported_held_ = false;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SHELL_LEASE_KEEPER_H_

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

/// Holds one lease through the table port: reads, takes and renews it, and
/// sends transactions that take effect only while it is held. One operation
/// on the lease row is under way at a time. Safe to use from several threads;
/// hooks are called without a lock held.
class lease_keeper : public std::enable_shared_from_this<lease_keeper> {
 public:
  struct hooks {
    /// Returns the monotonic time.
    std::function<instant()> now;
    /// Called when this process became the holder.
    std::function<void(std::uint64_t epoch)> on_gained;
    /// Called when it no longer may act. What it began must be treated as
    /// if another process acted too.
    std::function<void()> on_lost;
  };

  static std::shared_ptr<lease_keeper> Make(lease_options options,
                                            table_port table,
                                            counter_table& counters,
                                            hooks hooks);

  /// To be called every kTickInterval or so.
  void Tick();
  static constexpr duration kTickInterval = std::chrono::milliseconds(100);

  /// Whether this process may act as owner now. To be asked before each act
  /// towards the outside.
  bool MayAct() const;

  /// Valid while MayAct().
  std::uint64_t Epoch() const;

  /// Process that held the lease when it was last read, empty if none.
  std::string LastHolder() const;

  /// Commits `transaction` together with the guard of the lease, after those
  /// that were given before it. Answers kNotDone with kLeaseLost if this
  /// process may not act when its turn comes.
  void Commit(table_transaction transaction,
              std::function<void(commit_answer)> done);

  /// Gives the lease up once what is under way is answered.
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
  bool is_busy_ = false;
  bool is_stopping_ = false;
  bool was_reported_held_ = false;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SHELL_LEASE_KEEPER_H_

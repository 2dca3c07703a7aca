#ifndef SASSAFRAS_PROGRAMS_ENTRY_STALL_WATCH_H_
#define SASSAFRAS_PROGRAMS_ENTRY_STALL_WATCH_H_

#include <functional>
#include <memory>
#include <mutex>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Detects that this process stood still: it was stopped, or its machine was
/// suspended. What it reads from its sockets afterwards may have been sent any
/// time before. Safe to use from several threads.
class stall_watch : public std::enable_shared_from_this<stall_watch> {
 public:
  struct hooks {
    std::function<instant()> now;  ///< Time that goes on during a suspension.
    std::function<void(duration delay, std::function<void()> action)> after;
  };

  /// Stalls of up to `max_stall` are ignored.
  static std::shared_ptr<stall_watch> Make(duration max_stall,
                                           counter_table& counters,
                                           hooks hooks);

  /// Starts to watch the time. Call once.
  void Start();

  /// Returns whether a call that is read now may have been sent longer than
  /// `max_stall` ago: from the end of a stall until all that was waiting in the
  /// sockets has been read.
  bool MayReadOldCalls();

 private:
  stall_watch(duration max_stall, counter_table& counters, hooks hooks);
  void Tick();
  void NoteProgress(instant now);  // Called with the lock held.

  const duration max_stall_;
  counter_table& counters_;
  const hooks hooks_;
  std::mutex mutex_;
  instant last_progress_;
  instant suspicious_until_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_STALL_WATCH_H_

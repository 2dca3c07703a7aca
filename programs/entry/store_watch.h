#ifndef SASSAFRAS_PROGRAMS_ENTRY_STORE_WATCH_H_
#define SASSAFRAS_PROGRAMS_ENTRY_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <mutex>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/table_port.h"

namespace sassafras {

/// Detects outages of the store from the outcomes of all calls to it. Safe to
/// use from several threads.
class store_watch {
 public:
  store_watch(std::function<instant()> now, counter_table& counters);

  /// Returns `port` with hooks that also record every outcome here. This object
  /// must outlive the returned port.
  table_port Wrap(table_port port);

  /// Whether the last two or more calls have all failed.
  bool IsUnavailable() const;

  /// Returns the time since the first failed call of the present outage, or 0
  /// if the store is available.
  duration OutageDuration() const;

 private:
  void RecordOutcome(bool is_answered);

  const std::function<instant()> now_;
  counter_table& counters_;
  mutable std::mutex mutex_;
  int consecutive_failures_ = 0;
  instant first_failure_at_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_STORE_WATCH_H_

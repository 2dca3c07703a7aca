#ifndef SASSAFRAS_PROGRAMS_ENTRY_STORE_WATCH_H_
#define SASSAFRAS_PROGRAMS_ENTRY_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <mutex>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/table_port.h"

namespace sassafras {

/// Knows whether the store answers, from the outcomes of all calls to it.
/// Safe to use from several threads.
class store_watch {
 public:
  store_watch(std::function<instant()> now, counter_table& counters);

  /// `port` with every outcome noted here. The watch must outlive it.
  table_port Wrap(table_port port);

  /// Whether calls fail and none has been answered since.
  bool IsUnavailable() const;

  /// How long it has been away, 0 if it is not.
  duration OutageDuration() const;

 private:
  void RecordOutcome(bool is_answered);

  const std::function<instant()> now_;
  counter_table& counters_;
  mutable std::mutex mutex_;
  int consecutive_failures_ = 0;  // In a row.
  instant first_failure_at_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_STORE_WATCH_H_

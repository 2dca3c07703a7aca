#ifndef SASSAFRAS_PROGRAMS_ENTRY_FORECAST_WATCH_H_
#define SASSAFRAS_PROGRAMS_ENTRY_FORECAST_WATCH_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"
#include "sassafras/net/table_port.h"
#include "sassafras/sched/forecast_codec.h"

namespace sassafras {

/// Follows the forecasts that the owner of the jobs writes to the store. A
/// forecast is used for kValidity after the poll that returned it was sent, so
/// that refusals end by themselves if its owner is gone or this process stood
/// still. Safe to use
/// from several threads.
class forecast_watch : public std::enable_shared_from_this<forecast_watch> {
 public:
  static constexpr duration kValidity = std::chrono::seconds(2);

  struct hooks {
    /// Returns the time of a monotonic clock that counts suspended time.
    std::function<instant()> now;
    /// Calls `action` once after `delay`.
    std::function<void(duration delay, std::function<void()> action)> after;
  };

  static std::shared_ptr<forecast_watch> Make(const table_port& table,
                                              counter_table& counters,
                                              hooks hooks);

  /// Starts to follow the table. Call once.
  void Start();

  /// Expected wait of a new job; 0 without a valid forecast.
  duration ExpectedWait(const std::string& queue,
                        const std::string& team) const;

  /// The last forecast; empty before the first.
  sched::queue_forecasts Queues() const;
  /// Its age at most; duration::max() before the first.
  duration Age() const;

 private:
  forecast_watch(const table_port& table, counter_table& counters, hooks hooks);
  void ReadTable();
  void FollowTable(std::uint64_t after);
  void Retry();
  void ApplyRow(instant sent, const table_row& row);

  const table_port& table_;
  counter_table& counters_;
  const hooks hooks_;
  mutable std::mutex mutex_;
  sched::queue_forecasts queues_;
  // When the poll was sent that returned `queues_`; default value: none.
  instant valid_since_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_FORECAST_WATCH_H_

#ifndef SASSAFRAS_PROGRAMS_ENTRY_CONFIG_WATCH_H_
#define SASSAFRAS_PROGRAMS_ENTRY_CONFIG_WATCH_H_

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "programs/entry/platform_adapter.h"
#include "sassafras/core/counter_table.h"

namespace sassafras {

/// Watches the operator's table in the store, first by a scan and then by long
/// polls of its change feed, and keeps the newest configuration and the
/// evacuated data centres. A version in force is never replaced by an older
/// one. Safe to use from several threads.
class config_watch : public std::enable_shared_from_this<config_watch> {
 public:
  struct hooks {
    /// Returns the monotonic time.
    std::function<instant()> now;
    /// Calls `action` once after `delay`.
    std::function<void(duration delay, std::function<void()> action)> after;
    /// Called after a newer version has come into force.
    std::function<void(sched::service_config_ptr)> on_config;
    /// Called with each other row of the operator's table. May be called
    /// repeatedly with the same row.
    std::function<void(const table_row&)> on_row;
  };

  static std::shared_ptr<config_watch> Make(const platform_adapter& adapter,
                                            counter_table& counters,
                                            hooks hooks);

  /// Starts the first scan and, after it, the long polls. Call once.
  void Start();

  /// Returns the configuration in force, or null before the first.
  sched::service_config_ptr Current() const;

  /// Returns the time since the store last confirmed the configuration in
  /// force, counted from the sending of the call that it answered. It is thus
  /// never less than the true age. duration::max() before the first
  /// configuration.
  duration Age() const;

  /// Returns the evacuated data centres.
  sched::evacuations Evacuations() const;

 private:
  config_watch(const platform_adapter& adapter,
               counter_table& counters,
               hooks hooks);
  void ReadTable();
  void FollowTable();
  void Retry(void (config_watch::*step)());
  void ApplyRow(const table_row& row);
  void AdoptConfig(const table_row& row);
  void RecordConfirmation(instant sent, std::uint64_t store_version);
  std::vector<sched::evacuation_row> EvacuationRows(
      const std::vector<table_row>& rows) const;

  const platform_adapter& adapter_;
  counter_table& counters_;
  const hooks hooks_;
  mutable std::mutex mutex_;
  sched::service_config_ptr current_;
  instant confirmed_at_;
  std::uint64_t store_version_ = 0;
  sched::evacuations evacuations_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_CONFIG_WATCH_H_

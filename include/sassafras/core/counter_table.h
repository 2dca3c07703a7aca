#ifndef SASSAFRAS_CORE_COUNTER_TABLE_H_
#define SASSAFRAS_CORE_COUNTER_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "sassafras/core/error.h"

namespace sassafras {

/// Named counters of one process. Safe to use from several threads; its lock
/// is the innermost of the lock order.
class counter_table {
 public:
  /// Starts with every counter of the error table at 0.
  counter_table();

  /// Adds `amount` to the counter `name`, which is created at 0 if absent.
  void Add(std::string_view name, std::uint64_t amount = 1);

  /// Adds 1 to the counter of `kind`.
  void AddError(error_kind kind);

  /// Returns the value of `name`, 0 if absent.
  std::uint64_t Get(std::string_view name) const;

  /// Returns a copy of all counters.
  std::map<std::string, std::uint64_t, std::less<>> Snapshot() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t, std::less<>> values_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_COUNTER_TABLE_H_

#ifndef SASSAFRAS_CORE_COUNTER_TABLE_H_
#define SASSAFRAS_CORE_COUNTER_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "sassafras/core/error.h"

namespace sassafras {

/// Named counters of one process. Thread-safe. The mutex is a leaf lock: no
/// other lock is acquired while it is held.
class counter_table {
 public:
  /// Creates the counters of all error kinds with value 0.
  counter_table();

  /// Adds `amount` to the counter `name`, which is created at 0 if absent.
  void Add(std::string_view name, std::uint64_t amount = 1);

  /// Adds 1 to the counter of `kind`.
  void AddError(error_kind kind);

  /// Returns the value of the counter `name`, 0 if absent.
  std::uint64_t Get(std::string_view name) const;

  /// Returns a copy of all counters by name.
  std::map<std::string, std::uint64_t, std::less<>> Snapshot() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t, std::less<>> values_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_COUNTER_TABLE_H_

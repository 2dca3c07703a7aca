#include "sassafras/core/counter_table.h"

namespace sassafras {

counter_table::counter_table() {
  for (int i = 0; i < kErrorKindCount; ++i) {
    values_.emplace(GetErrorInfo(static_cast<error_kind>(i)).counter, 0);
  }
}

void counter_table::Add(std::string_view name, std::uint64_t amount) {
  const std::lock_guard lock(mutex_);
  const auto it = values_.find(name);
  if (it != values_.end()) {
    it->second += amount;
    return;
  }
  values_.emplace(name, amount);
}

void counter_table::AddError(error_kind kind) {
  Add(GetErrorInfo(kind).counter);
}

std::uint64_t counter_table::Get(std::string_view name) const {
  const std::lock_guard lock(mutex_);
  const auto it = values_.find(name);
  return it == values_.end() ? 0 : it->second;
}

std::map<std::string, std::uint64_t, std::less<>> counter_table::Snapshot()
    const {
  const std::lock_guard lock(mutex_);
  return values_;
}

}  // namespace sassafras

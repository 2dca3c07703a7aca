#include "sassafras/net/memory_budget.h"

#include <unistd.h>

#include <utility>

#include "sassafras/core/invariant.h"

namespace sassafras {

memory_budget::holder::~holder() {
  budget_->Remove(this);
}

bool memory_budget::holder::Resize(std::uint64_t bytes) {
  return budget_->Resize(this, bytes, false);
}

void memory_budget::holder::ForceResize(std::uint64_t bytes) {
  budget_->Resize(this, bytes, true);
}

void memory_budget::holder::SetIncomplete(bool is_incomplete) {
  budget_->SetIncomplete(this, is_incomplete);
}

std::shared_ptr<memory_budget> memory_budget::Make(std::uint64_t limit) {
  return std::shared_ptr<memory_budget>(new memory_budget(limit));
}

std::unique_ptr<memory_budget::holder> memory_budget::Open(close_hook close) {
  std::unique_ptr<holder> opened(new holder(shared_from_this()));
  const std::lock_guard lock(mutex_);
  entries_[opened.get()].close = std::move(close);
  return opened;
}

std::uint64_t memory_budget::Used() const {
  const std::lock_guard lock(mutex_);
  return used_;
}

// At the limit, the incomplete message that holds the most gives way to a small
// one. Its bytes are returned when its connection has closed; until then the
// small one exceeds the budget by no more than kSmallBytes.
bool memory_budget::Resize(const holder* of,
                           std::uint64_t bytes,
                           bool is_forced) {
  close_hook close;
  {
    const std::lock_guard lock(mutex_);
    entry& own = entries_.at(of);
    const std::uint64_t others = used_ - own.bytes;
    const bool is_growing = bytes > own.bytes;
    const bool is_small = bytes <= kSmallBytes;
    const auto allowed = static_cast<std::uint64_t>(
        static_cast<double>(limit_) * (is_small ? 1 : kLargeShare));
    if (limit_ > 0 && is_growing && !is_forced && others + bytes > allowed) {
      entry* largest = is_small ? FindLargestIncomplete(of) : nullptr;
      if (largest == nullptr || largest->bytes <= bytes) {
        return false;
      }
      largest->is_closing = true;
      close = largest->close;
    }
    own.bytes = bytes;
    used_ = others + bytes;
  }
  if (close) {
    close();
  }
  return true;
}

memory_budget::entry* memory_budget::FindLargestIncomplete(
    const holder* except) {
  entry* largest = nullptr;
  for (auto& [key, candidate] : entries_) {
    if (key != except && candidate.is_incomplete && !candidate.is_closing &&
        (largest == nullptr || candidate.bytes > largest->bytes)) {
      largest = &candidate;
    }
  }
  return largest;
}

void memory_budget::SetIncomplete(const holder* of, bool is_incomplete) {
  const std::lock_guard lock(mutex_);
  entry& own = entries_.at(of);
  own.is_incomplete = is_incomplete;
  // It may have been told to close while its message was completed.
  own.is_closing = own.is_closing && !is_incomplete;
}

void memory_budget::Remove(const holder* of) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(of);
  used_ -= it->second.bytes;
  entries_.erase(it);
  CheckInvariant(!entries_.empty() || used_ == 0,
                 "memory_budget_is_empty_without_connections");
}

std::uint64_t SystemMemoryBytes() {
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long page = ::sysconf(_SC_PAGESIZE);
  return pages > 0 && page > 0 ? static_cast<std::uint64_t>(pages) *
                                     static_cast<std::uint64_t>(page)
                               : 0;
}

}  // namespace sassafras

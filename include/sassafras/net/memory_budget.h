#ifndef SASSAFRAS_NET_MEMORY_BUDGET_H_
#define SASSAFRAS_NET_MEMORY_BUDGET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace sassafras {

/// Answers the load of clients that the operator does not control: limits for
/// one message do not bound thousands of them. Accounts for the bytes that all
/// connections of a process hold for messages. Thread-safe.
class memory_budget : public std::enable_shared_from_this<memory_budget> {
 public:
  /// Messages up to this size may use the whole budget, larger ones only
  /// kLargeShare of it, so that ordinary requests are served beside them.
  static constexpr std::uint64_t kSmallBytes = 32 << 10;
  static constexpr double kLargeShare = 0.75;

  /// Called to close the connection of a holder, from any thread. Must not
  /// call the budget.
  using close_hook = std::function<void()>;

  /// The bytes that one connection holds. Returns them when destroyed.
  class holder {
   public:
    ~holder();
    holder(const holder&) = delete;
    holder& operator=(const holder&) = delete;

    /// Sets the number of bytes held. Returns false, without effect, if the
    /// budget does not allow more.
    bool Resize(std::uint64_t bytes);

    /// Like Resize(), for bytes that are held in any case.
    void ForceResize(std::uint64_t bytes);

    /// Whether the message is incomplete, so that its connection may be closed
    /// in favour of smaller messages.
    void SetIncomplete(bool is_incomplete);

   private:
    friend class memory_budget;
    explicit holder(std::shared_ptr<memory_budget> budget)
        : budget_(std::move(budget)) {}

    std::shared_ptr<memory_budget> budget_;
  };

  /// A budget of `limit` bytes; 0: no limit.
  static std::shared_ptr<memory_budget> Make(std::uint64_t limit);

  std::unique_ptr<holder> Open(close_hook close);

  std::uint64_t Used() const;
  std::uint64_t Limit() const { return limit_; }

 private:
  struct entry {
    std::uint64_t bytes = 0;
    bool is_incomplete = false;
    bool is_closing = false;  // Its connection was told to close.
    close_hook close;
  };

  explicit memory_budget(std::uint64_t limit) : limit_(limit) {}
  bool Resize(const holder* of, std::uint64_t bytes, bool is_forced);
  void SetIncomplete(const holder* of, bool is_incomplete);
  void Remove(const holder* of);
  entry* FindLargestIncomplete(const holder* except);

  const std::uint64_t limit_;
  mutable std::mutex mutex_;
  std::uint64_t used_ = 0;
  std::map<const holder*, entry> entries_;
};

/// Memory of this machine in bytes, as the system states it; 0 if unknown.
std::uint64_t SystemMemoryBytes();

}  // namespace sassafras

#endif  // SASSAFRAS_NET_MEMORY_BUDGET_H_

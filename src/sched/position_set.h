#ifndef SASSAFRAS_SRC_SCHED_POSITION_SET_H_
#define SASSAFRAS_SRC_SCHED_POSITION_SET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sassafras::sched {

/// Consecutive positions from `first` to `last`, both included.
struct position_range {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  bool operator==(const position_range&) const = default;
};

/// A set of positions that costs memory by the number of gaps in it, not by the
/// number of its elements.
class position_set {
 public:
  position_set() = default;

  /// All positions below `size`.
  static position_set Below(std::size_t size);

  /// The positions at which `elements` is true.
  static position_set Of(const std::vector<bool>& elements);

  bool IsEmpty() const { return ranges_.empty(); }
  std::size_t Size() const { return size_; }
  bool Contains(std::size_t position) const;

  /// Number of elements from `first` up to, but not including, `end`.
  std::size_t CountBetween(std::size_t first, std::size_t end) const;

  /// The lowest element that is not below `position`; nullopt if there is none.
  std::optional<std::size_t> NextFrom(std::size_t position) const;

  /// Adds or removes a position; no effect if it is, or is not, an element.
  void Insert(std::size_t position);
  void Erase(std::size_t position);

  /// Disjoint and ascending, with a gap between any two of them.
  const std::vector<position_range>& Ranges() const { return ranges_; }

 private:
  // Index of the first range that ends at `position` or later.
  std::size_t IndexFrom(std::size_t position) const;

  std::vector<position_range> ranges_;
  std::size_t size_ = 0;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_POSITION_SET_H_

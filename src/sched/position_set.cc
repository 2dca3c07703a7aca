#include "src/sched/position_set.h"

#include <algorithm>

namespace sassafras::sched {

position_set position_set::Below(std::size_t size) {
  position_set all;
  if (size > 0) {
    all.ranges_.push_back({0, static_cast<std::uint32_t>(size - 1)});
    all.size_ = size;
  }
  return all;
}

position_set position_set::Of(const std::vector<bool>& elements) {
  position_set positions;
  for (std::size_t position = 0; position < elements.size(); ++position) {
    if (elements[position]) {
      positions.Insert(position);
    }
  }
  return positions;
}

std::size_t position_set::IndexFrom(std::size_t position) const {
  const auto it =
      std::lower_bound(ranges_.begin(), ranges_.end(), position,
                       [](const position_range& range, std::size_t wanted) {
                         return range.last < wanted;
                       });
  return static_cast<std::size_t>(it - ranges_.begin());
}

bool position_set::Contains(std::size_t position) const {
  const std::size_t index = IndexFrom(position);
  return index < ranges_.size() && ranges_[index].first <= position;
}

std::size_t position_set::CountBetween(std::size_t first,
                                       std::size_t end) const {
  std::size_t count = 0;
  for (std::size_t index = IndexFrom(first);
       index < ranges_.size() && ranges_[index].first < end; ++index) {
    const std::size_t low = std::max<std::size_t>(ranges_[index].first, first);
    const std::size_t high =
        std::min<std::size_t>(std::size_t{ranges_[index].last} + 1, end);
    count += high - low;
  }
  return count;
}

std::optional<std::size_t> position_set::NextFrom(std::size_t position) const {
  const std::size_t index = IndexFrom(position);
  if (index == ranges_.size()) {
    return std::nullopt;
  }
  return std::max<std::size_t>(ranges_[index].first, position);
}

void position_set::Insert(std::size_t position) {
  if (Contains(position)) {
    return;
  }
  ++size_;
  const auto value = static_cast<std::uint32_t>(position);
  const std::size_t next = IndexFrom(position);
  const bool joins_previous = next > 0 && ranges_[next - 1].last + 1 == value;
  const bool joins_next =
      next < ranges_.size() && ranges_[next].first == value + 1;
  const auto at = ranges_.begin() + static_cast<std::ptrdiff_t>(next);
  if (joins_previous && joins_next) {
    ranges_[next - 1].last = ranges_[next].last;
    ranges_.erase(at);
  } else if (joins_previous) {
    ranges_[next - 1].last = value;
  } else if (joins_next) {
    ranges_[next].first = value;
  } else {
    ranges_.insert(at, {value, value});
  }
}

void position_set::Erase(std::size_t position) {
  if (!Contains(position)) {
    return;
  }
  --size_;
  const auto value = static_cast<std::uint32_t>(position);
  const std::size_t index = IndexFrom(position);
  const auto at = ranges_.begin() + static_cast<std::ptrdiff_t>(index);
  const position_range range = ranges_[index];
  if (range.first == range.last) {
    ranges_.erase(at);
  } else if (range.first == value) {
    ranges_[index].first = value + 1;
  } else if (range.last == value) {
    ranges_[index].last = value - 1;
  } else {
    ranges_[index].last = value - 1;
    ranges_.insert(at + 1, {value + 1, range.last});
  }
}

}  // namespace sassafras::sched

#include "src/sched/unit_layout.h"

#include <algorithm>

namespace sassafras::sched {

unit_layout::unit_layout(const job_spec& spec)
    : occurrences_(static_cast<std::size_t>(std::max(1, spec.occurrences))) {
  first_of_step_.reserve(spec.steps.size() + 1);
  for (const step_spec& step : spec.steps) {
    const int units = step.is_gang ? std::min(1, step.count) : step.count;
    first_of_step_.push_back(first_of_step_.back() +
                             static_cast<std::size_t>(units));
  }
}

std::size_t unit_layout::UnitsOf(int step) const {
  const auto position = static_cast<std::size_t>(step);
  return first_of_step_.at(position + 1) - first_of_step_.at(position);
}

std::size_t unit_layout::FirstOf(int occurrence, int step) const {
  return static_cast<std::size_t>(occurrence) * UnitsPerOccurrence() +
         first_of_step_.at(static_cast<std::size_t>(step));
}

std::optional<std::size_t> unit_layout::Find(const unit_place& place) const {
  const auto is_below = [](int value, std::size_t limit) {
    return value >= 0 && static_cast<std::size_t>(value) < limit;
  };
  if (!is_below(place.occurrence, occurrences_) ||
      !is_below(place.step, first_of_step_.size() - 1) ||
      !is_below(place.index, UnitsOf(place.step))) {
    return std::nullopt;
  }
  return FirstOf(place.occurrence, place.step) +
         static_cast<std::size_t>(place.index);
}

unit_place unit_layout::PlaceOf(std::size_t position) const {
  const std::size_t in_occurrence = position % UnitsPerOccurrence();
  const int step = StepAt(in_occurrence);
  return {static_cast<int>(position / UnitsPerOccurrence()), step,
          static_cast<int>(in_occurrence - FirstOf(0, step))};
}

std::size_t unit_layout::FirstRankOf(int step) const {
  return FirstOf(0, step) * occurrences_;
}

std::size_t unit_layout::RankOf(const unit_place& place) const {
  return FirstRankOf(place.step) +
         static_cast<std::size_t>(place.occurrence) * UnitsOf(place.step) +
         static_cast<std::size_t>(place.index);
}

unit_place unit_layout::PlaceOfRank(std::size_t rank) const {
  const int step = StepAt(rank / occurrences_);
  const std::size_t in_step = rank - FirstRankOf(step);
  return {static_cast<int>(in_step / UnitsOf(step)), step,
          static_cast<int>(in_step % UnitsOf(step))};
}

// Returns the step of the unit at `position` of an occurrence.
int unit_layout::StepAt(std::size_t position) const {
  const auto next =
      std::upper_bound(first_of_step_.begin(), first_of_step_.end(), position);
  return static_cast<int>(next - first_of_step_.begin()) - 1;
}

}  // namespace sassafras::sched

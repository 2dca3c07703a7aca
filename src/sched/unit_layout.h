#ifndef SASSAFRAS_SRC_SCHED_UNIT_LAYOUT_H_
#define SASSAFRAS_SRC_SCHED_UNIT_LAYOUT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// Names a unit within its job.
struct unit_place {
  int occurrence = 0;
  int step = 0;
  int index = 0;  ///< 0 for a gang.
};

/// Numbers the units of a job in two orders. Positions follow the order in
/// which units are placed: by occurrence, then by step, then by index. Ranks
/// are by step, then by occurrence, then by index: units of one step are alike,
/// so that they end about in this order.
class unit_layout {
 public:
  unit_layout() = default;
  explicit unit_layout(const job_spec& spec);

  /// Number of units in all occurrences.
  std::size_t Size() const { return UnitsPerOccurrence() * occurrences_; }
  std::size_t UnitsPerOccurrence() const { return first_of_step_.back(); }

  /// Number of units of `step` in one occurrence.
  std::size_t UnitsOf(int step) const;

  /// Position of the first unit of `step` in `occurrence`; both must exist.
  std::size_t FirstOf(int occurrence, int step) const;

  /// Position of the unit at `place`; nullopt if the job has no such unit.
  std::optional<std::size_t> Find(const unit_place& place) const;

  unit_place PlaceOf(std::size_t position) const;

  /// Rank of the unit at `place`, which must exist.
  std::size_t RankOf(const unit_place& place) const;
  std::size_t FirstRankOf(int step) const;
  unit_place PlaceOfRank(std::size_t rank) const;

  int Steps() const { return static_cast<int>(first_of_step_.size()) - 1; }

 private:
  int StepAt(std::size_t position) const;

  std::size_t occurrences_ = 0;
  /// By step: number of units of the steps before it in one occurrence. The
  /// last element is the number of all.
  std::vector<std::size_t> first_of_step_ = {0};
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_UNIT_LAYOUT_H_

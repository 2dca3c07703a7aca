#ifndef SASSAFRAS_JOB_INVENTORY_H_
#define SASSAFRAS_JOB_INVENTORY_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/world/resources.h"

namespace sassafras {

/// What is held and promised on one worker.
struct worker_state {
  worker_id id;
  int rack = -1;
  int place = -1;
  resources capacity;
  bool is_usable = false;
  resources held;      ///< By jobs that hold it, the stopping ones included.
  resources stopping;  ///< The part of `held` that is being given back.
  resources claimed;   ///< Kept for jobs whose victims are stopping.
  int immovable_accelerators =
      0;               ///< Accelerators held by jobs that cannot be moved.
  resources promised;  ///< Guarantee cells and firm work outside of them.
  std::vector<int> occupants;  ///< Jobs that hold or claim it.

  /// What a job may take at once.
  resources Free() const {
    resources left = capacity;
    left -= held;
    left -= claimed;
    return left;
  }

  /// What a job may take once the stopping jobs are gone.
  resources FreeAfterStops() const {
    resources left = Free();
    left += stopping;
    return left;
  }

  /// What is left for guarantee cells and firm work.
  resources Unpromised() const {
    resources left = capacity;
    left -= promised;
    return left;
  }

  /// Whether no job holds any of its accelerators and it may take work.
  bool IsFullyFree() const {
    return is_usable && Free().accelerators == capacity.accelerators;
  }
};

/// The workers by dense index, grouped by rack and place.
class inventory {
 public:
  /// Replaces all workers; nothing is held or promised. Workers of `unusable`
  /// and leaving ones are not usable.
  void Load(const config_set& objects, const std::set<worker_id>& unusable);

  /// Returns the index of `id`. A worker that is not configured is added as
  /// unusable, without capacity.
  int IndexOf(const worker_id& id);

  /// Returns the index of `id`, or -1.
  int Find(const worker_id& id) const;

  worker_state& operator[](int index) {
    return workers_[static_cast<std::size_t>(index)];
  }
  const worker_state& operator[](int index) const {
    return workers_[static_cast<std::size_t>(index)];
  }

  int size() const { return static_cast<int>(workers_.size()); }

  /// Workers of each rack and of each place.
  const std::vector<std::vector<int>>& Racks() const { return racks_; }
  const std::vector<std::vector<int>>& Places() const { return places_; }

  /// Adds or takes `need` of job `job` to what is held on `worker`.
  void Hold(int worker, int job, const resources& need);
  void Release(int worker, int job, const resources& need);

  /// Sums `fixed` by rack and place, for FixedShare().
  void SumImmovable();

  /// How much of what surrounds `worker` cannot be moved: 0 to 1. For a part
  /// `need` of a worker, counts the worker itself first, then its rack and its
  /// place; for a whole one, its place first, then its rack.
  double ImmovableShare(int worker, const resources& need) const;

  /// Adds or takes `need` of job `job` to what is claimed on `worker`.
  void Claim(int worker, int job, const resources& need);
  void Unclaim(int worker, int job, const resources& need);

 private:
  std::vector<worker_state> workers_;
  std::unordered_map<worker_id, int> index_;
  std::vector<std::vector<int>> racks_;
  std::vector<std::vector<int>> places_;
  std::vector<double> rack_immovable_;  // Share of accelerators, 0 to 1.
  std::vector<double> place_immovable_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_INVENTORY_H_

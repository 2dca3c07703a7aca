#ifndef SASSAFRAS_JOB_INVENTORY_H_
#define SASSAFRAS_JOB_INVENTORY_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/world/resources.h"

namespace sassafras {

/// Resources held, claimed and promised on one worker.
struct worker_state {
  worker_id id;
  int rack = -1;
  int place = -1;
  resources capacity;
  bool is_usable = false;
  resources held;      ///< By placed jobs, including stopping ones.
  resources stopping;  ///< Part of `held` that stopping jobs will free.
  resources claimed;   ///< Kept for jobs that wait for victims to stop.
  /// Accelerators held by jobs that cannot be moved.
  int immovable_accelerators = 0;
  resources promised;  ///< To guarantee cells, and firm jobs outside of them.
  std::vector<int> occupants;  ///< Jobs that hold or claim resources.

  /// Returns the resources that a job can use at once.
  resources Free() const {
    resources left = capacity;
    left -= held;
    left -= claimed;
    return left;
  }

  /// Returns the resources that are free once all stopping jobs have ended.
  resources FreeAfterStops() const {
    resources left = Free();
    left += stopping;
    return left;
  }

  /// Returns the resources available to guarantee cells and firm jobs.
  resources Unpromised() const {
    resources left = capacity;
    left -= promised;
    return left;
  }

  /// Whether the worker is usable and all its accelerators are free.
  bool IsFullyFree() const {
    return is_usable && Free().accelerators == capacity.accelerators;
  }
};

/// Workers by dense index, grouped by rack and place.
class inventory {
 public:
  /// Replaces all workers; nothing is held or promised afterwards. Workers in
  /// `unusable` and leaving ones are not usable.
  void Load(const config_set& objects, const std::set<worker_id>& unusable);

  /// Returns the index of `id`. Adds a worker that is not configured as
  /// unusable, with no capacity.
  int IndexOf(const worker_id& id);

  /// Returns the index of `id`, or -1 if it is unknown.
  int Find(const worker_id& id) const;

  worker_state& operator[](int index) {
    return workers_[static_cast<std::size_t>(index)];
  }
  const worker_state& operator[](int index) const {
    return workers_[static_cast<std::size_t>(index)];
  }

  int size() const { return static_cast<int>(workers_.size()); }

  /// Return the workers of each rack and of each place.
  const std::vector<std::vector<int>>& Racks() const { return racks_; }
  const std::vector<std::vector<int>>& Places() const { return places_; }

  /// Adds `need` of `job` to the held resources of `worker`, or subtracts it.
  void Hold(int worker, int job, const resources& need);
  void Release(int worker, int job, const resources& need);

  /// Updates the sums by rack and place that ImmovableShare() uses.
  void SumImmovable();

  /// Returns the weighted share, 0 to 1, of accelerators around `worker` that
  /// are held by jobs that cannot be moved. If `need` is a part of a worker,
  /// the worker itself has the largest weight, then its rack and its place. If
  /// it is a whole worker, its place has the largest weight, then its rack.
  double ImmovableShare(int worker, const resources& need) const;

  /// Adds `need` of `job` to the claimed resources of `worker`, or subtracts
  /// it.
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

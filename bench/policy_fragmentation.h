#ifndef SASSAFRAS_BENCH_POLICY_FRAGMENTATION_H_
#define SASSAFRAS_BENCH_POLICY_FRAGMENTATION_H_

#include <map>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/world/packing.h"

namespace sassafras {

/// Share of free accelerators outside a largest packing of one shape.
struct fragmentation_share {
  double actual = 0;  ///< As they lie.
  double least = 0;   ///< If all free accelerators could form one block.
};

/// What is free on each worker of a measured site.
class free_map {
 public:
  explicit free_map(const config_set& objects);

  void Take(const shape_id& wanted, const std::vector<worker_id>& workers);
  void Give(const shape_id& wanted, const std::vector<worker_id>& workers);

  /// Accelerators in use, of all, 0 to 1.
  double Use() const;

  /// By each shape of two or more accelerators; 0 if none is free.
  std::map<shape_id, fragmentation_share> Fragmentation() const;

 private:
  const config_set& objects_;
  std::map<worker_id, std::size_t> index_;
  std::vector<worker_free_capacity> spaces_;
  int total_ = 0;
  int free_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_POLICY_FRAGMENTATION_H_

#ifndef SASSAFRAS_WORLD_RESOURCES_H_
#define SASSAFRAS_WORLD_RESOURCES_H_

#include <cstdint>

namespace sassafras {

/// Amounts of resources that a worker has or a task needs.
struct resources {
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;  ///< In units of 10^6 bytes.

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& other) {
    accelerators += other.accelerators;
    cores += other.cores;
    memory_mb += other.memory_mb;
    return *this;
  }

  resources& operator-=(const resources& other) {
    accelerators -= other.accelerators;
    cores -= other.cores;
    memory_mb -= other.memory_mb;
    return *this;
  }

  /// Returns whether `need` fits into these amounts in every dimension.
  bool Holds(const resources& need) const {
    return need.accelerators <= accelerators && need.cores <= cores &&
           need.memory_mb <= memory_mb;
  }
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_RESOURCES_H_

#ifndef SASSAFRAS_WORLD_SHAPE_H_
#define SASSAFRAS_WORLD_SHAPE_H_

#include <cstdint>
#include <string_view>

#include "sassafras/core/id.h"
#include "sassafras/world/resources.h"

namespace sassafras {

/// Within what the workers of a shape have to be adjacent.
enum class shape_level : std::uint8_t { kWorker, kRack, kPlace };

/// Names of shape_level in configuration: "worker", "rack", "place".
std::string_view GetName(shape_level level);

/// An adjacent set of accelerators: `workers` distinct workers within one
/// `level`, each giving `per_worker`. A gang of this shape has one task per
/// worker.
struct shape {
  shape_id id;
  shape_level level = shape_level::kWorker;
  int workers = 1;  ///< 1 for shape_level::kWorker.
  resources per_worker;

  int TotalAccelerators() const { return workers * per_worker.accelerators; }
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_SHAPE_H_

#ifndef SASSAFRAS_WORLD_SHAPE_H_
#define SASSAFRAS_WORLD_SHAPE_H_

#include <cstdint>
#include <string_view>

#include "sassafras/core/id.h"
#include "sassafras/world/resources.h"

namespace sassafras {

/// The scope within which all workers of one shape instance must lie.
enum class shape_level : std::uint8_t { kWorker, kRack, kPlace };

/// Returns the name of `level` in configuration: "worker", "rack" or "place".
std::string_view GetName(shape_level level);

/// A set of accelerators that lie close together: `per_worker` on each of
/// `workers` distinct workers within one `level`. A gang of this shape has one
/// task per worker.
struct shape {
  shape_id id;
  shape_level level = shape_level::kWorker;
  int workers = 1;  ///< Always 1 for shape_level::kWorker.
  resources per_worker;

  int TotalAccelerators() const { return workers * per_worker.accelerators; }
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_SHAPE_H_

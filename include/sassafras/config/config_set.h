#ifndef SASSAFRAS_CONFIG_CONFIG_SET_H_
#define SASSAFRAS_CONFIG_CONFIG_SET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sassafras/world/job_class.h"
#include "sassafras/world/shape.h"
#include "sassafras/world/target.h"
#include "sassafras/world/team.h"
#include "sassafras/world/worker.h"

namespace sassafras {

/// All objects of a configuration, by name.
struct config_set {
  std::map<place_id, place> places;
  std::vector<link> links;
  std::map<rack_id, rack> racks;
  std::map<worker_id, worker> workers;
  std::map<shape_id, shape> shapes;
  std::map<team_id, team> teams;
  std::map<class_id, job_class> classes;
  std::map<target_id, target> targets;
};

/// A published configuration that has passed all checks. Immutable and shared
/// between threads.
struct published_config {
  std::uint64_t version = 0;  ///< Increases by 1 with each publication.
  config_set objects;
  std::string content;  ///< The encoded sources it was parsed from.
};

using config_ptr = std::shared_ptr<const published_config>;

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_CONFIG_SET_H_

#ifndef SASSAFRAS_WORLD_TARGET_H_
#define SASSAFRAS_WORLD_TARGET_H_

#include <string>
#include <vector>

#include "sassafras/core/id.h"

namespace sassafras {

/// One back end of a target.
struct minion {
  minion_id id;
  std::string address;  ///< "IP:port" of its HTTP server.
  place_id place;
  int slots = 0;        ///< Requests in work at once, over all gateways.
  int connections = 0;  ///< Open connections at once, over all gateways.
  bool is_leaving = false;
};

/// A service of minions.
struct target {
  target_id id;
  bool is_leaving = false;
  std::vector<minion> minions;
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_TARGET_H_

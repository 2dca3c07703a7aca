#ifndef SASSAFRAS_WORLD_TARGET_H_
#define SASSAFRAS_WORLD_TARGET_H_

#include <string>
#include <vector>

#include "sassafras/core/id.h"

namespace sassafras {

/// One server of a target.
struct minion {
  minion_id id;
  std::string address;  ///< "IP:port" of its HTTP server.
  place_id place;
  int slots = 0;            ///< Maximum concurrent requests over all gateways.
  int connections = 0;      ///< Maximum open connections over all gateways.
  bool is_leaving = false;  ///< Gets no new requests.
};

/// A service whose requests are sent to its minions.
struct target {
  target_id id;
  bool is_leaving = false;  ///< Refuses new requests.
  std::vector<minion> minions;
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_TARGET_H_

#ifndef SASSAFRAS_WORLD_WORKER_H_
#define SASSAFRAS_WORLD_WORKER_H_

#include <string>

#include "sassafras/core/id.h"
#include "sassafras/core/time.h"
#include "sassafras/world/resources.h"

namespace sassafras {

/// A data centre.
struct place {
  place_id id;
  std::string region;
};

/// The network connection from one place to another.
struct link {
  place_id from;
  place_id to;
  duration latency{0};  ///< One-way.
};

/// A rack of workers in one place.
struct rack {
  rack_id id;
  place_id place;
};

/// A machine that runs tasks.
struct worker {
  worker_id id;
  rack_id rack;
  std::string address;  ///< "IP:port" of its task API.
  resources capacity;
  bool is_leaving = false;  ///< Takes no new tasks.
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_WORKER_H_

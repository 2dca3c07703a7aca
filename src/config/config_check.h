#ifndef SASSAFRAS_SRC_CONFIG_CONFIG_CHECK_H_
#define SASSAFRAS_SRC_CONFIG_CONFIG_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/config/config_set.h"

namespace sassafras {

/// Location of the definition of an object.
struct object_origin {
  std::string file;
  int line = 0;
};
/// Locations by object, "kind/name".
using origin_table = std::map<std::string, object_origin>;

/// Checks the rules that a single key cannot show, and adds a fault for each
/// violation: references to undefined names, shapes that no group of workers
/// can form, classes and targets with contradictory limits, and guarantees that
/// cannot be placed together.
void CheckConfigSet(const config_set& objects,
                    const origin_table& origins,
                    std::vector<config_fault>& faults);

}  // namespace sassafras

#endif  // SASSAFRAS_SRC_CONFIG_CONFIG_CHECK_H_

#ifndef SASSAFRAS_SRC_CONFIG_CONFIG_CHECK_H_
#define SASSAFRAS_SRC_CONFIG_CONFIG_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/config/config_set.h"

namespace sassafras {

/// Where an object of a set was written, by "kind/name".
struct object_origin {
  std::string file;
  int line = 0;
};
using origin_table = std::map<std::string, object_origin>;

/// Adds a fault for every rule that spans objects: names that refer to
/// nothing, shapes that no group of workers forms, guarantees that cannot be
/// placed together, and classes whose limits contradict.
void CheckConfigSet(const config_set& objects,
                    const origin_table& origins,
                    std::vector<config_fault>& faults);

}  // namespace sassafras

#endif  // SASSAFRAS_SRC_CONFIG_CONFIG_CHECK_H_

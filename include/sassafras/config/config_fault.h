#ifndef SASSAFRAS_CONFIG_CONFIG_FAULT_H_
#define SASSAFRAS_CONFIG_CONFIG_FAULT_H_

#include <string>

namespace sassafras {

/// One error found in a YAML file.
struct config_fault {
  std::string file;
  int line = 0;          ///< From 1; 0 if the fault has no single line.
  std::string key;       ///< Path of the key, e.g. "teams[2].share".
  std::string problem;   ///< What was found.
  std::string expected;  ///< What would be accepted.
};

/// Formats a fault as "file:line: key: problem; expected ...".
std::string ToString(const config_fault& fault);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_CONFIG_FAULT_H_

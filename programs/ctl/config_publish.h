#ifndef SASSAFRAS_PROGRAMS_CTL_CONFIG_PUBLISH_H_
#define SASSAFRAS_PROGRAMS_CTL_CONFIG_PUBLISH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "programs/ctl/blocking_ports.h"
#include "programs/ctl/commands.h"
#include "sassafras/cluster/config_follower.h"
#include "sassafras/config/config_parse.h"

namespace sassafras {

/// How a set is published.
struct publish_request {
  std::vector<source_file> files;             ///< Checked.
  std::optional<std::uint64_t> base_version;  ///< Version they were made from.
  std::string resume;  ///< "VERSION-TOKEN" of an earlier run, or empty.
};

/// Publishes and prints what became of it. Returns the exit code.
int PublishSources(blocking_ports& ports, const publish_request& request);

/// Reads the row of `version`, or of the version in force if it is 0. Prints
/// why if it is empty.
std::optional<config_row> ReadVersion(blocking_ports& ports,
                                      std::uint64_t version);

/// Reads the files of a version. Prints why if it is empty.
std::optional<std::vector<source_file>> ReadVersionFiles(blocking_ports& ports,
                                                         const config_row& row);

/// Prints faults to standard error; returns whether there are none.
bool CheckSources(const std::vector<source_file>& files);

/// get, history, diff, rollback and drain.
std::vector<ctl_command> ConfigVersionCommands();

/// status and counters.
std::vector<ctl_command> ConfigStatusCommands();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_CTL_CONFIG_PUBLISH_H_

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

/// An object set to publish.
struct publish_request {
  std::vector<source_file> files;             ///< Already validated.
  std::optional<std::uint64_t> base_version;  ///< Version they are based on.
  std::string resume;  ///< "VERSION-TOKEN" of an earlier run, or empty.
};

/// Publishes `request` and prints the outcome. Returns the exit code:
/// kExitRefused on a conflict or if the store is unavailable, kExitUnknown if
/// the outcome is not known.
int PublishSources(blocking_ports& ports, const publish_request& request);

/// Reads the row of `version`, or of the version in force if `version` is 0. On
/// failure prints the reason and returns empty.
std::optional<config_row> ReadVersion(blocking_ports& ports,
                                      std::uint64_t version);

/// Reads the files of the version described by `row`. On failure prints the
/// reason and returns empty.
std::optional<std::vector<source_file>> ReadVersionFiles(blocking_ports& ports,
                                                         const config_row& row);

/// Prints the faults of `files` to standard error. Returns whether there are
/// none.
bool CheckSources(const std::vector<source_file>& files);

/// Returns the commands get, history, diff, rollback and drain.
std::vector<ctl_command> ConfigVersionCommands();

/// Returns the command counters.
std::vector<ctl_command> ConfigStatusCommands();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_CTL_CONFIG_PUBLISH_H_

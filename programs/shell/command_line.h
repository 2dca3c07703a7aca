#ifndef SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_
#define SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_

#include <optional>
#include <string>

#include "sassafras/config/settings.h"

namespace sassafras {

/// What a process program does after its command line was read.
struct start_decision {
  std::optional<process_settings> settings;  ///< Run with these if present.
  int exit_code = 0;                         ///< Else leave with this.
};

/// Handles --help, --version, --config FILE and --check-config of a process
/// program. Prints every fault of the settings with file, line and key.
start_decision ReadCommandLine(int argc,
                               const char* const* argv,
                               const std::string& program,
                               const std::string& purpose);

/// Reads a whole file; empty if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_

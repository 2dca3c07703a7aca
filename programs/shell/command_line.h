#ifndef SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_
#define SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/config/settings.h"

namespace sassafras {

/// What a process program does after its command line was read.
template <class Settings>
struct loaded_settings {
  std::optional<Settings> settings;  ///< Run with these if present.
  int exit_code = 0;                 ///< Else leave with this.
  std::string settings_path;         ///< To be read again on a reload.
};

using loaded_process_settings = loaded_settings<process_settings>;

/// The settings file that the command line names.
struct settings_arguments {
  std::string path;            ///< Empty: leave with `exit_code`.
  bool is_check_only = false;  ///< Only check it.
  int exit_code = 0;
};

/// Handles --help, --version, --config FILE and --check-config.
settings_arguments ParseSettingsArguments(int argc,
                                          const char* const* argv,
                                          const std::string& program,
                                          const std::string& purpose);

/// Handles --help, --version, --config FILE and --check-config of a process
/// program. Prints every fault of the settings with file, line and key.
loaded_process_settings ReadCommandLine(int argc,
                                        const char* const* argv,
                                        const std::string& program,
                                        const std::string& purpose);

/// Prints `faults`, and that the file is valid if there are none. Returns the
/// exit code of a check.
int ReportFaults(const std::string& path,
                 const std::vector<config_fault>& faults,
                 bool is_check_only);

/// Reads a whole file; empty if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads the settings file that the command line names with `parse`, which
/// returns settings and faults.
template <class Settings, class Parse>
loaded_settings<Settings> LoadSettings(const settings_arguments& arguments,
                                       Parse parse) {
  loaded_settings<Settings> loaded;
  loaded.exit_code = arguments.exit_code;
  loaded.settings_path = arguments.path;
  if (arguments.path.empty()) {
    return loaded;
  }
  const auto text = ReadFile(arguments.path);
  if (!text) {
    loaded.exit_code = ReportFaults(
        arguments.path, {{arguments.path, 0, "", "cannot be read", "a file"}},
        false);
    return loaded;
  }
  auto parsed = parse(arguments.path, *text);
  loaded.exit_code =
      ReportFaults(arguments.path, parsed.faults, arguments.is_check_only);
  if (parsed.faults.empty() && !arguments.is_check_only) {
    loaded.settings = std::move(parsed.settings);
  }
  return loaded;
}

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_

#ifndef SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_
#define SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/config/settings.h"

namespace sassafras {

/// Result of reading the command line and the settings file of a program.
template <class Settings>
struct loaded_settings {
  std::optional<Settings> settings;  ///< Empty: exit with `exit_code`.
  int exit_code = 0;
  std::string settings_path;  ///< File to read again on a reload.
};

using loaded_process_settings = loaded_settings<process_settings>;

/// Command-line arguments that concern the settings file.
struct settings_arguments {
  std::string path;            ///< Empty: exit with `exit_code`.
  bool is_check_only = false;  ///< Check the file and exit.
  int exit_code = 0;
};

/// Parses --help, --version, --config FILE and --check-config. Prints the
/// answer to the first two, and usage errors, which give exit code 2.
settings_arguments ParseSettingsArguments(int argc,
                                          const char* const* argv,
                                          const std::string& program,
                                          const std::string& purpose);

/// Parses the same arguments and loads the settings of a gateway or scheduler
/// process. Prints every fault of the settings with file, line and key; faults
/// give exit code 1.
loaded_process_settings ReadCommandLine(int argc,
                                        const char* const* argv,
                                        const std::string& program,
                                        const std::string& purpose);

/// Prints `faults` to standard error. If there are none and `is_check_only` is
/// set, prints to standard output that the file is valid. Returns the exit
/// code: 1 if there are faults, else 0.
int ReportFaults(const std::string& path,
                 const std::vector<config_fault>& faults,
                 bool is_check_only);

/// Returns the content of a file; empty if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads the settings file named by `arguments` and parses it with `parse`,
/// which is called with its path and content and returns settings and faults.
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
        arguments.path,
        {{arguments.path, 0, "", "cannot be read", "a readable file"}}, false);
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

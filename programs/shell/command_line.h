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
struct start_with {
  std::optional<Settings> settings;  ///< Run with these if present.
  int exit_code = 0;                 ///< Else leave with this.
  std::string settings_path;         ///< To be read again on a reload.
};

using start_decision = start_with<process_settings>;

/// The settings file that the command line names.
struct settings_choice {
  std::string path;       ///< Empty: leave with `exit_code`.
  bool is_check = false;  ///< Only check it.
  int exit_code = 0;
};

/// Handles --help, --version, --config FILE and --check-config.
settings_choice ReadSettingsChoice(int argc,
                                   const char* const* argv,
                                   const std::string& program,
                                   const std::string& purpose);

/// Handles --help, --version, --config FILE and --check-config of a process
/// program. Prints every fault of the settings with file, line and key.
start_decision ReadCommandLine(int argc,
                               const char* const* argv,
                               const std::string& program,
                               const std::string& purpose);

/// Prints `faults`, and that the file is valid if there are none. Returns the
/// exit code of a check.
int ReportFaults(const std::string& path,
                 const std::vector<config_fault>& faults,
                 bool is_check);

/// Reads a whole file; empty if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads the settings file that the command line names with `parse`, which
/// returns settings and faults.
template <class Settings, class Parse>
start_with<Settings> ReadStart(const settings_choice& choice, Parse parse) {
  start_with<Settings> start;
  start.exit_code = choice.exit_code;
  start.settings_path = choice.path;
  if (choice.path.empty()) {
    return start;
  }
  const auto text = ReadFile(choice.path);
  if (!text) {
    start.exit_code = ReportFaults(
        choice.path, {{choice.path, 0, "", "cannot be read", "a file"}}, false);
    return start;
  }
  auto parsed = parse(choice.path, *text);
  start.exit_code = ReportFaults(choice.path, parsed.faults, choice.is_check);
  if (parsed.faults.empty() && !choice.is_check) {
    start.settings = std::move(parsed.settings);
  }
  return start;
}

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_SHELL_COMMAND_LINE_H_

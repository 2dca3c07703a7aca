#ifndef SASSAFRAS_PROGRAMS_CTL_COMMANDS_H_
#define SASSAFRAS_PROGRAMS_CTL_COMMANDS_H_

#include <functional>
#include <string>
#include <vector>

namespace sassafras {

/// What every command of sassafras-ctl gets.
struct ctl_options {
  std::vector<std::string> platform;  ///< "IP:port" of the platform's service.
  std::vector<std::string> gateways;  ///< "IP:port" of gateways, tried in turn.
  std::vector<std::string> entries;   ///< Status addresses of entry processes.
  bool prints_json = false;           ///< For scripts; of `work`.
  std::string token;                  ///< Sent as bearer token.
  std::vector<std::string> arguments;  ///< After the command's name.
};

/// Exit codes of sassafras-ctl.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;  ///< The answer was a refusal.
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnknown = 3;  ///< It may have taken effect.

/// One command.
struct ctl_command {
  std::string name;
  std::string usage;  ///< Arguments and one line of purpose.
  std::function<int(const ctl_options&)> run;
};

/// check, publish, get, ...: what concerns configuration.
std::vector<ctl_command> ConfigCommands();

/// Prints the version of each process and who is behind.
int PrintProcessStatus(const ctl_options& options);

/// Prints in one sentence where a job stands and, if it waits, why.
int PrintJobStatus(const ctl_options& options);

/// work: what entry processes on the users' platform say.
std::vector<ctl_command> WorkCommands();

/// submit, cancel: what concerns jobs.
std::vector<ctl_command> JobCommands();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_CTL_COMMANDS_H_

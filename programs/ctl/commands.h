#ifndef SASSAFRAS_PROGRAMS_CTL_COMMANDS_H_
#define SASSAFRAS_PROGRAMS_CTL_COMMANDS_H_

#include <functional>
#include <string>
#include <vector>

namespace sassafras {

/// Options and arguments of a command of sassafras-ctl.
struct ctl_options {
  std::vector<std::string> platform;   ///< "IP:port" of the platform's service.
  std::vector<std::string> gateways;   ///< "IP:port", tried in this order.
  std::vector<std::string> entries;    ///< Status addresses of entry processes.
  bool prints_json = false;            ///< Only for `work`: print raw JSON.
  std::string token;                   ///< Sent as bearer token.
  std::vector<std::string> arguments;  ///< Arguments after the command name.
};

/// Exit codes of sassafras-ctl.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;  ///< Refused or failed, without effect.
inline constexpr int kExitUsage = 2;    ///< Wrong options or arguments.
inline constexpr int kExitUnknown = 3;  ///< The command may have taken effect.

/// One command of sassafras-ctl.
struct ctl_command {
  std::string name;
  std::string usage;  ///< "ARGUMENTS: purpose", for --help.
  std::function<int(const ctl_options&)> run;  ///< Returns the exit code.
};

/// Returns the commands on configuration: check, publish, get, history, diff,
/// rollback, drain and counters.
std::vector<ctl_command> ConfigCommands();

/// Prints the configuration version of each process, and which processes lag
/// behind the highest one. Returns kExitRefused if one lags or does not answer.
int PrintProcessStatus(const ctl_options& options);

/// Prints the state of a job and, if it waits, the reason.
int PrintJobStatus(const ctl_options& options);

/// Returns the command `work`, which shows the status of entry processes.
std::vector<ctl_command> WorkCommands();

/// Returns the commands on jobs: submit and cancel.
std::vector<ctl_command> JobCommands();

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_CTL_COMMANDS_H_

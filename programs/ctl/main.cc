#include <boost/program_options.hpp>
#include <iostream>
#include <utility>

#include "programs/ctl/commands.h"

namespace sassafras {
namespace {

namespace po = boost::program_options;

void PrintHelp(const po::options_description& options,
               const std::vector<ctl_command>& commands) {
  std::cout << "sassafras-ctl [OPTIONS] COMMAND [ARGUMENTS]\n"
            << options << "\nCommands:\n";
  for (const ctl_command& command : commands) {
    std::cout << "  " << command.name << ' ' << command.usage << '\n';
  }
}

int RunCommand(const po::variables_map& values,
               const std::vector<ctl_command>& commands,
               ctl_options options) {
  if (options.arguments.empty()) {
    std::cerr << "sassafras-ctl: missing command; see --help\n";
    return kExitUsage;
  }
  const std::string name = options.arguments.front();
  options.arguments.erase(options.arguments.begin());
  if (values.count("platform") > 0) {
    options.platform = values["platform"].as<std::vector<std::string>>();
  }
  if (values.count("gateway") > 0) {
    options.gateways = values["gateway"].as<std::vector<std::string>>();
  }
  if (values.count("entry") > 0) {
    options.entries = values["entry"].as<std::vector<std::string>>();
  }
  options.prints_json = values.count("json") > 0;
  options.token = values["token"].as<std::string>();
  for (const ctl_command& command : commands) {
    if (command.name == name) {
      return command.run(options);
    }
  }
  std::cerr << "sassafras-ctl: unknown command '" << name << "'; see --help\n";
  return kExitUsage;
}

int Status(const ctl_options& options) {
  return options.arguments.empty() ? PrintProcessStatus(options)
                                   : PrintJobStatus(options);
}

std::vector<ctl_command> AllCommands() {
  std::vector<ctl_command> commands = ConfigCommands();
  for (ctl_command& command : JobCommands()) {
    commands.push_back(std::move(command));
  }
  for (ctl_command& command : WorkCommands()) {
    commands.push_back(std::move(command));
  }
  commands.push_back(
      {"status",
       "[JOB]: state of a job and the reason why it waits; without JOB, "
       "configuration version of each process and which ones lag behind",
       Status});
  return commands;
}

int Main(int argc, const char* const* argv) {
  const std::vector<ctl_command> commands = AllCommands();
  po::options_description options("Options");
  options.add_options()("help", "print this text")("version",
                                                   "print the version")(
      "platform", po::value<std::vector<std::string>>()->composing(),
      "IP:port of the platform's service")(
      "gateway", po::value<std::vector<std::string>>()->composing(),
      "IP:port of a gateway")(
      "entry", po::value<std::vector<std::string>>()->composing(),
      "IP:port of an entry process's status page")(
      "json", "print the answer as JSON, for scripts; only for work")(
      "token", po::value<std::string>()->default_value(""), "bearer token");
  po::options_description all;
  all.add(options).add_options()("arguments",
                                 po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("arguments", -1);
  po::variables_map values;
  ctl_options parsed;
  try {
    const auto recognised = po::command_line_parser(argc, argv)
                                .options(all)
                                .positional(positional)
                                .allow_unregistered()
                                .run();
    po::store(recognised, values);
    po::notify(values);
    parsed.arguments =
        po::collect_unrecognized(recognised.options, po::include_positional);
  } catch (const po::error& failure) {
    std::cerr << "sassafras-ctl: " << failure.what() << '\n';
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    PrintHelp(options, commands);
    return kExitOk;
  }
  if (values.count("version") > 0) {
    std::cout << "sassafras-ctl " << SASSAFRAS_VERSION << '\n';
    return kExitOk;
  }
  return RunCommand(values, commands, std::move(parsed));
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}

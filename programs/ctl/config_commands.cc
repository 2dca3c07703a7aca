#include <algorithm>
#include <filesystem>
#include <iostream>

#include "programs/ctl/commands.h"
#include "programs/ctl/config_publish.h"
#include "programs/shell/command_line.h"
#include "sassafras/config/config_parse.h"

namespace sassafras {
namespace {

namespace fs = std::filesystem;

std::vector<source_file> ReadSources(const std::string& directory) {
  std::vector<source_file> files;
  std::error_code code;
  for (const auto& entry : fs::directory_iterator(directory, code)) {
    if (entry.path().extension() == ".yaml") {
      files.push_back({entry.path().filename().string(),
                       ReadFile(entry.path().string()).value_or("")});
    }
  }
  std::sort(files.begin(), files.end(),
            [](const source_file& a, const source_file& b) {
              return a.name < b.name;
            });
  return files;
}

// Reads and checks the set of the first argument; prints its faults. Empty if
// there are any.
std::vector<source_file> ReadCheckedSources(const ctl_options& options) {
  if (options.arguments.empty()) {
    std::cerr << "one directory is needed\n";
    return {};
  }
  std::vector<source_file> files = ReadSources(options.arguments.front());
  if (files.empty()) {
    std::cerr << options.arguments.front() << ": has no .yaml file\n";
    return {};
  }
  if (!CheckSources(files)) {
    return {};
  }
  return files;
}

int Check(const ctl_options& options) {
  if (ReadCheckedSources(options).empty()) {
    return kExitRefused;
  }
  std::cout << "valid\n";
  return kExitOk;
}

// The value after the argument `name`, empty if it is absent.
std::string FindOptionValue(const ctl_options& options,
                            const std::string& name) {
  const auto it =
      std::find(options.arguments.begin(), options.arguments.end(), name);
  const bool has_value =
      it != options.arguments.end() && it + 1 != options.arguments.end();
  return has_value ? *(it + 1) : std::string();
}

int Publish(const ctl_options& options) {
  publish_request request;
  request.files = ReadCheckedSources(options);
  if (request.files.empty()) {
    return kExitRefused;
  }
  const std::string base = FindOptionValue(options, "--base");
  if (base.find_first_not_of("0123456789") != std::string::npos) {
    std::cerr << "'" << base << "' is no version\n";
    return kExitUsage;
  }
  if (!base.empty()) {
    request.base_version = std::stoull(base);
  }
  request.resume = FindOptionValue(options, "--resume");
  blocking_ports ports(options.platform);
  return PublishSources(ports, request);
}

}  // namespace

std::vector<ctl_command> ConfigCommands() {
  std::vector<ctl_command> commands{
      {"check", "DIR: judges an object set offline", Check},
      {"publish",
       "DIR [--base VERSION] [--resume VERSION-TOKEN]: publishes an object set",
       Publish}};
  for (const auto& command_group :
       {ConfigVersionCommands(), ConfigStatusCommands()}) {
    commands.insert(commands.end(), command_group.begin(), command_group.end());
  }
  return commands;
}

}  // namespace sassafras

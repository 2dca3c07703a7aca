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

// Reads all .yaml files of `directory`, sorted by name.
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

// Reads and validates the object set in the directory of the first argument.
// Prints its faults to standard error and returns empty if there are any.
std::vector<source_file> ReadCheckedSources(const ctl_options& options) {
  if (options.arguments.empty()) {
    std::cerr << "missing argument: the directory of the object set\n";
    return {};
  }
  std::vector<source_file> files = ReadSources(options.arguments.front());
  if (files.empty()) {
    std::cerr << options.arguments.front()
              << ": no .yaml file found in this directory\n";
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

// Returns the argument that follows `name`, or empty if `name` is absent.
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
    std::cerr << "--base: '" << base << "' is not a version number\n";
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
      {"check", "DIR: validates an object set offline", Check},
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

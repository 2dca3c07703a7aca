#include <algorithm>
#include <filesystem>
#include <iostream>
#include <random>

#include "programs/ctl/blocking_ports.h"
#include "programs/ctl/commands.h"
#include "programs/shell/command_line.h"
#include "sassafras/cluster/config_follower.h"
#include "sassafras/config/config_parse.h"
#include "sassafras/core/digest.h"

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

// Reads and checks a set; prints its faults. Empty if there are any.
std::vector<source_file> ReadCheckedSources(const ctl_options& options) {
  if (options.arguments.size() != 1) {
    std::cerr << "one directory is needed\n";
    return {};
  }
  std::vector<source_file> files = ReadSources(options.arguments.front());
  if (files.empty()) {
    std::cerr << options.arguments.front() << ": has no .yaml file\n";
    return {};
  }
  const parsed_config parsed = ParseConfigSet(files, unknown_keys::kRefuse);
  for (const config_fault& fault : parsed.faults) {
    std::cerr << ToString(fault) << '\n';
  }
  if (!parsed.faults.empty()) {
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

std::string NewToken() {
  std::random_device device;
  return Sha256Hex(std::to_string(device()) + std::to_string(device()) +
                   std::to_string(device()) + std::to_string(device()));
}

int Publish(const ctl_options& options) {
  const std::vector<source_file> files = ReadCheckedSources(options);
  if (files.empty()) {
    return kExitRefused;
  }
  blocking_ports ports(options.platform);
  const read_answer read = ports.Read({std::string(kConfigRowKey)});
  if (read.state != answer_state::kDone || read.rows.size() != 1) {
    std::cerr << "store_unavailable: nothing was published\n";
    return kExitRefused;
  }
  const table_row& before = read.rows.front();
  config_row row;
  row.version = 1;
  if (before.version != 0) {
    const auto current = DecodeConfigRow(before.value);
    if (!current) {
      std::cerr << "the published row is malformed\n";
      return kExitRefused;
    }
    row.version = current.value().version + 1;
  }
  const std::string content = EncodeSources(files);
  row.sha256 = Sha256Hex(content);
  row.object = "config-" + row.sha256;
  row.token = NewToken();
  if (ports.Put(row.object, content) != answer_state::kDone) {
    std::cerr << "store_unavailable: nothing was published\n";
    return kExitRefused;
  }
  const commit_answer commit = ports.Commit(
      {{std::string(kConfigRowKey), before.version, EncodeConfigRow(row)}});
  if (commit.state == answer_state::kDone) {
    std::cout << "published version " << row.version << '\n';
    return kExitOk;
  }
  std::cerr << GetErrorInfo(commit.reason).name << ": "
            << GetErrorInfo(commit.reason).text << '\n';
  return commit.state == answer_state::kUnknown ? kExitUnknown : kExitRefused;
}

}  // namespace

std::vector<ctl_command> ConfigCommands() {
  return {{"check", "DIR: judges an object set offline", Check},
          {"publish", "DIR: publishes an object set", Publish}};
}

}  // namespace sassafras

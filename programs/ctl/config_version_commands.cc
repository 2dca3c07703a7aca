#include <fstream>
#include <iostream>

#include "programs/ctl/config_publish.h"
#include "sassafras/cluster/publication.h"
#include "sassafras/config/source_diff.h"

namespace sassafras {
namespace {

constexpr std::size_t kHistoryPageRows = 500;

// Parses argument `index` as a version. Empty if it is missing or not a
// positive number of at most 12 digits.
std::optional<std::uint64_t> ParseVersion(const ctl_options& options,
                                          std::size_t index) {
  constexpr std::size_t kMaxDigits = 12;
  if (index >= options.arguments.size()) {
    return std::nullopt;
  }
  const std::string& text = options.arguments[index];
  if (text.empty() || text.size() > kMaxDigits ||
      text.find_first_not_of("0123456789") != std::string::npos ||
      std::stoull(text) == 0) {
    return std::nullopt;
  }
  return std::stoull(text);
}

std::optional<std::vector<source_file>> ReadFilesOfVersion(
    blocking_ports& ports,
    std::uint64_t version) {
  const auto row = ReadVersion(ports, version);
  return row ? ReadVersionFiles(ports, *row) : std::nullopt;
}

int Get(const ctl_options& options) {
  if (options.arguments.size() != 1) {
    std::cerr << "get DIR: expected one directory\n";
    return kExitUsage;
  }
  blocking_ports ports(options.platform);
  const auto row = ReadVersion(ports, 0);
  const auto files = row ? ReadVersionFiles(ports, *row) : std::nullopt;
  if (!files) {
    return kExitRefused;
  }
  for (const source_file& file : *files) {
    std::ofstream out(options.arguments.front() + "/" + file.name,
                      std::ios::binary);
    out << file.text;
    if (!out) {
      std::cerr << "cannot write " << file.name << '\n';
      return kExitRefused;
    }
  }
  std::cout << "version " << row->version
            << "; to publish changes to it, use --base " << row->version
            << '\n';
  return kExitOk;
}

int History(const ctl_options& options) {
  blocking_ports ports(options.platform);
  std::string after;
  while (true) {
    const read_answer page =
        ports.Scan(std::string(kConfigHistoryPrefix), after, kHistoryPageRows);
    if (page.state != answer_state::kDone) {
      std::cerr << "store_unavailable: the history could not be read\n";
      return kExitRefused;
    }
    for (const table_row& row : page.rows) {
      const auto entry = DecodeConfigRow(row.value);
      if (entry) {
        std::cout << entry.value().version << ' ' << entry.value().sha256 << ' '
                  << entry.value().token << '\n';
      }
    }
    if (page.rows.size() < kHistoryPageRows) {
      return kExitOk;
    }
    after = page.rows.back().key;
  }
}

int Diff(const ctl_options& options) {
  const auto before = ParseVersion(options, 0);
  const auto after = ParseVersion(options, 1);
  if (!before || !after) {
    std::cerr << "diff VERSION VERSION: expected two version numbers above 0\n";
    return kExitUsage;
  }
  blocking_ports ports(options.platform);
  const auto old_files = ReadFilesOfVersion(ports, *before);
  const auto new_files = ReadFilesOfVersion(ports, *after);
  if (!old_files || !new_files) {
    return kExitRefused;
  }
  std::cout << DiffSources(*old_files, *new_files);
  return kExitOk;
}

int Rollback(const ctl_options& options) {
  const auto version = ParseVersion(options, 0);
  if (!version) {
    std::cerr << "rollback VERSION: expected a version number above 0\n";
    return kExitUsage;
  }
  blocking_ports ports(options.platform);
  const auto current = ReadVersion(ports, 0);
  const auto files = ReadFilesOfVersion(ports, *version);
  if (!current || !files || !CheckSources(*files)) {
    return kExitRefused;
  }
  return PublishSources(ports, {*files, current->version, ""});
}

int Drain(const ctl_options& options) {
  if (options.arguments.size() != 1) {
    std::cerr
        << "drain NAME: expected the name of a worker, target or minion\n";
    return kExitUsage;
  }
  blocking_ports ports(options.platform);
  const auto current = ReadVersion(ports, 0);
  const auto files = current ? ReadVersionFiles(ports, *current) : std::nullopt;
  if (!files) {
    return kExitRefused;
  }
  const auto changed = MarkLeaving(*files, options.arguments.front());
  if (!changed) {
    std::cerr << "not_found: not exactly one object has this name\n";
    return kExitRefused;
  }
  if (!CheckSources(*changed)) {
    return kExitRefused;
  }
  return PublishSources(ports, {*changed, current->version, ""});
}

}  // namespace

std::vector<ctl_command> ConfigVersionCommands() {
  return {{"get", "DIR: writes the object set in force into a directory", Get},
          {"history", ": lists versions with digest and token", History},
          {"diff", "VERSION VERSION: shows the changed lines", Diff},
          {"rollback",
           "VERSION: publishes the files of an older version as a new version",
           Rollback},
          {"drain", "NAME: publishes the set with `leaving: true` on an object",
           Drain}};
}

}  // namespace sassafras

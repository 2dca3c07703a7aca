#include "programs/ctl/config_publish.h"

#include <chrono>
#include <iostream>
#include <random>
#include <thread>

#include "sassafras/cluster/publication.h"
#include "sassafras/config/source_diff.h"
#include "sassafras/core/digest.h"

namespace sassafras {
namespace {

constexpr int kMaxAttempts = 10;
constexpr std::chrono::milliseconds kAttemptInterval{300};
constexpr std::size_t kTokenLength = 16;

std::string GenerateToken() {
  std::random_device device;
  std::string entropy;
  for (int i = 0; i < 8; ++i) {
    entropy += std::to_string(device()) + '.';
  }
  return Sha256Hex(entropy).substr(0, kTokenLength);
}

// Parses "VERSION-TOKEN" and returns a publication that resumes with them.
// Empty if `text` is malformed or the version is 0.
std::optional<publication> ParseResume(const std::string& text,
                                       config_row content) {
  const std::size_t dash = text.find('-');
  if (dash == std::string::npos || dash == 0 || dash + 1 == text.size() ||
      text.find_first_not_of("0123456789") != dash) {
    return std::nullopt;
  }
  const std::uint64_t version = std::stoull(text.substr(0, dash));
  content.token = text.substr(dash + 1);
  if (version == 0) {
    return std::nullopt;
  }
  return publication::Resume(std::move(content), version);
}

int PrintConflict(blocking_ports& ports,
                  const publication& pending,
                  const std::vector<source_file>& files) {
  std::cerr << "conflict: version " << pending.Winner().version
            << " was published first; this set was not published\n";
  if (const auto winner = ReadVersionFiles(ports, pending.Winner())) {
    std::cerr << "changes of this set relative to that version:\n"
              << DiffSources(*winner, files);
  }
  return kExitRefused;
}

int PrintOutcome(blocking_ports& ports,
                 const publication& pending,
                 const config_row& content,
                 const std::vector<source_file>& files) {
  switch (pending.State()) {
    case publish_state::kPublished:
      std::cout << "published version " << pending.Version() << '\n';
      return kExitOk;
    case publish_state::kConflict:
      return PrintConflict(ports, pending, files);
    case publish_state::kNotDone:
      std::cerr << "store_unavailable: the set was not published\n";
      return kExitRefused;
    case publish_state::kOpen:
    case publish_state::kUnknown:
      break;
  }
  std::cerr << "unknown: the set may have been published; to find out, run "
               "again with --resume "
            << pending.Version() << '-' << content.token << '\n';
  return kExitUnknown;
}

}  // namespace

int PublishSources(blocking_ports& ports, const publish_request& request) {
  const std::string encoded = EncodeSources(request.files);
  config_row content;
  content.sha256 = Sha256Hex(encoded);
  content.object = "config-" + content.sha256;
  content.token = GenerateToken();
  publication pending(content, request.base_version);
  if (!request.resume.empty()) {
    const auto resumed = ParseResume(request.resume, content);
    if (!resumed) {
      std::cerr << "'" << request.resume
                << "' is not of the form VERSION-TOKEN\n";
      return kExitUsage;
    }
    pending = *resumed;
    content.token = request.resume.substr(request.resume.find('-') + 1);
  }
  const bool is_stored =
      ports.Put(content.object, encoded) == answer_state::kDone;
  if (!is_stored && request.resume.empty()) {
    std::cerr << "store_unavailable: the set was not published\n";
    return kExitRefused;
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto transaction = pending.OnRead(ports.Read(pending.KeysToRead()));
    if (transaction && is_stored) {
      pending.OnCommit(ports.Commit(*transaction));
    }
    if (pending.State() != publish_state::kOpen &&
        pending.State() != publish_state::kUnknown) {
      break;
    }
    std::this_thread::sleep_for(kAttemptInterval);
  }
  return PrintOutcome(ports, pending, content, request.files);
}

std::optional<config_row> ReadVersion(blocking_ports& ports,
                                      std::uint64_t version) {
  const std::string key =
      version == 0 ? std::string(kConfigRowKey) : ConfigHistoryKey(version);
  const read_answer answer = ports.Read({key});
  if (answer.state != answer_state::kDone || answer.rows.size() != 1) {
    std::cerr
        << "store_unavailable: the row of the version could not be read\n";
    return std::nullopt;
  }
  if (answer.rows.front().version == 0) {
    std::cerr << "not_found: no such version\n";
    return std::nullopt;
  }
  const auto row = DecodeConfigRow(answer.rows.front().value);
  if (!row) {
    std::cerr << "malformed: the row of the version could not be decoded\n";
    return std::nullopt;
  }
  return row.value();
}

std::optional<std::vector<source_file>> ReadVersionFiles(
    blocking_ports& ports,
    const config_row& row) {
  const object_answer answer = ports.Get(row.object);
  if (answer.state != answer_state::kDone || !answer.exists ||
      Sha256Hex(answer.value) != row.sha256) {
    std::cerr << "store_unavailable: the files of version " << row.version
              << " could not be read or do not match their digest\n";
    return std::nullopt;
  }
  const auto files = DecodeSources(answer.value);
  if (!files) {
    std::cerr << files.error().detail << '\n';
    return std::nullopt;
  }
  return files.value();
}

bool CheckSources(const std::vector<source_file>& files) {
  const parsed_config parsed = ParseConfigSet(files, unknown_keys::kRefuse);
  for (const config_fault& fault : parsed.faults) {
    std::cerr << ToString(fault) << '\n';
  }
  return parsed.faults.empty();
}

}  // namespace sassafras

#include "sassafras/cluster/publication.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sassafras {
namespace {

constexpr std::size_t kVersionDigits = 12;
constexpr std::array<std::string_view, 5> kStateNames = {
    "open", "published", "conflict", "not_done", "unknown"};

}  // namespace

std::string_view GetName(publish_state state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string ConfigHistoryKey(std::uint64_t version) {
  std::string digits = std::to_string(version);
  digits.insert(0, kVersionDigits - std::min(kVersionDigits, digits.size()),
                '0');
  return std::string(kConfigHistoryPrefix) + digits;
}

publication::publication(config_row content, std::optional<std::uint64_t> base)
    : content_(std::move(content)), base_(base) {
  content_.version = base ? *base + 1 : 0;
}

publication publication::Resume(config_row content, std::uint64_t version) {
  publication resumed(std::move(content), version - 1);
  resumed.was_sent_ = true;
  resumed.state_ = publish_state::kUnknown;
  return resumed;
}

std::vector<std::string> publication::KeysToRead() const {
  std::vector<std::string> keys{std::string(kConfigRowKey)};
  if (content_.version != 0) {
    keys.push_back(ConfigHistoryKey(content_.version));
  }
  return keys;
}

// models/publication.pml verifies the order of the conditions below.
std::optional<table_transaction> publication::OnRead(
    const read_answer& answer) {
  if (answer.state != answer_state::kDone || answer.rows.empty()) {
    state_ = was_sent_ ? publish_state::kUnknown : publish_state::kNotDone;
    return std::nullopt;
  }
  if (answer.rows.size() > 1 && answer.rows[1].version != 0) {
    return OnHistory(answer.rows[1]);
  }
  const table_row& row = answer.rows.front();
  config_row current;
  if (row.version != 0) {
    const auto decoded = DecodeConfigRow(row.value);
    if (!decoded) {
      state_ = publish_state::kNotDone;
      return std::nullopt;
    }
    current = decoded.value();
  }
  if (content_.version == 0) {
    content_.version = current.version + 1;
  }
  if (current.version >= content_.version) {
    if (current.token == content_.token) {
      state_ = publish_state::kPublished;
      return std::nullopt;
    }
    if (was_sent_ && current.version > content_.version) {
      // Later versions have been published. Whether this one took effect before
      // them is known only from its history row, which this read does not show
      // yet.
      state_ = publish_state::kUnknown;
      return std::nullopt;
    }
    return MarkConflict(current);
  }
  if (current.version + 1 != content_.version) {
    // The read is stale: it shows a version below the base.
    state_ = was_sent_ ? publish_state::kUnknown : publish_state::kNotDone;
    return std::nullopt;
  }
  was_sent_ = true;
  const std::string value = EncodeConfigRow(content_);
  return table_transaction{{std::string(kConfigRowKey), row.version, value},
                           {ConfigHistoryKey(content_.version), 0, value}};
}

void publication::OnCommit(const commit_answer& answer) {
  if (answer.state == answer_state::kDone) {
    state_ = publish_state::kPublished;
  } else if (answer.state == answer_state::kUnknown) {
    state_ = publish_state::kUnknown;
  } else if (answer.reason == error_kind::kConflict) {
    // The conflicting row is another publication's, or this one's own if an
    // earlier answer was lost.
    state_ = publish_state::kOpen;
  } else if (state_ != publish_state::kUnknown) {
    was_sent_ = false;
    state_ = publish_state::kNotDone;
  }
}

// Handles the history row of the attempted version, which never changes once
// written.
std::optional<table_transaction> publication::OnHistory(const table_row& row) {
  const auto taken = DecodeConfigRow(row.value);
  if (!taken) {
    state_ = publish_state::kUnknown;
    return std::nullopt;
  }
  if (taken.value().token == content_.token) {
    state_ = publish_state::kPublished;
    return std::nullopt;
  }
  return MarkConflict(taken.value());
}

std::optional<table_transaction> publication::MarkConflict(
    const config_row& winner) {
  winner_ = winner;
  state_ = publish_state::kConflict;
  return std::nullopt;
}

}  // namespace sassafras

#ifndef SASSAFRAS_CLUSTER_PUBLICATION_H_
#define SASSAFRAS_CLUSTER_PUBLICATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/cluster/config_follower.h"
#include "sassafras/net/table_port.h"

namespace sassafras {

/// Prefix of the rows that keep one config_row per version.
inline constexpr std::string_view kConfigHistoryPrefix = "config/history/";

/// Table key of the history row of `version`; keys sort by version.
std::string ConfigHistoryKey(std::uint64_t version);

/// What is known of one publication.
enum class publish_state : std::uint8_t {
  kOpen,       ///< The rows have to be read, and then committed.
  kPublished,  ///< It took effect as Version().
  kConflict,   ///< It will never take effect: Winner() did.
  kNotDone,    ///< It took no effect; the store refused or was away.
  kUnknown,    ///< It may have taken effect or may do so later.
};

/// Names of publish_state: "open", "published", "conflict", "not_done",
/// "unknown".
std::string_view GetName(publish_state state);

/// One publication: a transaction that replaces the version row and adds a
/// history row, both only if nobody published in between. A lost answer is
/// settled by reading the history row of the version that was tried: it shows
/// this publication's token, or another's, which rules this one out for ever.
/// A decision object; not safe for concurrent use.
class publication {
 public:
  /// `content` needs object, sha256 and token. `base` is the version that the
  /// content was made from, empty for whatever stands at the first read.
  publication(config_row content, std::optional<std::uint64_t> base);

  /// Goes on with an earlier run that tried `version` with the same token.
  static publication Resume(config_row content, std::uint64_t version);

  /// Keys to be read next.
  std::vector<std::string> KeysToRead() const;

  /// Takes in the rows of KeysToRead(). Returns what to commit next, or empty
  /// if State() says the rest.
  std::optional<table_transaction> OnRead(const read_answer& answer);

  /// Takes in the answer to that transaction. With kOpen or kUnknown the rows
  /// are to be read again.
  void OnCommit(const commit_answer& answer);

  publish_state State() const { return state_; }

  /// Version that this publication tried or took, 0 before the first read.
  std::uint64_t Version() const { return content_.version; }

  /// The row that won, valid with kConflict.
  const config_row& Winner() const { return winner_; }

 private:
  std::optional<table_transaction> MarkConflict(const config_row& winner);
  std::optional<table_transaction> OnHistory(const table_row& row);

  config_row content_;
  std::optional<std::uint64_t> base_;
  publish_state state_ = publish_state::kOpen;
  config_row winner_;
  bool was_sent_ = false;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_PUBLICATION_H_

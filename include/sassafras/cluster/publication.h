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

/// Key prefix of the history rows, which hold one config_row per version.
inline constexpr std::string_view kConfigHistoryPrefix = "config/history/";

/// Table key of the history row of `version`; keys sort by version.
std::string ConfigHistoryKey(std::uint64_t version);

/// State of one publication.
enum class publish_state : std::uint8_t {
  kOpen,       ///< The rows must be read, and the returned writes committed.
  kPublished,  ///< The publication took effect as Version().
  kConflict,   ///< It will never take effect because Winner() did instead.
  kNotDone,    ///< It took no effect: the store refused or was unavailable.
  kUnknown,    ///< It may have taken effect, or may still do so.
};

/// Name of `state`: "open", "published", "conflict", "not_done" or "unknown".
std::string_view GetName(publish_state state);

/// One publication of a configuration: a transaction that replaces the version
/// row and adds a history row, on condition that no other publication took
/// effect in between. If the answer is lost, the history row of the attempted
/// version shows the outcome: it contains the token of this publication or of
/// another one, in which case this one can never take effect. A state machine
/// without I/O; not safe for concurrent use.
class publication {
 public:
  /// `content` must have object, sha256 and token set. `base` is the version
  /// that the content was derived from; if empty, it is the version in force at
  /// the first read.
  publication(config_row content, std::optional<std::uint64_t> base);

  /// Continues an earlier publication that attempted `version` with the same
  /// token and whose outcome is unknown.
  static publication Resume(config_row content, std::uint64_t version);

  /// Keys of the rows to read next.
  std::vector<std::string> KeysToRead() const;

  /// Processes the answer to a read of KeysToRead(). Returns the transaction to
  /// commit next; if it is empty, State() is the result.
  std::optional<table_transaction> OnRead(const read_answer& answer);

  /// Processes the answer to that transaction. If State() is kOpen or kUnknown
  /// afterwards, the rows must be read again.
  void OnCommit(const commit_answer& answer);

  publish_state State() const { return state_; }

  /// Version that this publication attempted or took effect as; 0 if not known
  /// before the first read.
  std::uint64_t Version() const { return content_.version; }

  /// The row that took effect instead. Valid if State() is kConflict.
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

#ifndef SASSAFRAS_NET_TABLE_PORT_H_
#define SASSAFRAS_NET_TABLE_PORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sassafras/core/error.h"
#include "sassafras/core/time.h"
#include "sassafras/net/answer.h"

namespace sassafras {

/// One row. A row that does not exist has version 0 and an empty value.
struct table_row {
  std::string key;
  std::string value;          ///< JSON; the owner of the row defines it.
  std::uint64_t version = 0;  ///< Changes with each write of the row.
  bool is_erased = false;     ///< In a change feed: the row was erased.
};

/// Returns the row of `rows` with key `key`, or null if there is none.
const table_row* FindRow(const std::vector<table_row>& rows,
                         const std::string& key);

/// One conditional change of a row.
struct table_write {
  std::string key;
  std::uint64_t expected_version = 0;  ///< 0: the row must not exist.
  std::string value;
  bool should_erase = false;
};

/// Writes that are committed atomically.
using table_transaction = std::vector<table_write>;

/// Answer to a transaction. kDone: `rows` hold the new versions, with empty
/// values. kNotDone with kConflict: `rows` are the current rows whose versions
/// differ. kTooLarge and kMalformed: the store will never accept the
/// transaction. The reason of other failures is kStoreUnavailable or
/// kStoreUnknown.
struct commit_answer {
  answer_state state = answer_state::kUnknown;
  error_kind reason = error_kind::kStoreUnknown;  ///< Ignored if kDone.
  std::vector<table_row> rows;
};

/// Answer to a read or scan. A read has no side effect, so its state is kDone
/// or kNotDone, never kUnknown.
struct read_answer {
  answer_state state = answer_state::kNotDone;
  std::vector<table_row> rows;
  std::uint64_t store_version = 0;  ///< 0: not reported by the store.
  bool has_more = false;            ///< Of a scan, if reported by the store.
};

/// Answer to a long poll of the change feed: changes in order, or none.
struct follow_answer {
  answer_state state = answer_state::kNotDone;
  bool is_history_truncated = false;  ///< Rescan the table. Not kDone.
  std::vector<table_row> rows;
  std::uint64_t store_version = 0;  ///< `after` of the next poll, if kDone.
};

/// The platform's transactional table service. A key is "TABLE/NAME", or
/// "TABLE:PART/NAME" for a row in a part of the table. The service commits the
/// transactions on one part one after another, those on different parts
/// concurrently. A transaction may span parts, which takes it longer.
/// Each function calls `done`
/// exactly once, after an unbounded delay, on any thread of the process.
struct table_port {
  /// Commits `transaction` if every expected version matches.
  std::function<void(table_transaction transaction,
                     std::function<void(commit_answer)> done)>
      commit;

  /// Reads rows by key. The result has the order of `keys`.
  std::function<void(std::vector<std::string> keys,
                     std::function<void(read_answer)> done)>
      read;

  /// Reads up to `limit` rows whose keys begin with `prefix` and are greater
  /// than `after`, in key order. Covers the one part that `prefix` names.
  std::function<void(std::string prefix,
                     std::string after,
                     std::size_t limit,
                     std::function<void(read_answer)> done)>
      scan;

  /// Long poll of the change feed: waits up to `wait` for changes after version
  /// `after` of the rows of the table that `prefix` names, in all its parts.
  /// Empty if not supported.
  std::function<void(std::string prefix,
                     std::uint64_t after,
                     duration wait,
                     std::function<void(follow_answer)> done)>
      follow;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_TABLE_PORT_H_

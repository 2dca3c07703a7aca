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
  std::string value;          ///< JSON by convention of the row's owner.
  std::uint64_t version = 0;  ///< Changes with each write of the row.
  bool is_erased = false;     ///< Of a followed change: the row is gone.
};

/// Returns the row of `rows` under `key`, or null if there is none.
const table_row* FindRow(const std::vector<table_row>& rows,
                         const std::string& key);

/// One conditional change of a row.
struct table_write {
  std::string key;
  std::uint64_t expected_version = 0;  ///< 0: the row must not exist.
  std::string value;
  bool should_erase = false;
};

/// Writes that take effect together or not at all.
using table_transaction = std::vector<table_write>;

/// Answer to a transaction. kDone: `rows` are the new versions, values left
/// empty. kNotDone with kConflict: `rows` are the current rows whose versions
/// differ. Other failures carry kStoreUnavailable or kStoreUnknown.
struct commit_answer {
  answer_state state = answer_state::kUnknown;
  error_kind reason = error_kind::kStoreUnknown;  ///< Unless kDone.
  std::vector<table_row> rows;
};

/// Answer to a read or scan. A read never takes effect, so it is either kDone
/// or kNotDone.
struct read_answer {
  answer_state state = answer_state::kNotDone;
  std::vector<table_row> rows;
  std::uint64_t store_version = 0;  ///< 0: the store states none.
  bool has_more = false;            ///< Of a scan, if the store says so.
};

/// Answer to following a table: changes in order, or none in time.
struct follow_answer {
  answer_state state = answer_state::kNotDone;
  bool is_history_truncated = false;  ///< Read the table anew. Not kDone.
  std::vector<table_row> rows;
  std::uint64_t store_version = 0;  ///< To follow on from, if kDone.
};

/// The platform's transactional table service. Each hook calls `done` exactly
/// once, possibly late, from any thread of the process.
struct table_port {
  /// Commits `transaction` if every expected version matches.
  std::function<void(table_transaction transaction,
                     std::function<void(commit_answer)> done)>
      commit;

  /// Reads rows by key, in the order asked for.
  std::function<void(std::vector<std::string> keys,
                     std::function<void(read_answer)> done)>
      read;

  /// Reads up to `limit` rows whose keys begin with `prefix` and are greater
  /// than `after`, in key order.
  std::function<void(std::string prefix,
                     std::string after,
                     std::size_t limit,
                     std::function<void(read_answer)> done)>
      scan;

  /// Waits up to `wait` for rows whose keys begin with `prefix` to change
  /// after version `after`. Empty where the store offers no such call.
  std::function<void(std::string prefix,
                     std::uint64_t after,
                     duration wait,
                     std::function<void(follow_answer)> done)>
      follow;
};

}  // namespace sassafras

#endif  // SASSAFRAS_NET_TABLE_PORT_H_

#ifndef SASSAFRAS_TESTS_FAKE_TABLE_H_
#define SASSAFRAS_TESTS_FAKE_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/net/table_port.h"

namespace sassafras {

/// In-memory table service that answers synchronously and can simulate failures
/// of the real one.
class fake_table {
 public:
  commit_answer Commit(const table_transaction& transaction) {
    if (is_down) {
      return {answer_state::kNotDone, error_kind::kStoreUnavailable, {}};
    }
    if (IsTooLarge(transaction)) {
      ++refusals;
      return {answer_state::kNotDone, error_kind::kTooLarge, {}};
    }
    std::vector<table_row> conflicts;
    for (const table_write& write : transaction) {
      if (Read(write.key).version != write.expected_version) {
        conflicts.push_back(Read(write.key));
      }
    }
    if (!conflicts.empty()) {
      return {answer_state::kNotDone, error_kind::kConflict, conflicts};
    }
    ++revision_;
    ++commits;
    std::vector<table_row> written;
    for (const table_write& write : transaction) {
      if (write.should_erase) {
        rows.erase(write.key);
      } else {
        rows[write.key] = {write.key, write.value, revision_};
      }
      written.push_back({write.key, "", write.should_erase ? 0 : revision_});
    }
    if (loses_answer) {
      return {answer_state::kUnknown, error_kind::kStoreUnknown, {}};
    }
    return {answer_state::kDone, error_kind::kInternal, written};
  }

  table_row Read(const std::string& key) const {
    const auto it = rows.find(key);
    return it == rows.end() ? table_row{key, "", 0} : it->second;
  }

  read_answer Scan(const std::string& prefix,
                   const std::string& after,
                   std::size_t limit) const {
    if (is_down) {
      return {answer_state::kNotDone, {}};
    }
    read_answer answer{answer_state::kDone, {}};
    answer.store_version = revision_;
    for (auto it = rows.upper_bound(std::max(prefix, after)); it != rows.end();
         ++it) {
      if (it->first.rfind(prefix, 0) != 0) {
        break;
      }
      if (answer.rows.size() == limit) {
        answer.has_more = true;
        break;
      }
      answer.rows.push_back(it->second);
    }
    return answer;
  }

  /// Returns a port whose calls complete synchronously.
  table_port Port() {
    table_port port;
    port.commit = [this](const table_transaction& transaction,
                         const std::function<void(commit_answer)>& done) {
      done(Commit(transaction));
    };
    port.read = [this](const std::vector<std::string>& keys,
                       const std::function<void(read_answer)>& done) {
      read_answer answer{is_down ? answer_state::kNotDone : answer_state::kDone,
                         {}};
      for (const std::string& key : keys) {
        answer.rows.push_back(Read(key));
      }
      done(std::move(answer));
    };
    port.scan = [this](const std::string& prefix, const std::string& after,
                       std::size_t limit,
                       const std::function<void(read_answer)>& done) {
      ++scans;
      done(Scan(prefix, after, limit));
    };
    return port;
  }

  bool is_down = false;       ///< Calls fail without effect.
  bool loses_answer = false;  ///< Commits take effect, but answer kUnknown.
  std::size_t max_row_bytes = 65'536;           ///< Of a value.
  std::size_t max_transaction_bytes = 750'000;  ///< Of all values together.
  int refusals = 0;  ///< Number of transactions that were too large.
  int commits = 0;   ///< Number of transactions that took effect.
  int scans = 0;     ///< Number of scans through Port().
  std::map<std::string, table_row> rows;  ///< By key.

 private:
  bool IsTooLarge(const table_transaction& transaction) const {
    std::size_t bytes = 0;
    for (const table_write& write : transaction) {
      if (write.value.size() > max_row_bytes) {
        return true;
      }
      bytes += write.value.size();
    }
    return bytes > max_transaction_bytes;
  }

  std::uint64_t revision_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_TESTS_FAKE_TABLE_H_

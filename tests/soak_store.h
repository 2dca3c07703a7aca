#ifndef SASSAFRAS_TESTS_SOAK_STORE_H_
#define SASSAFRAS_TESTS_SOAK_STORE_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "sassafras/net/object_port.h"
#include "sassafras/net/table_port.h"
#include "tests/soak_driver.h"

namespace sassafras {

/// Fake table service and object store with fault injection: outages, slow
/// answers, lost answers, writes that take effect late and stale reads.
class soak_store {
 public:
  explicit soak_store(soak_driver& driver) : driver_(driver) {}

  void Commit(table_transaction transaction,
              std::function<void(commit_answer)> done) {
    if (IsCallRefused("store_commit_refused")) {
      Answer(done,
             commit_answer{
                 answer_state::kNotDone, error_kind::kStoreUnavailable, {}});
      return;
    }
    const commit_answer lost{
        answer_state::kUnknown, error_kind::kStoreUnknown, {}};
    const int draw = driver_.IsFaulty() ? driver_.Pick(100) : 99;
    if (draw < 3) {
      driver_.Note("fault_commit_answer_lost");
      Apply(transaction);
      Answer(done, lost);
    } else if (draw < 6) {
      driver_.Note("fault_commit_late");
      driver_.After(driver_.Delay() * 20, [this, transaction] {
        driver_.met.Add(Apply(transaction).state == answer_state::kDone
                            ? "late_commit_took_effect"
                            : "late_commit_conflicted");
      });
      Answer(done, lost);
    } else if (draw < 8) {
      driver_.Note("fault_commit_lost");
      Answer(done, lost);
    } else {
      // It takes effect between the call and the answer.
      driver_.After(driver_.Delay(), [this, transaction, done] {
        Answer(done, Apply(transaction));
      });
    }
  }

  void Read(const std::vector<std::string>& keys,
            std::function<void(read_answer)> done) {
    if (IsCallRefused("store_read_refused")) {
      Answer(done, read_answer{});
      return;
    }
    driver_.After(driver_.Delay(), [this, keys, done] {
      const bool is_stale = IsReadStale();
      read_answer answer{answer_state::kDone, {}};
      for (const std::string& key : keys) {
        answer.rows.push_back(Get(is_stale ? stale_rows_ : rows, key));
      }
      Answer(done, std::move(answer));
    });
  }

  void Scan(const std::string& prefix,
            const std::string& after,
            std::size_t limit,
            std::function<void(read_answer)> done) {
    if (IsCallRefused("store_scan_refused")) {
      Answer(done, read_answer{});
      return;
    }
    driver_.After(driver_.Delay(), [=, this] {
      const auto& from = IsReadStale() ? stale_rows_ : rows;
      read_answer answer{answer_state::kDone, {}};
      for (auto it = from.upper_bound(std::max(prefix, after));
           it != from.end() && it->first.starts_with(prefix) &&
           answer.rows.size() < limit;
           ++it) {
        if (it->second.version != 0) {
          answer.rows.push_back(it->second);
        }
      }
      Answer(done, std::move(answer));
    });
  }

  void Put(const std::string& name,
           const std::string& value,
           std::function<void(answer_state)> done) {
    if (IsCallRefused("store_put_refused")) {
      Answer(done, answer_state::kNotDone);
      return;
    }
    objects[name] = value;
    const bool is_lost = driver_.IsFaulty() && driver_.Chance(3);
    Answer(done, is_lost ? answer_state::kUnknown : answer_state::kDone);
  }

  void GetObject(const std::string& name,
                 std::function<void(object_answer)> done) {
    if (IsCallRefused("store_get_refused")) {
      Answer(done, object_answer{});
      return;
    }
    const auto it = objects.find(name);
    Answer(done, it == objects.end()
                     ? object_answer{answer_state::kDone, false, {}}
                     : object_answer{answer_state::kDone, true, it->second});
  }

  /// Copies the current rows; stale reads answer from the copy.
  void Snapshot() { stale_rows_ = rows; }

  bool is_down = false;
  bool is_slow = false;
  bool are_reads_stale = false;
  std::map<std::string, table_row> rows;
  std::map<std::string, std::string> objects;
  /// Called on each change of a row, other than its erasure, with the old row
  /// and the new one.
  std::function<void(const table_row&, const table_row&)> on_change;

 private:
  static table_row Get(const std::map<std::string, table_row>& from,
                       const std::string& key) {
    const auto it = from.find(key);
    return it == from.end() ? table_row{key, "", 0} : it->second;
  }

  bool IsReadStale() {
    const bool is_stale = are_reads_stale && driver_.Chance(50);
    if (is_stale) {
      driver_.met.Add("fault_read_lagged");
    }
    return is_stale;
  }

  bool IsCallRefused(const char* counter) {
    if (is_down) {
      driver_.met.Add(counter);
    }
    return is_down;
  }

  commit_answer Apply(const table_transaction& transaction) {
    commit_answer answer{answer_state::kNotDone, error_kind::kConflict, {}};
    for (const table_write& write : transaction) {
      if (Get(rows, write.key).version != write.expected_version) {
        answer.rows.push_back(Get(rows, write.key));
      }
    }
    if (!answer.rows.empty()) {
      return answer;
    }
    answer.state = answer_state::kDone;
    for (const table_write& write : transaction) {
      const table_row old_row = Get(rows, write.key);
      const table_row new_row{write.key, write.value, ++versions_};
      if (write.should_erase) {
        rows.erase(write.key);
      } else {
        rows[write.key] = new_row;
        if (on_change) {
          on_change(old_row, new_row);
        }
      }
      answer.rows.push_back({write.key, "", versions_});
    }
    return answer;
  }

  template <class Answered>
  void Answer(std::function<void(Answered)> done, Answered answer) {
    driver_.After(
        driver_.Delay() * (is_slow ? 20 : 1),
        [done = std::move(done), answer = std::move(answer)] { done(answer); });
  }

  soak_driver& driver_;
  std::uint64_t versions_ = 0;
  std::map<std::string, table_row> stale_rows_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_TESTS_SOAK_STORE_H_

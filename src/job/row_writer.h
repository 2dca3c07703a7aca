#ifndef SASSAFRAS_JOB_ROW_WRITER_H_
#define SASSAFRAS_JOB_ROW_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"
#include "sassafras/job/job_event.h"
#include "sassafras/job/job_row.h"

namespace sassafras::job {

/// One row to write, with the version that it replaces.
struct row_change {
  job_row row;
  std::uint64_t expected_version = 0;
};

/// Result of a transaction.
struct write_result {
  struct recorded_row {
    job_row row;
    std::uint64_t version = 0;
  };
  std::vector<recorded_row> recorded;
  std::vector<table_row> superseded;  ///< Another writer changed these first.
};

/// Writes job rows in batches, one transaction at a time, in the order in which
/// they became due. A write without an answer is repeated under the same
/// expected version. If the first write had taken effect, the conflict returns
/// the row that was sent, which then counts as recorded.
class row_writer {
 public:
  row_writer(std::size_t max_rows, counter_table& counters)
      : max_rows_(max_rows), counters_(counters) {}

  /// Considers the row of `job` for the next transaction.
  void MarkDue(const job_id& job);

  /// Erases a marker in the next transaction.
  void EraseMarker(const job_id& job, std::uint64_t version);

  /// Whether this version of the marker is erased or queued to be erased.
  bool IsErasing(const job_id& job, std::uint64_t version) const;

  /// Returns the next transaction, if there is one to send. `next` returns the
  /// change to write for a due job, or nothing.
  std::optional<commit_rows> Next(
      instant now,
      const std::function<std::optional<row_change>(const job_id&)>& next);

  /// Processes the answer to a transaction.
  write_result OnAnswer(instant now, const rows_committed& answered);

  /// Drops all state when ownership is lost or gained. The answer to a
  /// transaction in flight is then ignored.
  void Clear();

 private:
  void AddMarkers(table_transaction& transaction);
  write_result OnDone(const commit_answer& answer);
  write_result OnConflict(const commit_answer& answer);
  void MarkSentDue();

  std::size_t max_rows_;
  counter_table& counters_;
  std::deque<job_id> due_;
  std::set<job_id> due_set_;
  std::map<job_id, std::uint64_t> markers_;
  std::map<job_id, std::uint64_t> erased_markers_;
  std::uint64_t last_commit_ = 0;
  bool is_in_flight_ = false;
  std::map<std::string, job_row> sent_rows_;        // By key.
  std::map<std::string, std::string> sent_values_;  // By key.
  std::map<job_id, std::uint64_t> sent_markers_;
  instant next_send_;
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_ROW_WRITER_H_

#ifndef SASSAFRAS_JOB_ROW_SCANNER_H_
#define SASSAFRAS_JOB_ROW_SCANNER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/job/job_event.h"

namespace sassafras::job {

/// Reads all rows of a prefix page by page, one pass at a time.
class row_scanner {
 public:
  row_scanner(std::string prefix, std::size_t limit)
      : prefix_(std::move(prefix)), limit_(limit) {}

  /// Begins a pass and abandons an earlier one. `scan` must be unique.
  scan_rows Start(std::uint64_t scan);

  /// Whether a pass is in progress.
  bool IsActive() const { return is_active_; }

  /// Whether `answered` belongs to the pass in progress.
  bool Owns(const rows_scanned& answered) const {
    return is_active_ && answered.scan == scan_;
  }

  /// Adds a page and returns the next scan. Empty at the end of the pass,
  /// whether it succeeded or failed.
  std::optional<scan_rows> OnPage(const rows_scanned& answered);

  /// Abandons the pass.
  void Stop() { is_active_ = false; }

  /// Whether the last pass read all rows.
  bool IsComplete() const { return is_complete_; }

  /// Moves the rows of a complete pass out of the scanner.
  std::vector<table_row> TakeRows() { return std::move(rows_); }

 private:
  std::string prefix_;
  std::size_t limit_;
  std::uint64_t scan_ = 0;
  bool is_active_ = false;
  bool is_complete_ = false;
  std::vector<table_row> rows_;
};

}  // namespace sassafras::job

#endif  // SASSAFRAS_JOB_ROW_SCANNER_H_

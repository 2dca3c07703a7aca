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

  /// Begins a pass; an earlier one is given up. `scan` must be unique.
  scan_rows Start(std::uint64_t scan);

  /// Whether a pass is under way.
  bool IsActive() const { return is_active_; }

  /// Whether `answered` belongs to the pass under way.
  bool Owns(const rows_scanned& answered) const {
    return is_active_ && answered.scan == scan_;
  }

  /// Takes in a page and returns the next scan. Empty at the end of the pass,
  /// good or bad.
  std::optional<scan_rows> OnPage(const rows_scanned& answered);

  /// Gives the pass up.
  void Stop() { is_active_ = false; }

  /// Whether the last pass read everything.
  bool IsComplete() const { return is_complete_; }

  /// Takes the rows of a complete pass.
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

#include "src/job/row_scanner.h"

#include <iterator>
#include <utility>

namespace sassafras::job {

scan_rows row_scanner::Start(std::uint64_t scan) {
  scan_ = scan;
  is_active_ = true;
  is_complete_ = false;
  rows_.clear();
  return {scan_, prefix_, {}, limit_};
}

std::optional<scan_rows> row_scanner::OnPage(const rows_scanned& answered) {
  if (answered.answer.state != answer_state::kDone) {
    is_active_ = false;
    return std::nullopt;
  }
  const std::vector<table_row>& page = answered.answer.rows;
  rows_.insert(rows_.end(), page.begin(), page.end());
  if (page.size() < limit_) {
    is_active_ = false;
    is_complete_ = true;
    return std::nullopt;
  }
  return scan_rows{scan_, prefix_, page.back().key, limit_};
}

}  // namespace sassafras::job

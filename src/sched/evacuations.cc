#include "sassafras/sched/evacuations.h"

#include <algorithm>

namespace sassafras::sched {

void evacuations::OnScan(instant sent,
                         std::uint64_t store_version,
                         const std::vector<evacuation_row>& rows) {
  if (store_version < store_version_) {
    return;
  }
  places_.clear();
  OnChanges(sent, store_version, rows);
}

void evacuations::OnChanges(instant sent,
                            std::uint64_t store_version,
                            const std::vector<evacuation_row>& rows) {
  for (const evacuation_row& row : rows) {
    if (row.is_withdrawn) {
      places_.erase(row.place);
    } else {
      places_.insert(row.place);
    }
  }
  store_version_ = std::max(store_version_, store_version);
  confirmed_at_ = std::max(confirmed_at_, sent);
}

}  // namespace sassafras::sched

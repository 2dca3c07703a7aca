#include "sassafras/net/table_port.h"

#include <algorithm>

namespace sassafras {

const table_row* FindRow(const std::vector<table_row>& rows,
                         const std::string& key) {
  const auto it =
      std::find_if(rows.begin(), rows.end(),
                   [&](const table_row& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

}  // namespace sassafras

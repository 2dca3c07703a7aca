#ifndef SASSAFRAS_NET_TABLE_SCAN_H_
#define SASSAFRAS_NET_TABLE_SCAN_H_

#include <functional>
#include <string>

#include "sassafras/net/table_port.h"

namespace sassafras {

/// Reads all rows whose keys begin with `prefix`, page by page, and calls
/// `done` once: with all rows, and as `store_version` that of the first page,
/// so that no change after it is missed by following from there; or with the
/// state of the first page that failed, and no rows. The hooks of `table` must
/// outlive the call.
void ScanAll(const table_port& table,
             const std::string& prefix,
             std::function<void(read_answer)> done);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_TABLE_SCAN_H_

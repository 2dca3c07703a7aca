#ifndef SASSAFRAS_NET_TABLE_SCAN_H_
#define SASSAFRAS_NET_TABLE_SCAN_H_

#include <functional>
#include <string>
#include <vector>

#include "sassafras/net/table_port.h"

namespace sassafras {

/// Reads all rows whose keys begin with `prefix`, page by page, and calls
/// `done` once. On success `store_version` is that of the first page, so that
/// following from it misses no change made during the scan. If a page fails,
/// `done` receives its state and no rows. `table` must remain valid until
/// `done` is called.
void ScanAll(const table_port& table,
             const std::string& prefix,
             std::function<void(read_answer)> done);

/// Like ScanAll(), for the rows under each of `prefixes`, which are scanned
/// concurrently. On success `store_version` is the lowest of all scans; rows
/// are in no particular order.
void ScanPrefixes(const table_port& table,
                  const std::vector<std::string>& prefixes,
                  const std::function<void(read_answer)>& done);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_TABLE_SCAN_H_

#ifndef SASSAFRAS_PROGRAMS_STANDIN_PLATFORM_STORE_H_
#define SASSAFRAS_PROGRAMS_STANDIN_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/net/http_types.h"
#include "sassafras/net/table_port.h"

namespace sassafras {

/// The table service and object store of the stand-in, in memory.
class platform_store {
 public:
  /// Serves /table/commit, /table/read, /table/scan and /object/NAME. Reads
  /// show the rows as they stood `read_lag` before `now`.
  http_response Handle(const http_request& request,
                       instant now,
                       duration read_lag);

  /// Operations so far by the first segment of the row key, such as
  /// "write config", "read lease".
  const std::map<std::string, std::uint64_t>& Operations() const {
    return operations_;
  }

 private:
  struct old_row {
    instant until;  ///< When it was replaced.
    table_row row;
  };

  http_response Commit(const http_request& request, instant now);
  http_response Read(const http_request& request, instant as_of);
  http_response Scan(const http_request& request, instant as_of);
  http_response Object(const http_request& request);
  table_row RowAt(const std::string& key, instant as_of) const;
  void CountOperation(const std::string& kind, const std::string& key);

  std::map<std::string, table_row> rows_;
  std::deque<old_row> history_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::string> objects_;
  std::map<std::string, std::uint64_t> operations_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_STANDIN_PLATFORM_STORE_H_

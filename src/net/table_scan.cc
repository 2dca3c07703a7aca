#include "sassafras/net/table_scan.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <memory>
#include <mutex>
#include <utility>

namespace sassafras {
namespace {

// Maximum number of rows that the store returns in one answer.
constexpr std::size_t kPageRows = 500;

struct scan {
  const table_port& table;
  std::string prefix;
  std::function<void(read_answer)> done;
  read_answer combined;
  int pages = 0;
};

void ReadPage(const std::shared_ptr<scan>& reading) {
  const std::string after = reading->combined.rows.empty()
                                ? std::string()
                                : reading->combined.rows.back().key;
  reading->table.scan(
      reading->prefix, after, kPageRows, [reading](read_answer page) {
        if (page.state != answer_state::kDone) {
          page.rows.clear();
          reading->done(std::move(page));
          return;
        }
        read_answer& combined = reading->combined;
        if (reading->pages++ == 0) {
          combined.store_version = page.store_version;
        }
        combined.state = page.state;
        const bool has_more = page.has_more && !page.rows.empty();
        std::move(page.rows.begin(), page.rows.end(),
                  std::back_inserter(combined.rows));
        if (has_more) {
          ReadPage(reading);
        } else {
          reading->done(std::move(combined));
        }
      });
}

}  // namespace

void ScanAll(const table_port& table,
             const std::string& prefix,
             std::function<void(read_answer)> done) {
  ReadPage(std::make_shared<scan>(scan{table, prefix, std::move(done), {}, 0}));
}

void ScanPrefixes(const table_port& table,
                  const std::vector<std::string>& prefixes,
                  const std::function<void(read_answer)>& done) {
  struct scan_set {
    std::mutex mutex;
    read_answer combined{answer_state::kDone, {}};
    std::uint64_t lowest_version = std::numeric_limits<std::uint64_t>::max();
    std::size_t pending = 0;
  };
  const auto set = std::make_shared<scan_set>();
  set->pending = prefixes.size();
  for (const std::string& prefix : prefixes) {
    ScanAll(table, prefix, [set, done](read_answer part) {
      {
        const std::lock_guard lock(set->mutex);
        read_answer& combined = set->combined;
        if (part.state != answer_state::kDone) {
          combined.state = part.state;
        }
        set->lowest_version = std::min(set->lowest_version, part.store_version);
        std::move(part.rows.begin(), part.rows.end(),
                  std::back_inserter(combined.rows));
        if (--set->pending > 0) {
          return;
        }
        combined.store_version = set->lowest_version;
        if (combined.state != answer_state::kDone) {
          combined.rows.clear();
        }
      }
      done(std::move(set->combined));
    });
  }
}

}  // namespace sassafras

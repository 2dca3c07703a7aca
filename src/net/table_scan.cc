#include "sassafras/net/table_scan.h"

#include <cstddef>
#include <iterator>
#include <memory>
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

}  // namespace sassafras

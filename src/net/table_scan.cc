#include "sassafras/net/table_scan.h"

#include <cstddef>
#include <iterator>
#include <memory>
#include <utility>

namespace sassafras {
namespace {

// The store returns at most so many rows in one answer.
constexpr std::size_t kPageRows = 500;

struct scan {
  const table_port& table;
  std::string prefix;
  std::function<void(read_answer)> done;
  read_answer whole;
  int pages = 0;
};

void ReadPage(const std::shared_ptr<scan>& reading) {
  const std::string after = reading->whole.rows.empty()
                                ? std::string()
                                : reading->whole.rows.back().key;
  reading->table.scan(
      reading->prefix, after, kPageRows, [reading](read_answer page) {
        if (page.state != answer_state::kDone) {
          page.rows.clear();
          reading->done(std::move(page));
          return;
        }
        read_answer& whole = reading->whole;
        if (reading->pages++ == 0) {
          whole.store_version = page.store_version;
        }
        whole.state = page.state;
        const bool has_more = page.has_more && !page.rows.empty();
        std::move(page.rows.begin(), page.rows.end(),
                  std::back_inserter(whole.rows));
        if (has_more) {
          ReadPage(reading);
        } else {
          reading->done(std::move(whole));
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

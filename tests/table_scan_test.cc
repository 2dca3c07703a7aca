#include <catch2/catch.hpp>
#include <optional>

#include "sassafras/net/table_scan.h"
#include "tests/fake_table.h"

namespace sassafras {
namespace {

TEST_CASE("A scan returns all rows for any number of pages") {
  fake_table table;
  const int count = GENERATE(0, 1, 500, 501, 1900);
  for (int i = 0; i < count; ++i) {
    const std::string key = "minions/" + std::to_string(10'000 + i);
    table.Commit({{key, 0, "row"}});
  }
  table.Commit({{"minionsbeside/1", 0, "of another table"}});
  table_port port = table.Port();
  std::optional<read_answer> scanned;
  const auto store_answer = [&](read_answer answer) {
    scanned = std::move(answer);
  };

  SECTION("each row is returned once, in key order") {
    ScanAll(port, "minions/", store_answer);
    REQUIRE(scanned);
    CHECK(scanned->state == answer_state::kDone);
    REQUIRE(static_cast<int>(scanned->rows.size()) == count);
    for (int i = 0; i < count; ++i) {
      CHECK(scanned->rows.at(static_cast<std::size_t>(i)).key ==
            "minions/" + std::to_string(10'000 + i));
    }
  }
  SECTION("scans of several prefixes are combined") {
    ScanPrefixes(port, {"minions/", "minionsbeside/"}, store_answer);
    REQUIRE(scanned);
    CHECK(static_cast<int>(scanned->rows.size()) == count + 1);

    SECTION("and one that fails fails them all") {
      port.scan = [&](const std::string& prefix, const std::string& after,
                      std::size_t limit,
                      const std::function<void(read_answer)>& done) {
        table.is_down = prefix == "minionsbeside/";
        done(table.Scan(prefix, after, limit));
      };
      ScanPrefixes(port, {"minions/", "minionsbeside/"}, store_answer);
      CHECK(scanned->state == answer_state::kNotDone);
      CHECK(scanned->rows.empty());
    }
  }
  SECTION("following from the result misses no change made during the scan") {
    const std::uint64_t before = table.Scan("", "", 1).store_version;
    port.scan = [&](const std::string& prefix, const std::string& after,
                    std::size_t limit,
                    const std::function<void(read_answer)>& done) {
      const read_answer page = table.Scan(prefix, after, limit);
      table.Commit({{"other/" + std::to_string(table.commits), 0, ""}});
      done(page);
    };
    ScanAll(port, "minions/", store_answer);
    REQUIRE(scanned);
    CHECK(scanned->store_version == before);
  }
  SECTION("a failed page fails the scan and returns no rows") {
    int pages = 0;
    port.scan = [&](const std::string& prefix, const std::string& after,
                    std::size_t limit,
                    const std::function<void(read_answer)>& done) {
      table.is_down = ++pages > 1;
      done(table.Scan(prefix, after, limit));
    };
    ScanAll(port, "minions/", store_answer);
    REQUIRE(scanned);
    if (count > 500) {
      CHECK(scanned->state == answer_state::kNotDone);
      CHECK(scanned->rows.empty());
    } else {
      CHECK(scanned->state == answer_state::kDone);
    }
  }
}

}  // namespace
}  // namespace sassafras

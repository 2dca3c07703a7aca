#include "sassafras/cluster/publication.h"

#include <catch2/catch.hpp>

#include "sassafras/config/source_diff.h"
#include "tests/fake_table.h"

namespace sassafras {
namespace {

config_row Content(const std::string& token) {
  return {0, "config-" + token, token, token};
}

read_answer ReadRows(const fake_table& table, const publication& item) {
  read_answer answer{
      table.is_down ? answer_state::kNotDone : answer_state::kDone, {}};
  for (const std::string& key : item.KeysToRead()) {
    answer.rows.push_back(table.Read(key));
  }
  return answer;
}

// Processes one read and commits the returned transaction, if any.
void Step(fake_table& table, publication& item) {
  if (const auto transaction = item.OnRead(ReadRows(table, item))) {
    item.OnCommit(table.Commit(*transaction));
  }
}

}  // namespace

TEST_CASE("A publication takes effect at most once and reports its outcome") {
  fake_table table;
  publication first(Content("a"), std::nullopt);

  SECTION("it replaces the version row and adds a history row atomically") {
    Step(table, first);
    CHECK(first.State() == publish_state::kPublished);
    CHECK(first.Version() == 1);
    CHECK(table.rows.size() == 2);
    CHECK(table.rows.contains(ConfigHistoryKey(1)));
  }
  SECTION("the loser of two concurrent publications learns the winner") {
    publication second(Content("b"), std::nullopt);
    const auto transaction = second.OnRead(ReadRows(table, second));
    Step(table, first);
    second.OnCommit(table.Commit(*transaction));
    CHECK(second.State() == publish_state::kOpen);
    Step(table, second);
    CHECK(second.State() == publish_state::kConflict);
    CHECK(second.Winner().token == "a");
    CHECK(table.commits == 1);
  }
  SECTION("a publication based on an older version is a conflict") {
    Step(table, first);
    publication second(Content("b"), 0);
    Step(table, second);
    CHECK(second.State() == publish_state::kConflict);
  }
  SECTION("a lost answer is resolved by the token") {
    table.loses_answer = true;
    Step(table, first);
    CHECK(first.State() == publish_state::kUnknown);
    table.loses_answer = false;
    Step(table, first);
    CHECK(first.State() == publish_state::kPublished);
    CHECK(table.commits == 1);
  }
  SECTION("a publication with a lost answer is found after a later version") {
    table.loses_answer = true;
    Step(table, first);
    table.loses_answer = false;
    publication second(Content("b"), std::nullopt);
    Step(table, second);
    publication resumed = publication::Resume(Content("a"), 1);
    Step(table, resumed);
    CHECK(resumed.State() == publish_state::kPublished);
    CHECK(table.commits == 2);
  }
  SECTION("a stale history row beside a newer version row resolves nothing") {
    table.loses_answer = true;
    Step(table, first);
    table.loses_answer = false;
    publication second(Content("b"), std::nullopt);
    Step(table, second);
    REQUIRE(second.Version() == 2);
    read_answer lagging = ReadRows(table, first);
    REQUIRE(lagging.rows.size() == 2);
    lagging.rows[1] = {ConfigHistoryKey(1), "", 0};
    CHECK_FALSE(first.OnRead(lagging));
    CHECK(first.State() == publish_state::kUnknown);
    Step(table, first);
    CHECK(first.State() == publish_state::kPublished);
  }
  SECTION("a resumed publication whose version is taken is a conflict") {
    publication second(Content("b"), std::nullopt);
    Step(table, second);
    publication resumed = publication::Resume(Content("a"), 1);
    Step(table, resumed);
    CHECK(resumed.State() == publish_state::kConflict);
  }
  SECTION("with the store unavailable it is not done, or unknown once sent") {
    table.is_down = true;
    Step(table, first);
    CHECK(first.State() == publish_state::kNotDone);
    publication resumed = publication::Resume(Content("a"), 1);
    Step(table, resumed);
    CHECK(resumed.State() == publish_state::kUnknown);
  }
  SECTION("a stale read leads to a conflict and adds no second version") {
    Step(table, first);
    publication second(Content("b"), std::nullopt);
    const read_answer lagging{answer_state::kDone,
                              {{std::string(kConfigRowKey), "", 0}}};
    const auto transaction = second.OnRead(lagging);
    REQUIRE(transaction);
    second.OnCommit(table.Commit(*transaction));
    Step(table, second);
    CHECK(second.State() == publish_state::kConflict);
  }
}

TEST_CASE("A diff lists the lines that differ between two sets") {
  const std::vector<source_file> before{{"a.yaml", "x\ny\nz\n"},
                                        {"gone.yaml", "q\n"}};
  const std::vector<source_file> after{{"a.yaml", "x\nY\nz\nw\n"}};
  CHECK(DiffSources(before, after) ==
        "a.yaml:2: -y\na.yaml:2: +Y\na.yaml:4: +w\ngone.yaml:1: -q\n");
  CHECK(DiffSources(before, before).empty());
}

TEST_CASE("A drain marks exactly one object as leaving") {
  const std::string flow = "workers:\n  - {name: w1, rack: r}\n";
  CHECK(MarkLeaving({{"a.yaml", flow}}, "w1")->front().text ==
        "workers:\n  - {name: w1, rack: r, leaving: true}\n");
  const std::string block = "targets:\n  - name: t\n    minions: []\n";
  CHECK(MarkLeaving({{"a.yaml", block}}, "t")->front().text ==
        "targets:\n  - name: t\n    leaving: true\n    minions: []\n");
  CHECK_FALSE(MarkLeaving({{"a.yaml", flow}}, "w"));
}

}  // namespace sassafras

#include "programs/entry/config_watch.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace sassafras {
namespace {

using namespace std::chrono_literals;

// The operator's table. The test decides when and how each call is answered.
struct scripted_table {
  table_port Port() {
    table_port port;
    port.scan = [this](const std::string& /*prefix*/,
                       const std::string& /*after*/, std::size_t /*limit*/,
                       std::function<void(read_answer)> done) {
      scans.push_back(std::move(done));
    };
    port.follow = [this](const std::string& /*prefix*/, std::uint64_t /*after*/,
                         duration /*wait*/,
                         std::function<void(follow_answer)> done) {
      feeds.push_back(std::move(done));
    };
    return port;
  }

  void AnswerScan(const std::string& config, std::uint64_t version) {
    REQUIRE_FALSE(scans.empty());
    const auto done = std::move(scans.back());
    scans.pop_back();
    read_answer answer;
    answer.state = answer_state::kDone;
    answer.store_version = version;
    answer.rows.push_back({"op/config", config, version});
    done(answer);
  }

  void AnswerFeed(const std::string& config, std::uint64_t version) {
    follow_answer answer;
    answer.state = answer_state::kDone;
    answer.store_version = version;
    answer.rows.push_back({"op/config", config, version});
    AnswerFeed(answer);
  }

  void AnswerFeed(const follow_answer& answer) {
    REQUIRE_FALSE(feeds.empty());
    const auto done = std::move(feeds.back());
    feeds.pop_back();
    done(answer);
  }

  std::vector<std::function<void(read_answer)>> scans;
  std::vector<std::function<void(follow_answer)>> feeds;
};

// A process that watches the table. Configurations have the form
// "VERSION KEY KEY...".
struct watching_process {
  explicit watching_process(scripted_table& table) {
    adapter.table = table.Port();
    adapter.config_table = "op/";
    adapter.config_key = "op/config";
    adapter.decode_evacuation =
        [](const table_row& row) -> std::optional<sched::evacuation_row> {
      if (!row.key.starts_with("op/evacuate/")) {
        return std::nullopt;
      }
      return sched::evacuation_row{row.key.substr(12), row.is_erased};
    };
    adapter.decode_config =
        [](const std::string& text) -> result<sched::service_config> {
      std::istringstream words(text);
      sched::service_config config;
      if (!(words >> config.version)) {
        return Fail(error_kind::kMalformed, "no version");
      }
      for (std::string key; words >> key;) {
        config.team_of_key[key] = "team";
      }
      return config;
    };
    config_watch::hooks hooks;
    hooks.now = [this] { return now; };
    hooks.after = [this](duration, std::function<void()> action) {
      delayed.push_back(std::move(action));
    };
    hooks.on_config = [](const sched::service_config_ptr&) {};
    hooks.on_row = [](const table_row&) {};
    watch = config_watch::Make(adapter, counters, hooks);
    watch->Start();
  }

  bool KnowsKey(const std::string& key) const {
    return watch->Current() && watch->Current()->team_of_key.contains(key);
  }

  void RunDelayed() {
    for (const auto& action : std::exchange(delayed, {})) {
      action();
    }
  }

  instant now{1h};
  counter_table counters;
  platform_adapter adapter;
  std::vector<std::function<void()>> delayed;
  std::shared_ptr<config_watch> watch;
};

}  // namespace

TEST_CASE("A revoked key stays revoked") {
  scripted_table table;
  watching_process process(table);
  CHECK(process.watch->Current() == nullptr);
  CHECK(process.watch->Age() == duration::max());
  table.AnswerScan("5 old new", 10);
  REQUIRE(process.KnowsKey("old"));
  table.AnswerFeed("6 new", 11);
  REQUIRE_FALSE(process.KnowsKey("old"));

  SECTION("when the change feed returns an earlier version again") {
    table.AnswerFeed("5 old new", 12);
    CHECK_FALSE(process.KnowsKey("old"));
    CHECK(process.KnowsKey("new"));
  }
  SECTION("when a stale scan after lost history returns an earlier version") {
    follow_answer lost_history;
    lost_history.is_history_truncated = true;
    table.AnswerFeed(lost_history);
    table.AnswerScan("5 old new", 10);
    CHECK_FALSE(process.KnowsKey("old"));
  }
  SECTION("when a version is malformed, and the next one is applied") {
    table.AnswerFeed("garbage", 12);
    CHECK(process.counters.Get("config_malformed") == 1);
    CHECK(process.KnowsKey("new"));
    table.AnswerFeed("7 newest", 13);
    CHECK(process.KnowsKey("newest"));
  }
  SECTION("in a process that has restarted") {
    scripted_table table_after_restart;
    watching_process restarted(table_after_restart);
    CHECK_FALSE(restarted.KnowsKey("old"));
    CHECK(restarted.watch->Age() == duration::max());
    table_after_restart.AnswerScan("6 new", 11);
    CHECK_FALSE(restarted.KnowsKey("old"));
    CHECK(restarted.KnowsKey("new"));
  }
}

TEST_CASE(
    "The age of a configuration is counted from the sending of the call") {
  scripted_table table;
  watching_process process(table);
  process.now += 300ms;
  table.AnswerScan("5 key", 10);
  CHECK(process.watch->Age() == 300ms);

  SECTION("it grows while the store does not answer") {
    process.now += 2s;
    table.AnswerFeed(follow_answer{});
    CHECK(process.counters.Get("config_follow_failed") == 1);
    CHECK(process.watch->Age() == 2300ms);

    SECTION("until a repeated scan is answered") {
      process.RunDelayed();
      table.AnswerScan("5 key", 10);
      CHECK(process.watch->Age() == duration(0));
    }
  }
}

TEST_CASE("A process learns of evacuated data centres") {
  scripted_table table;
  watching_process process(table);
  table.AnswerScan("5 key", 10);
  CHECK(process.watch->Evacuations().Places().empty());
  follow_answer change;
  change.state = answer_state::kDone;
  change.store_version = 11;
  change.rows.push_back({"op/evacuate/lahore", "not JSON", 11});
  table.AnswerFeed(change);
  const std::set<std::string> lahore = {"lahore"};
  CHECK(process.watch->Evacuations().Places() == lahore);

  SECTION("it is taken back when its row is erased") {
    change.store_version = 12;
    change.rows.front().is_erased = true;
    table.AnswerFeed(change);
    CHECK(process.watch->Evacuations().Places().empty());
  }
  SECTION("after lost history a scan tells which are still evacuated") {
    follow_answer lost_history;
    lost_history.is_history_truncated = true;
    table.AnswerFeed(lost_history);
    CHECK(process.watch->Evacuations().Places() == lahore);
    process.now += 2s;
    table.AnswerScan("5 key", 12);
    CHECK(process.watch->Evacuations().Places().empty());
  }
  SECTION("a stale scan neither takes it back nor confirms it") {
    follow_answer lost_history;
    lost_history.is_history_truncated = true;
    process.now += 2s;
    table.AnswerFeed(lost_history);
    table.AnswerScan("5 key", 10);
    CHECK(process.watch->Evacuations().Places() == lahore);
    CHECK(process.watch->Evacuations().ConfirmedAt() == instant(1h));
  }
}

}  // namespace sassafras

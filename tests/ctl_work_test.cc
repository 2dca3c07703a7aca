#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include "programs/ctl/commands.h"
#include "sassafras/net/http_server.h"

namespace sassafras {
namespace {

constexpr char kOwnersPage[] = R"({"id":"b","owner":"b","is_owner":true,
  "config_version":7,"config_age_ms":120,"store_away":false,
  "minions":[{"id":"m1","health":"usable","runs":2},
             {"id":"m2","health":"avoided","runs":0}],
  "work":{"waiting_units":{"0":1,"2":4},"running_units":3,"closing_units":0,
          "free_accelerators":9,"free_in_whole_minions":8,
          "teams":[{"team":"lab","guaranteed":16,"urgent":8,"other":24}]}})";

// Serves `page` on loopback at `address`, on its own thread.
class page_server {
 public:
  page_server(const std::string& address, std::string page) {
    http_server_options options;
    options.address = address;
    server_ = http_server::Make(
                  context_, options, counters_,
                  [page = std::move(page)](const http_exchange& exchange) {
                    http_response response;
                    response.body = page;
                    exchange.reply(response);
                  })
                  .value();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~page_server() {
    context_.stop();
    thread_.join();
  }

 private:
  boost::asio::io_context context_;
  counter_table counters_;
  std::shared_ptr<http_server> server_;
  std::thread thread_;
};

struct command_result {
  int code = 0;
  std::string text;
};

command_result RunWork(const ctl_options& options) {
  std::ostringstream text;
  std::streambuf* const before = std::cout.rdbuf(text.rdbuf());
  const int code = WorkCommands().front().run(options);
  std::cout.rdbuf(before);
  return {code, text.str()};
}

TEST_CASE("sassafras-ctl work shows the status page of the owner") {
  const page_server other("127.0.0.1:26101", R"({"is_owner":false})");
  const page_server owner("127.0.0.1:26102", kOwnersPage);
  ctl_options options;
  options.platform = {"127.0.0.1:1"};
  options.entries = {"127.0.0.1:26101", "127.0.0.1:26102"};

  SECTION("load, borrowing teams and minions that are not usable are printed") {
    const command_result shown = RunWork(options);
    CHECK(shown.code == kExitOk);
    CHECK(shown.text.find("owner b, configuration 7") != std::string::npos);
    CHECK(shown.text.find("team lab: guaranteed 16, urgent jobs hold 8, other "
                          "jobs hold 24; borrows 16") != std::string::npos);
    CHECK(shown.text.find("minion m2: avoided") != std::string::npos);
    CHECK(shown.text.find("minions usable: 1") != std::string::npos);
  }
  SECTION("with --json the page is printed unchanged") {
    options.prints_json = true;
    CHECK(RunWork(options).text.find("\"free_in_whole_minions\":8") !=
          std::string::npos);
  }
  SECTION("the command fails if no process owns the jobs") {
    options.entries = {"127.0.0.1:26101"};
    CHECK(RunWork(options).code == kExitRefused);
  }
  SECTION("a call without --entry is a usage error") {
    options.entries.clear();
    CHECK(RunWork(options).code == kExitUsage);
  }
}

}  // namespace
}  // namespace sassafras

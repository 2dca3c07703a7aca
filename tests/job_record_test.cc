#include <catch2/catch.hpp>
#include <string>

#include "sassafras/sched/job_codec.h"

namespace sassafras::sched {
namespace {

TEST_CASE("A tombstone tells a refused submission from a cancelled job") {
  for (const job_row_kind kind :
       {job_row_kind::kRefused, job_row_kind::kCancelled}) {
    INFO(GetName(kind));
    const auto decoded = DecodeJobRow(EncodeJobRow({kind, {}}));
    REQUIRE(decoded);
    CHECK(decoded.value().kind == kind);
  }
}

TEST_CASE("The record of a job keeps what the next owner needs") {
  job_record record;
  record.state = job_state::kRunning;
  recorded_unit unit{1, 2, 3, 4, 1, false, "00000bb87a21d94b", {}, true};
  unit.crashes = {{3, 2, 1}};
  unit.unresolved = {{3, "i-0", 1'787'689'055'000, "10.0.0.2:80"}};
  unit.members.push_back({3, "i-25a72096d5", 1'787'689'055'116, "10.0.0.1:80"});
  record.units.push_back(unit);

  SECTION("the address of each member's minion") {
    const auto decoded = DecodeRecord(EncodeRecord(record));
    REQUIRE(decoded);
    const recorded_unit& restored = decoded.value().units.at(0);
    CHECK(restored.members.at(0).minion == "i-25a72096d5");
    CHECK(restored.members.at(0).address == "10.0.0.1:80");
    CHECK(restored.has_run_failed);
  }
  SECTION("and the crashes under its tasks") {
    const auto decoded = DecodeRecord(EncodeRecord(record));
    REQUIRE(decoded);
    const recorded_unit& restored = decoded.value().units.at(0);
    REQUIRE(restored.crashes.size() == 1);
    CHECK(restored.crashes[0].index == 3);
    CHECK(restored.crashes[0].crashes == 2);
    CHECK(restored.crashes[0].blamed == 1);
    REQUIRE(restored.unresolved.size() == 1);
    CHECK(restored.unresolved[0].minion == "i-0");
    CHECK(restored.unresolved[0].address == "10.0.0.2:80");
  }
  SECTION("and what is done, over occurrences and indexes") {
    record.done = {{2, 0, 1, 5, 3}, {3, 7, 2, 7, 9}};
    const std::string row = EncodeRecord(record);
    const auto decoded = DecodeRecord(row);
    REQUIRE(decoded);
    REQUIRE(decoded.value().done.size() == 2);
    for (std::size_t i = 0; i < 2; ++i) {
      const done_units& restored = decoded.value().done[i];
      CHECK(restored.step == record.done[i].step);
      CHECK(restored.first_occurrence == record.done[i].first_occurrence);
      CHECK(restored.first_index == record.done[i].first_index);
      CHECK(restored.last_occurrence == record.done[i].last_occurrence);
      CHECK(restored.last_index == record.done[i].last_index);
    }

    SECTION("in the form of earlier builds within one occurrence") {
      CHECK(row.find("[7,3,2,9]") != std::string::npos);
    }
  }
  SECTION("and rows of earlier builds have no addresses") {
    const auto decoded =
        DecodeRecord(R"({"format":1,"state":1,"done":[],)"
                     R"("units":[[0,0,0,1,0,false,"",[[0,"m",1000]]]]})");
    REQUIRE(decoded);
    CHECK(decoded.value().units.at(0).members.at(0).address.empty());
  }
  SECTION("in one row, however many tasks are in progress") {
    record.units.clear();
    for (int index = 0; index < kMaxTasksInProgress; ++index) {
      recorded_unit wide{9999, 999, 9999, 99'999, 9, false, "00000bb87a21d94b",
                         {},   true};
      wide.crashes = {{9999, 4, 4}};
      wide.members.push_back(
          {9999, "i-25a72096d5", 1'787'689'055'116, "255.255.255.255:65535"});
      if (index < static_cast<int>(kMaxUnresolvedMembers)) {
        wide.unresolved = wide.members;
      }
      record.units.push_back(wide);
    }
    CHECK(EncodeRecord(record).size() <= kMaxRowBytes);
  }
}

}  // namespace
}  // namespace sassafras::sched

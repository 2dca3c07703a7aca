#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/sched/upkeep_codec.h"
#include "sassafras/sched/upkeep_core.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

// Simulated platform: an upkeep takes a machine down for 2 s, after which the
// machine is up with another minion. Records are durable when they are written.
struct upkeep_world {
  upkeep_world() {
    for (int i = 0; i < 4; ++i) {
      const std::string id = "m" + std::to_string(i);
      rows[id] = {id, "lab", machine_state::kUp, "old-" + id};
    }
    work.cordon = [this](const std::string& minion, bool is_cordoned) {
      if (is_cordoned) {
        cordoned.insert(minion);
        was_cordoned.insert(minion);
      } else {
        cordoned.erase(minion);
      }
    };
    work.drain = [this](const std::string& minion, bool is_forced) {
      forced_drains += is_forced ? 1 : 0;
      return is_forced || !busy.contains(minion);
    };
    ReplaceOwner();
  }

  // Replaces the owner by a new one that knows only what is durable. The new
  // owner excludes no minion at first.
  void ReplaceOwner() {
    std::vector<wave_record> records;
    for (const auto& [number, text] : record_rows) {
      records.push_back(DecodeWaveRecord(text).value());
    }
    cordoned.clear();
    was_cordoned.clear();
    core = std::make_unique<upkeep_core>("front-1", ++fence, now, records,
                                         counters);
    for (const auto& [wave, first_seen] : waves) {
      core->OnWave(first_seen, wave);
    }
  }

  void Wave(int max_concurrent, duration deadline) {
    waves.push_back(
        {{7, {"m0", "m1", "m2", "m3"}, deadline, max_concurrent}, now});
    core->OnWave(now, waves.back().first);
  }

  void Run(duration length) {
    for (const instant end = now + length; now < end; now += 100ms) {
      std::vector<machine_row> listed;
      for (auto& [id, row] : rows) {
        if (row.state == machine_state::kUpkeep && now >= up_again_at[id]) {
          row.state = machine_state::kUp;
          row.minion = "new-" + id;
        }
        listed.push_back(row);
      }
      core->OnMachines(now, listed);
      const upkeep_actions actions = core->Decide(now, work);
      is_list_needed = actions.needs_machine_list;
      for (const upkeep_order& order : actions.orders) {
        CarryOut(order);
      }
      for (const wave_record& record : actions.records) {
        Store(record);
      }
      int down = 0;
      for (const auto& [id, row] : rows) {
        down += row.state == machine_state::kUpkeep ? 1 : 0;
      }
      max_down = std::max(max_down, down);
    }
  }

  void Store(const wave_record& record) {
    if (is_store_down) {
      core->OnRecorded(record.wave, false);
      return;
    }
    record_rows[record.wave] = EncodeWaveRecord(record);
    is_complete = record.is_complete;
    core->OnRecorded(record.wave, true);
  }

  // Delivers an order: at once, or when DeliverHeldOrders() is called.
  void CarryOut(const upkeep_order& order) {
    ++orders[order.machine];
    if (are_orders_held) {
      held_orders.push_back(order);
      core->OnOrdered(now, order, upkeep_outcome::kUnknown);
      return;
    }
    Execute(order);
    core->OnOrdered(
        now, order,
        are_answers_lost ? upkeep_outcome::kUnknown : upkeep_outcome::kBegun);
  }

  // The platform refuses an order whose fence is lower than that of an earlier
  // one for the same machine.
  void Execute(const upkeep_order& order) {
    if (order.fence < fences[order.machine]) {
      return;
    }
    fences[order.machine] = order.fence;
    machine_row& row = rows.at(order.machine);
    if (row.state == machine_state::kUp && row.minion.starts_with("old-")) {
      row.state = machine_state::kUpkeep;
      up_again_at[order.machine] = now + 2s;
      ++started;
    }
  }

  void DeliverHeldOrders() {
    for (const upkeep_order& order : std::exchange(held_orders, {})) {
      Execute(order);
    }
  }

  instant now{1h};
  counter_table counters;
  std::uint64_t fence = 2;
  std::unique_ptr<upkeep_core> core;
  upkeep_core::hooks work;
  std::vector<std::pair<upkeep_wave, instant>> waves;
  std::map<std::int64_t, std::string> record_rows;
  std::map<std::string, machine_row> rows;
  std::map<std::string, instant> up_again_at;
  std::map<std::string, std::uint64_t> fences;  // Highest seen, by machine.
  std::set<std::string> cordoned;
  std::set<std::string> was_cordoned;  // In this tenure.
  std::set<std::string> busy;
  std::map<std::string, int> orders;  // By machine.
  std::vector<upkeep_order> held_orders;
  bool are_orders_held = false;
  bool are_answers_lost = false;
  bool is_store_down = false;
  bool is_complete = false;
  bool is_list_needed = false;
  int forced_drains = 0;
  int started = 0;
  int max_down = 0;
};

TEST_CASE("Upkeep wave") {
  upkeep_world world;

  SECTION("takes each machine down once and keeps its limit of concurrency") {
    world.Wave(2, 60s);
    world.Run(1s);
    CHECK_FALSE(world.is_complete);
    world.Run(9s);
    CHECK(world.started == 4);
    CHECK(world.max_down == 2);
    CHECK(world.is_complete);
  }
  SECTION("waits for runs to end while its deadline allows it") {
    world.busy = {"old-m0"};
    world.Wave(1, 60s);
    world.Run(5s);
    CHECK(world.started == 0);
    CHECK(world.cordoned.contains("old-m0"));
    world.busy.clear();
    world.Run(12s);
    CHECK(world.is_complete);
    CHECK(world.forced_drains == 0);
  }
  SECTION("stops runs when its deadline is near") {
    world.busy = {"old-m0", "old-m1", "old-m2", "old-m3"};
    world.Wave(1, 16s);
    world.Run(16s);
    CHECK(world.started == 4);
    CHECK(world.forced_drains > 0);
  }
  SECTION(
      "counts a machine as down while the outcome of its order is unknown") {
    world.are_answers_lost = true;
    world.Wave(1, 60s);
    world.Run(1s);
    CHECK(world.started == 1);
    world.Run(4s);
    CHECK(world.started == 1);
    CHECK(world.max_down == 1);
    world.are_answers_lost = false;
    world.Run(20s);
    CHECK(world.started == 4);
    CHECK(world.max_down == 1);
    CHECK(world.is_complete);
  }
  SECTION("completes although one of its machines is missing from the list") {
    world.rows.erase("m2");
    world.Wave(4, 60s);
    world.Run(5s);
    CHECK(world.started == 3);
    CHECK(world.is_complete);
  }
  SECTION("orders no upkeep before the record that names it is durable") {
    world.is_store_down = true;
    world.Wave(2, 60s);
    world.Run(5s);
    CHECK(world.started == 0);
    world.is_store_down = false;
    world.Run(20s);
    CHECK(world.started == 4);
    CHECK(world.is_complete);
  }
  SECTION("cordons no minion once the machines are back, and reads no list") {
    world.Wave(4, 60s);
    world.Run(10s);
    CHECK(world.was_cordoned.size() == 4);
    CHECK(world.cordoned.empty());
    CHECK_FALSE(world.is_list_needed);
  }
  SECTION("drains the minion that has replaced the one it was draining") {
    world.busy = {"old-m0", "restarted-m0"};
    world.Wave(1, 60s);
    world.Run(1s);
    world.rows["m0"].minion = "restarted-m0";
    world.Run(1s);
    CHECK(world.orders.empty());
    CHECK(world.cordoned == std::set<std::string>{"restarted-m0"});
  }
  SECTION("drains a minion again before an order to it is repeated") {
    world.are_orders_held = true;
    world.Wave(1, 60s);
    world.Run(1s);
    const int sent = world.orders["m0"];
    CHECK(sent > 0);
    world.busy = {"old-m0"};
    world.Run(2s);
    CHECK(world.orders["m0"] == sent);
  }
}

// Guards against upkeeps that a new owner orders again, which kept their
// machines cordoned for as long as it owned the jobs.
TEST_CASE("Upkeep wave after a change of owner") {
  upkeep_world world;

  SECTION("a complete wave takes no machine out of service again") {
    world.Wave(2, 60s);
    world.Run(10s);
    REQUIRE(world.is_complete);
    world.orders.clear();
    world.ReplaceOwner();
    world.Run(30s);
    CHECK(world.orders.empty());
    CHECK(world.was_cordoned.empty());
    CHECK(world.forced_drains == 0);
    CHECK(world.is_complete);
    CHECK_FALSE(world.is_list_needed);
  }
  SECTION("a wave in progress goes on with the machines that remain") {
    world.Wave(1, 60s);
    world.Run(3500ms);
    REQUIRE(world.started == 2);
    REQUIRE_FALSE(world.is_complete);
    world.orders.clear();
    world.ReplaceOwner();
    world.Run(20s);
    CHECK(world.is_complete);
    CHECK(world.started == 4);
    CHECK(world.max_down == 1);
    CHECK(world.orders["m0"] == 0);
    CHECK(world.orders["m1"] == 0);
    CHECK(world.cordoned.empty());
    CHECK_FALSE(world.was_cordoned.contains("new-m0"));
  }
  SECTION("an order that takes effect late stays within the limit") {
    world.are_orders_held = true;
    world.Wave(1, 60s);
    world.Run(1s);
    REQUIRE_FALSE(world.held_orders.empty());
    world.are_orders_held = false;
    world.busy = {"old-m0"};
    world.ReplaceOwner();
    world.Run(300ms);
    world.DeliverHeldOrders();
    world.Run(30s);
    CHECK(world.is_complete);
    CHECK(world.started == 4);
    CHECK(world.max_down == 1);
  }
  SECTION("an upkeep that was done without its answer counts as over") {
    world.are_answers_lost = true;
    world.Wave(1, 60s);
    world.Run(2500ms);
    REQUIRE(world.rows["m0"].minion == "new-m0");
    world.are_answers_lost = false;
    world.ReplaceOwner();
    world.Run(30s);
    CHECK(world.is_complete);
    CHECK(world.started == 4);
    CHECK(world.cordoned.empty());
  }
  SECTION("the deadline still counts from the first sight of the wave") {
    world.busy = {"old-m0", "old-m1", "old-m2", "old-m3"};
    world.Wave(4, 12s);
    world.Run(4s);
    REQUIRE(world.started == 0);
    world.ReplaceOwner();
    world.Run(3s);
    CHECK(world.started == 4);
  }
  SECTION("an owner that met no record begins the wave") {
    world.is_store_down = true;
    world.Wave(2, 60s);
    world.Run(1s);
    world.is_store_down = false;
    world.ReplaceOwner();
    world.Run(15s);
    CHECK(world.is_complete);
    CHECK(world.started == 4);
  }
}

TEST_CASE("Under random faults a wave keeps its limit and ends") {
  const int seed = GENERATE(range(1, 41));
  INFO("seed " << seed);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const auto chance = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  upkeep_world world;
  const int limit = 1 + seed % 2;
  world.Wave(limit, 120s);
  for (int step = 0; step < 60; ++step) {
    world.are_orders_held = chance() < 0.2;
    world.are_answers_lost = chance() < 0.3;
    world.is_store_down = chance() < 0.2;
    if (chance() < 0.2) {
      world.DeliverHeldOrders();
    }
    if (chance() < 0.15) {
      world.ReplaceOwner();
    }
    if (chance() < 0.3) {
      world.busy.insert("old-m" + std::to_string(step % 4));
    } else {
      world.busy.clear();
    }
    world.Run(400ms);
  }
  world.are_orders_held = false;
  world.are_answers_lost = false;
  world.is_store_down = false;
  world.busy.clear();
  world.Run(40s);
  CHECK(world.started == 4);
  CHECK(world.max_down <= limit);
  CHECK(world.is_complete);
  CHECK(world.cordoned.empty());
  CHECK_FALSE(world.is_list_needed);
}

TEST_CASE("Wave record survives its encoding") {
  const wave_record record{
      7, true, {{"m0", "old-m0", true}, {"m1", "", false}}};
  CHECK(DecodeWaveRecord(EncodeWaveRecord(record)).value() == record);
  CHECK_FALSE(DecodeWaveRecord("{}"));
  CHECK_FALSE(
      DecodeWaveRecord(R"({"wave":1,"complete":false,"machines":[1]})"));
}

}  // namespace
}  // namespace sassafras::sched

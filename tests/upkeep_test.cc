#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "sassafras/sched/upkeep_core.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

// Simulated platform: an upkeep takes a machine down for 2 s, after which the
// machine is up with another minion.
struct upkeep_world {
  upkeep_world() {
    for (int i = 0; i < 4; ++i) {
      const std::string id = "m" + std::to_string(i);
      rows[id] = {id, "lab", machine_state::kUp, "old-" + id};
    }
    work.cordon = [this](const std::string& minion, bool /*is_cordoned*/) {
      cordoned.insert(minion);
    };
    work.drain = [this](const std::string& minion, bool is_forced) {
      forced_drains += is_forced ? 1 : 0;
      return is_forced || !busy.contains(minion);
    };
  }

  void Wave(int max_concurrent, duration deadline) {
    core.OnWave(now, {7, {"m0", "m1", "m2", "m3"}, deadline, max_concurrent});
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
      core.OnMachines(now, listed);
      const upkeep_actions actions = core.Decide(now, work);
      for (const wave_status& status : actions.statuses) {
        is_complete = status.is_complete;
      }
      for (const upkeep_order& order : actions.orders) {
        CarryOut(order);
      }
      int down = 0;
      for (const auto& [id, row] : rows) {
        down += row.state == machine_state::kUpkeep ? 1 : 0;
      }
      max_down = std::max(max_down, down);
    }
  }

  void CarryOut(const upkeep_order& order) {
    machine_row& row = rows.at(order.machine);
    if (row.state == machine_state::kUp && row.minion.starts_with("old-")) {
      row.state = machine_state::kUpkeep;
      up_again_at[order.machine] = now + 2s;
      ++started;
    }
    core.OnOrdered(
        now, order,
        are_answers_lost ? upkeep_outcome::kUnknown : upkeep_outcome::kBegun);
  }

  instant now{1h};
  counter_table counters;
  upkeep_core core{"front-1", 3, counters};
  upkeep_core::hooks work;
  std::map<std::string, machine_row> rows;
  std::map<std::string, instant> up_again_at;
  std::set<std::string> cordoned;
  std::set<std::string> busy;
  bool are_answers_lost = false;
  bool is_complete = false;
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
}

}  // namespace
}  // namespace sassafras::sched

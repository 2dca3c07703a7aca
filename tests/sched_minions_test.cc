#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tests/fleet_checks.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

TEST_CASE(
    "A minion restarts under the same id and the restart is not detected") {
  fake_fleet::options options;
  options.minions = 1;
  options.refuses_orders_to_earlier_incarnations = false;
  fake_fleet fleet(options);
  for (int i = 0; i < 3; ++i) {
    fleet.Submit(OneStep("before" + std::to_string(i), 1, 1, kSmall, 200ms));
  }
  REQUIRE(fleet.RunUntilEnded(5s));
  fleet.Run(1s);
  const std::string id = fleet.minions.begin()->first;
  fleet.RestartMinion(id);

  SECTION("a task started there afterwards runs once") {
    fleet.Submit(OneStep("a", 1, 1, kSmall, 50ms));
    REQUIRE(fleet.RunUntilEnded(5s));
    CHECK(fleet.StateOf("a") == job_state::kComplete);
    CheckNoViolations(fleet);
  }
  SECTION("a longer task is not started again while it may be running") {
    fleet.Submit(OneStep("a", 1, 1, kSmall, 3s));
    REQUIRE(fleet.RunUntilEnded(15s));
    CHECK(fleet.StateOf("a") == job_state::kComplete);
    CheckNoViolations(fleet);
  }
  SECTION("a new owner does not start it again either") {
    fleet.Submit(OneStep("a", 1, 1, kSmall, 2s));
    while (fleet.CountRunning("a") == 0) {
      fleet.Run(5ms);
    }
    fleet.ReplaceOwner();
    REQUIRE(fleet.RunUntilEnded(15s));
    CheckNoViolations(fleet);
  }
}

TEST_CASE("A partitioned minion continues its runs") {
  fake_fleet fleet({});
  fleet.Submit(OneStep("a", 1, 1, kSmall, 12s));
  fleet.Run(500ms);
  std::string partitioned;
  for (auto& [id, minion] : fleet.minions) {
    if (!minion.running.empty()) {
      partitioned = id;
      minion.is_partitioned = true;
    }
  }

  SECTION("its task starts elsewhere only after its lease has expired") {
    fleet.Run(5s);
    CHECK(fleet.starts["a"] == 1);
    fleet.Run(5s);
    CHECK(fleet.starts["a"] == 2);
    CheckNoViolations(fleet);
  }

  SECTION("its task is not started again if it reconnects in time") {
    fleet.Run(2s);
    fleet.minions.at(partitioned).is_partitioned = false;
    REQUIRE(fleet.RunUntilEnded(15s));
    CHECK(fleet.starts["a"] == 1);
    CheckNoViolations(fleet);
  }
}

// Guards against a task that runs twice, because the minion of its first run
// was granted a longer lease than the owner waits for.
TEST_CASE(
    "A minion with a slow clock is granted no longer lease after a pause") {
  fake_fleet fleet({});
  for (auto& [id, minion] : fleet.minions) {
    minion.clock_rate = 0.98;
  }
  fleet.Run(GENERATE(1s, 40s, 100s));
  fleet.Submit(OneStep("a", 1, 8, kWholeMinion, 20s));
  fleet.Run(100ms);
  REQUIRE(fleet.sent_starts.size() == 8);
  const auto longest = std::chrono::milliseconds(fake_fleet::kLease / 1ms);
  for (const start_order& order : fleet.sent_starts) {
    const fake_minion& minion = fleet.minions.at(order.minion.id);
    CHECK(order.lease_expiry_clock_ms <=
          minion.Clock(fleet.now) + longest.count());
  }
  REQUIRE(fleet.RunUntilEnded(30s));
  CHECK(fleet.starts["a"] == 8);
  CheckNoViolations(fleet);
}

TEST_CASE("A minion on which several jobs failed is avoided") {
  fake_fleet fleet({});
  fleet.minions.at("minion-100").fails_all_runs = true;
  for (int i = 0; i < 16; ++i) {
    fleet.Submit(OneStep("j" + std::to_string(i), 1, 1, kWholeMinion, 300ms));
  }
  REQUIRE(fleet.RunUntilEnded(20s));
  for (int i = 0; i < 16; ++i) {
    CHECK(fleet.StateOf("j" + std::to_string(i)) == job_state::kComplete);
  }
}

TEST_CASE("A persistent step runs until its job is cancelled") {
  fake_fleet fleet({});
  accepted_job job = OneStep("p", 1, 4, kSmall, 1s);
  job.spec.steps[0].is_persistent = true;
  job.spec.steps[0].max_unavailable = 1;
  job.spec.steps[0].max_per_minion = 1;
  fleet.Submit(job);
  fleet.Run(2s);
  REQUIRE(fleet.CountRunning("p") == 4);

  SECTION("it is restarted after more failures than its queue's attempts") {
    for (int i = 0; i < 5; ++i) {
      fleet.FailRuns("p");
      fleet.Run(2500ms);
      CHECK(fleet.CountRunning("p") == 4);
    }
    CHECK(fleet.StateOf("p") == job_state::kRunning);
  }
  SECTION("eviction respects its limit of unavailable tasks") {
    int min_running = 4;
    fleet.Submit(Gang("urgent", 0, 8));
    for (int i = 0; i < 200; ++i) {
      fleet.Run(10ms);
      min_running = std::min(min_running, fleet.CountRunning("p"));
    }
    CHECK(min_running >= 3);
  }
  SECTION("cancelling the job ends it") {
    fleet.Cancel("p");
    fleet.Run(1s);
    CHECK(fleet.CountRunning("p") == 0);
    CHECK(fleet.StateOf("p") == job_state::kCancelled);
  }
}

// Guards against starts that exceed a minion, because it is of another kind
// than its former incarnation, whose entry is still in the list.
TEST_CASE("A minion restarts as another kind under the same id") {
  fake_fleet::options options;
  options.minions = 1;
  fake_fleet fleet(options);
  fleet.Submit(OneStep("before", 1, 1, kSmall, 60s));
  fleet.Run(510ms);  // The list was read a moment ago.
  REQUIRE(fleet.CountRunning("before") == 1);
  fake_minion& minion = fleet.minions.begin()->second;
  minion.report.capacity.accelerators = 2;
  minion.report.labels = {"b", minion.report.rack};
  fleet.RestartMinion(minion.report.id);

  SECTION("it is given no more than it holds") {
    fleet.Submit(OneStep("after", 1, 8, kSmall, 300ms));
    fleet.Run(1500ms);
    CHECK(fleet.starts["after"] > 0);
    CheckNoViolations(fleet);
  }
  SECTION("it is given no task that needs a label it had") {
    accepted_job job = OneStep("labelled", 1, 1, kSmall, 300ms);
    job.spec.steps[0].required_label = "a";
    fleet.Submit(job);
    fleet.Run(1500ms);
    CHECK(fleet.starts["labelled"] == 0);
  }
}

// Guards against lasting tasks that are stopped for good, because the next
// owner is told again of an end that the former one has handled.
TEST_CASE("A persistent step outlives the owner that restarted its tasks") {
  fake_fleet fleet({});
  accepted_job job = OneStep("a", 1, 4, kSmall, 60s);
  job.spec.steps[0].is_persistent = true;
  fleet.Submit(job);
  fleet.Run(1s);
  REQUIRE(fleet.CountRunning("a") == 4);
  const run_end outcome =
      GENERATE(run_end::kDone, run_end::kFailed, run_end::kStopped);
  fleet.EndRuns("a", outcome);
  // Long enough for the next runs to start, too short for the ends to be
  // acknowledged.
  fleet.Run(150ms);
  REQUIRE(fleet.CountRunning("a") == 4);
  const bool is_end_pending =
      std::any_of(fleet.minions.begin(), fleet.minions.end(),
                  [](const auto& item) { return !item.second.ended.empty(); });
  REQUIRE(is_end_pending);
  fleet.ReplaceOwner();
  fleet.Run(4s);
  CHECK(fleet.StateOf("a") == job_state::kRunning);
  CHECK(fleet.CountRunning("a") == 4);
  CHECK(fleet.starts["a"] == 8);
}

TEST_CASE("Under random faults lasting tasks are started again and stopped") {
  const int seed = GENERATE(range(1, 17));
  INFO("seed " << seed);
  fake_fleet::options options;
  options.seed = static_cast<std::uint64_t>(seed);
  options.lost_answer_rate = 0.1;
  options.late_order_rate = seed % 3 == 0 ? 0.1 : 0.0;
  options.unknown_commit_rate = 0.1;
  options.refuses_orders_to_earlier_incarnations = seed % 2 == 0;
  fake_fleet fleet(options);
  std::mt19937_64 random(options.seed * 7919);
  const auto chance = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  const auto any_minion = [&]() -> fake_minion& {
    auto it = fleet.minions.begin();
    std::advance(it, static_cast<long>(
                         chance() * static_cast<double>(fleet.minions.size())));
    return it->second;
  };
  constexpr int kTasks = 5;
  const std::vector<std::string> jobs = {"a", "b", "c", "d"};
  for (const std::string& id : jobs) {
    accepted_job job = OneStep(id, 1, kTasks, kSmall, 60s);
    job.spec.steps[0].is_persistent = true;
    fleet.Submit(job);
  }
  for (int step = 0; step < 60; ++step) {
    const std::string& ending = jobs[step % jobs.size()];
    if (chance() < 0.5) {
      fleet.EndRuns(ending, chance() < 0.5 ? run_end::kDone : run_end::kFailed);
    }
    if (chance() < 0.1) {
      fleet.ReplaceOwner();
    }
    if (chance() < 0.15) {
      fake_minion& minion = any_minion();
      minion.is_partitioned = !minion.is_partitioned;
    }
    if (chance() < 0.05) {
      fleet.RestartMinion(any_minion().report.id);
    }
    fleet.table.is_down = chance() < 0.1;
    fleet.Run(400ms);
  }
  fleet.table.is_down = false;
  for (auto& [id, minion] : fleet.minions) {
    minion.is_partitioned = false;
  }
  fleet.Run(25s);
  for (const std::string& id : jobs) {
    INFO("job " << id);
    CHECK(fleet.StateOf(id) == job_state::kRunning);
    CHECK(fleet.CountRunning(id) == kTasks);
    fleet.Cancel(id);
  }
  fleet.ReplaceOwner();
  fleet.Run(20s);
  for (const std::string& id : jobs) {
    INFO("job " << id);
    CHECK(fleet.StateOf(id) == job_state::kCancelled);
    CHECK(fleet.CountRunning(id) == 0);
  }
}

// Guards against lasting tasks that pause for many seconds, because their own
// failures bring every minion under avoidance.
TEST_CASE("Lasting tasks that fail often run on") {
  fake_fleet::options options;
  options.minions = 6;
  fake_fleet fleet(options);
  constexpr int kTasks = 12;
  for (const char* id : {"a", "b"}) {
    accepted_job job = OneStep(id, 1, kTasks, kSmall, 60s);
    job.spec.steps[0].is_persistent = true;
    fleet.Submit(job);
  }
  fleet.Run(1s);
  REQUIRE(fleet.CountRunning("a") == kTasks);
  std::map<std::string, duration> longest_pause;
  std::map<std::string, duration> pause;
  for (int step = 0; step < 200; ++step) {
    if (step % 5 == 0) {
      fleet.FailRuns("a");
      fleet.FailRuns("b");
    }
    fleet.Run(100ms);
    for (const char* id : {"a", "b"}) {
      pause[id] = fleet.CountRunning(id) > 0 ? 0ms : pause[id] + 100ms;
      longest_pause[id] = std::max(longest_pause[id], pause[id]);
    }
  }
  CHECK(longest_pause["a"] <= 4s);
  CHECK(longest_pause["b"] <= 4s);

  SECTION("while other jobs keep off the avoided minions") {
    fleet.Submit(OneStep("c", 1, 1, kSmall, 200ms));
    const auto health = fleet.core->Minions();
    const bool are_all_avoided = std::all_of(
        health.begin(), health.end(),
        [](const auto& minion) { return minion.health == "avoided"; });
    REQUIRE(are_all_avoided);
    fleet.Run(50ms);
    CHECK(fleet.starts["c"] == 0);
  }
}

TEST_CASE("Fillers are slowed down to protect a serving task") {
  fake_fleet::options options;
  options.minions = 1;
  fake_fleet fleet(options);
  accepted_job serving = OneStep("serve", 1, 1, kSmall, 60s);
  serving.spec.steps[0].is_persistent = true;
  serving.spec.steps[0].tail_latency_target = 100ms;
  accepted_job filling = OneStep("fill", 2, 1, {128'000, 1000, 0}, 60s);
  filling.spec.steps[0].is_filler = true;
  // Added tail latency per percent of the filler's speed.
  std::int64_t tail_ms_per_percent = 2;
  fleet.reported_load = [&](const fake_minion& minion, const run_key& run) {
    if (run.task.job == "fill") {
      return std::int64_t{0};
    }
    std::int64_t tail = 40;
    for (const auto& [other, held] : minion.running) {
      if (other.task.job == "fill") {
        const auto pace = minion.paces.find(other);
        tail += tail_ms_per_percent *
                (pace == minion.paces.end() ? 100 : pace->second);
      }
    }
    return tail;
  };
  const auto pace = [&] {
    const auto& paces = fleet.minions.begin()->second.paces;
    return paces.empty() ? 100 : paces.begin()->second;
  };
  fleet.Submit(serving);
  fleet.Submit(filling);

  SECTION("the filler is slowed until the tail latency is below its target") {
    fleet.Run(3500ms);
    CHECK(40 + tail_ms_per_percent * pace() < 100);

    SECTION(
        "its speed is restored once it no longer affects the tail latency") {
      tail_ms_per_percent = 0;
      fleet.Run(15s);
      CHECK(pace() == 100);
    }
    SECTION("its speed is restored when the serving task has left") {
      fleet.Cancel("serve");
      fleet.Run(2s);
      REQUIRE(fleet.CountRunning("serve") == 0);
      CHECK(pace() == 100);
    }
    SECTION("the next owner restores its speed once it does no harm") {
      fleet.ReplaceOwner();
      tail_ms_per_percent = 0;
      fleet.Run(15s);
      CHECK(pace() == 100);
    }
    SECTION("the next owner restores its speed if the serving task has left") {
      fleet.Cancel("serve");
      fleet.ReplaceOwner();
      fleet.Run(3s);
      REQUIRE(fleet.CountRunning("serve") == 0);
      CHECK(pace() == 100);
    }
    SECTION("the next owner does no harm") {
      fleet.ReplaceOwner();
      for (int step = 0; step < 50; ++step) {
        fleet.Run(100ms);
        CHECK(40 + tail_ms_per_percent * pace() < 100);
      }
    }
  }
  SECTION("a filler reserves no cores") {
    fleet.Run(1s);
    CHECK(fleet.CountRunning("serve") == 1);
    CHECK(fleet.CountRunning("fill") == 1);
  }
}

TEST_CASE("A queue's policy restricts the minions of a step") {
  fake_fleet fleet({});
  fleet.UsePolicy();
  fleet.Submit(OneStep("a", 1, 6, kWholeMinion, 300ms));

  SECTION("a start carries the minion's ticket") {
    REQUIRE(fleet.RunUntilEnded(10s));
    CHECK(fleet.StateOf("a") == job_state::kComplete);
    CheckNoViolations(fleet);
  }
  SECTION("valid tickets are reused for further tasks") {
    REQUIRE(fleet.RunUntilEnded(10s));
    CHECK(fleet.advice_calls <= 2);
  }
}

TEST_CASE("A run makes too little progress") {
  fake_fleet fleet({});
  fleet.Submit(OneStep("a", 0, 1, kWholeMinion, 3s));
  fleet.Run(500ms);
  fake_minion* slow_minion = nullptr;
  for (auto& [id, minion] : fleet.minions) {
    if (!minion.running.empty()) {
      slow_minion = &minion;
    }
  }
  REQUIRE(slow_minion != nullptr);

  SECTION("a run on a stalled minion is moved") {
    slow_minion->speed = 0;
    REQUIRE(fleet.RunUntilEnded(6s));
    CHECK(fleet.starts["a"] == 2);
    CHECK(slow_minion->running.empty());
    CheckNoViolations(fleet);
  }
  SECTION("a gang stalled on two minions is moved off both") {
    fleet.Submit(Gang("g", 1, 5));
    fleet.Run(500ms);
    REQUIRE(fleet.CountRunning("g") == 5);
    std::vector<fake_minion*> stalled;
    for (auto& [id, minion] : fleet.minions) {
      const bool has_gang = !minion.running.empty() &&
                            minion.running.begin()->first.task.job == "g";
      if (has_gang && stalled.size() < 2) {
        stalled.push_back(&minion);
        minion.speed = 0;
      }
    }
    REQUIRE(stalled.size() == 2);
    for (int i = 0; i < 100 && fleet.starts["g"] < 10; ++i) {
      fleet.Run(50ms);
    }
    CHECK(fleet.starts["g"] == 10);
    CHECK(stalled[0]->running.empty());
    CHECK(stalled[1]->running.empty());
    REQUIRE(fleet.RunUntilEnded(8s));
    CheckNoViolations(fleet);
  }
  SECTION(
      "a minion that has become slow keeps the run and receives no "
      "more") {
    slow_minion->speed = 0.15;
    fleet.Run(6s);
    CHECK(fleet.starts["a"] == 1);
    for (int i = 0; i < 7; ++i) {
      fleet.Submit(OneStep("b" + std::to_string(i), 0, 1, kSmall, 500ms));
    }
    fleet.Run(200ms);
    CHECK(slow_minion->running.size() == 1);
  }
  SECTION("a run on a moderately slower minion is not moved") {
    slow_minion->speed = 0.6;
    REQUIRE(fleet.RunUntilEnded(9s));
    CHECK(fleet.starts["a"] == 1);
  }
}

TEST_CASE("Runs that cannot end before a draining minion leaves are moved") {
  fake_fleet fleet({});
  fleet.Submit(OneStep("long", 1, 1, kSmall, 10s));
  fleet.Submit(OneStep("short", 1, 1, kSmall, 600ms));
  fleet.Run(200ms);
  std::string draining;
  for (auto& [id, minion] : fleet.minions) {
    if (!minion.running.empty()) {
      draining = id;
      minion.report.is_draining = true;
      minion.report.drain_remaining = 2s;
    }
  }
  fleet.Run(800ms);
  CHECK(fleet.starts["short"] == 1);
  CHECK(fleet.StateOf("short") == job_state::kComplete);
  CHECK(fleet.starts["long"] == 2);
  CHECK(fleet.minions.at(draining).running.empty());
  CHECK(fleet.counters.Get("sched_closed_draining") == 1);
  CHECK(fleet.counters.Get("sched_closed_done") == 1);
  CheckNoViolations(fleet);
}

}  // namespace
}  // namespace sassafras::sched

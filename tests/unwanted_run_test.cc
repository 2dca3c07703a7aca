#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "tests/fleet_checks.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

// Returns the id of the first minion that runs something.
std::string BusyMinion(const fake_fleet& fleet) {
  for (const auto& [id, minion] : fleet.minions) {
    if (!minion.running.empty()) {
      return id;
    }
  }
  return {};
}

// Returns a job of one task that is not started yet.
accepted_job DueLater(const fake_fleet& fleet,
                      const std::string& id,
                      resource_amounts needs) {
  accepted_job job = OneStep(id, 1, 1, needs, 60s);
  job.spec.occurrences = 1;
  job.spec.first_due_unix_ms =
      fleet.now.time_since_epoch().count() / 1000 + 3'600'000;
  return job;
}

// Lets `minion` run a task of `job` that the owner has no unit for.
void AddStrayRun(fake_fleet& fleet,
                 const std::string& minion,
                 const std::string& job) {
  fake_minion& holder = fleet.minions.at(minion);
  holder.running[{{job, 0, 0, 0}, 1}] = {"", 60s, fleet.now, false, {}};
  holder.lease = std::max(holder.lease.value_or(fleet.now),
                          fleet.now + fake_fleet::kLease);
}

// An owner with one minion, whose answers the test gives.
struct lone_minion {
  lone_minion() : core({}, 1, start, counters) {
    core.OnConfig(std::make_shared<service_config>());
    report.id = "minion";
    report.incarnation_unix_ms = 1000;
    report.service = "lab";
    report.address = "10.0.0.1:80";
    core.OnMinions(start, {report});
  }

  poll_order FirstPoll() {
    const work_actions actions = core.Decide(start, 0);
    REQUIRE(actions.polls.size() == 1);
    return actions.polls.front();
  }

  // Returns an answer to a poll that lists nothing.
  poll_answer Answer() const {
    poll_answer answer;
    answer.outcome = order_outcome::kDone;
    answer.incarnation_unix_ms = report.incarnation_unix_ms;
    return answer;
  }

  const instant start{std::chrono::hours(1)};
  counter_table counters;
  work_core core;
  minion_report report;
};

TEST_CASE("A run of a cancelled job that no unit stands for is stopped") {
  fake_fleet fleet({});
  fleet.Submit(DueLater(fleet, "a", kSmall));
  fleet.Run(1s);
  fleet.Cancel("a");
  fleet.Run(1s);
  const std::string minion = fleet.minions.begin()->first;

  SECTION("although the first stops are lost on a minion without other runs") {
    AddStrayRun(fleet, minion, "a");
    fleet.lost_stops = 3;
    fleet.ReplaceOwner();
    fleet.Run(fake_fleet::kCancelTime + fake_fleet::kStopTime);
    CHECK(fleet.CountRunning("a") == 0);
    fleet.Run(2s);
    CheckNoViolations(fleet);
  }
  SECTION("and counted once, however often its stop is sent") {
    AddStrayRun(fleet, minion, "a");
    fleet.lost_stops = 3;
    fleet.ReplaceOwner();
    fleet.Run(5s);
    CHECK(fleet.CountRunning("a") == 0);
    CHECK(fleet.counters.Get("sched_orphans_stopped") == 1);
  }
  SECTION("beside a run that goes on") {
    fleet.Submit(OneStep("b", 1, 8, {100'000, 200'000, 7}, 60s));
    fleet.Run(1s);
    REQUIRE(fleet.CountRunning("b") == 8);
    AddStrayRun(fleet, minion, "a");
    fleet.lost_stops = 3;
    fleet.Run(fake_fleet::kCancelTime + fake_fleet::kStopTime);
    CHECK(fleet.CountRunning("a") == 0);
    CHECK(fleet.CountRunning("b") == 8);
    CHECK(fleet.starts["b"] == 8);
    CheckNoViolations(fleet);
  }
}

TEST_CASE(
    "A run that no unit stands for and that outlives its stops is counted") {
  fake_fleet fleet({});
  fleet.Submit(OneStep("b", 1, 8, {100'000, 200'000, 7}, 60s));
  fleet.Submit(DueLater(fleet, "a", kSmall));
  fleet.Run(1s);
  const std::string minion = fleet.minions.begin()->first;
  AddStrayRun(fleet, minion, "a");
  fleet.minions.at(minion).refuses_stops = true;
  fleet.Run(6s);
  CHECK(fleet.CountRunning("a") == 1);
  CHECK(fleet.counters.Get("sched_stops_overdue") == 1);
}

TEST_CASE("Nothing is started beside a run that no unit stands for") {
  fake_fleet::options options;
  options.minions = 1;
  fake_fleet fleet(options);
  fleet.Submit(DueLater(fleet, "a", kWholeMinion));
  fleet.Run(1s);
  AddStrayRun(fleet, fleet.minions.begin()->first, "a");
  fleet.lost_stops = 3;
  fleet.ReplaceOwner();
  fleet.Submit(OneStep("b", 1, 1, kSmall, 300ms));
  fleet.Run(400ms);
  CHECK(fleet.starts["b"] == 0);
  fleet.Run(2s);
  CHECK(fleet.StateOf("b") == job_state::kComplete);
  CheckNoViolations(fleet);
}

// The minion keeps its id and cannot tell orders to its earlier incarnation.
TEST_CASE("A late start that a restarted minion executes is stopped") {
  fake_fleet::options options;
  options.refuses_orders_to_earlier_incarnations = false;
  options.seed = GENERATE(1, 2, 3, 4, 5, 6);
  INFO("seed " << options.seed);
  fake_fleet fleet(options);
  fleet.late_starts = 1;
  fleet.Submit(OneStep("a", 1, 1, kSmall, 60s));
  fleet.Run(1s);
  REQUIRE(fleet.CountRunning("a") == 1);
  const std::string minion = BusyMinion(fleet);
  fleet.Cancel("a");
  fleet.Run(600ms);
  REQUIRE(fleet.CountRunning("a") == 0);
  fleet.RestartMinion(minion);

  SECTION("or not executed, since the minion is told of the stop") {
    fleet.Run(15s);
    CHECK(fleet.CountRunning("a") == 0);
    CheckNoViolations(fleet);
  }
  SECTION("and exceeds no capacity") {
    fleet.SendMinionList();
    fleet.Submit(OneStep("b", 1, 8, kWholeMinion, 60s));
    fleet.Run(15s);
    CHECK(fleet.CountRunning("b") == 8);
    CheckNoViolations(fleet);
  }
}

TEST_CASE("A late start is stopped whose answer is awaited at the restart") {
  fake_fleet::options options;
  options.refuses_orders_to_earlier_incarnations = false;
  fake_fleet fleet(options);
  fleet.late_starts = 1;
  fleet.Submit(OneStep("a", 1, 1, kSmall, 60s));
  while (fleet.sent_starts.empty()) {
    fleet.Run(fake_fleet::kStep);
  }
  fleet.Cancel("a");
  // From before the stop is acknowledged to after the run is settled.
  fleet.Run(GENERATE(5ms, 10ms, 15ms, 20ms, 25ms, 30ms, 200ms));
  fleet.RestartMinion(fleet.sent_starts.front().minion.id);
  fleet.SendMinionList();
  fleet.Run(15s);
  CHECK(fleet.sent_starts.size() == 1);
  CHECK(fleet.CountRunning("a") == 0);
  CheckNoViolations(fleet);
}

TEST_CASE("A late start is stopped on a minion that was gone for seconds") {
  fake_fleet::options options;
  options.refuses_orders_to_earlier_incarnations = false;
  fake_fleet fleet(options);
  fleet.late_starts = 1;
  fleet.min_lateness = 11900ms;
  fleet.max_lateness = 11900ms;
  fleet.keeps_id_after_crash = true;
  fleet.crash_downtime = GENERATE(8000ms, 8300ms, 8600ms, 8900ms);
  fleet.Submit(OneStep("a", 1, 1, kSmall, 60s));
  fleet.Run(100ms);
  REQUIRE(fleet.sent_starts.size() == 1);
  fleet.Cancel("a");
  fleet.CrashMinion(fleet.sent_starts.front().minion.id);
  fleet.Run(20s);
  CHECK(fleet.CountRunning("a") == 0);
  CheckNoViolations(fleet);
}

TEST_CASE(
    "A late start is stopped on a minion that was silent beyond a lease") {
  fake_fleet::options options;
  options.refuses_orders_to_earlier_incarnations = false;
  fake_fleet fleet(options);
  fleet.late_starts = 1;
  fleet.min_lateness = 9s;
  fleet.max_lateness = 9s;
  fleet.keeps_id_after_crash = true;
  fleet.Submit(OneStep("a", 1, 1, kSmall, 60s));
  fleet.Run(100ms);
  REQUIRE(fleet.sent_starts.size() == 1);
  fleet.Cancel("a");
  fake_minion& minion = fleet.minions.at(fleet.sent_starts.front().minion.id);
  fleet.CrashMinion(minion.report.id);
  minion.is_partitioned = true;
  fleet.Run(3010ms);
  REQUIRE(minion.is_up);
  std::vector<minion_report> listed;
  for (const auto& [id, other] : fleet.minions) {
    listed.push_back(other.report);
  }
  fleet.core->OnMinions(fleet.now, listed);
  fleet.Run(4s);
  minion.is_partitioned = false;
  fleet.Run(15s);
  CHECK(fleet.CountRunning("a") == 0);
  CheckNoViolations(fleet);
}

TEST_CASE("A minion takes nothing until a late start can have no run there") {
  lone_minion world;
  work_core& core = world.core;
  const instant start = world.start;
  const poll_order poll = world.FirstPoll();
  const poll_answer without_runs = world.Answer();
  const auto health = [&] { return core.Minions().at(0).health; };
  core.OnPolled(start + 5ms, start, poll, without_runs);
  CHECK(health() == "usable");
  start_order earlier;
  earlier.minion = {"minion", 500, world.report.address};
  earlier.run = {{"a", 0, 0, 0}, 1};
  core.OnStarted(start + 10ms, earlier, {order_outcome::kUnknown});
  CHECK(health() == "has a stray run");
  const work_actions stops = core.Decide(start + 15ms, 0);
  REQUIRE(stops.stops.size() == 1);
  core.OnStopped(start + 25ms, stops.stops[0], {order_outcome::kDone});

  SECTION("as a poll shows that was sent after the answer to the stop") {
    core.OnPolled(start + 30ms, start + 26ms, poll, without_runs);
    core.Decide(start + 35ms, 0);
    CHECK(health() == "usable");
  }
  SECTION("but not one that was sent before") {
    core.OnPolled(start + 30ms, start + 15ms, poll, without_runs);
    core.Decide(start + 35ms, 0);
    CHECK(health() == "has a stray run");
  }
}

// Answers on different connections overtake each other.
TEST_CASE("A stray run is stopped although an older poll does not list it") {
  lone_minion world;
  work_core& core = world.core;
  const instant start = world.start;
  const poll_order poll = world.FirstPoll();
  const poll_answer without_runs = world.Answer();
  poll_answer with_stray = without_runs;
  with_stray.running.push_back({{{"a", 0, 0, 0}, 1}, "", 0, 0});
  core.OnPolled(start + 20ms, start + 10ms, poll, with_stray);
  core.OnPolled(start + 21ms, start, poll, without_runs);
  CHECK(core.Decide(start + 25ms, 0).stops.size() == 1);

  SECTION("or once a later one lists it that was answered earlier") {
    with_stray.clock_ms = 19;
    poll_answer later = without_runs;
    later.clock_ms = 30;
    core.OnPolled(start + 40ms, start + 30ms, poll, later);
    core.OnPolled(start + 41ms, start + 32ms, poll, with_stray);
    CHECK(core.Decide(start + 500ms, 0).stops.empty());
  }
  SECTION("and no longer once a later one does not list it") {
    core.OnPolled(start + 40ms, start + 30ms, poll, without_runs);
    CHECK(core.Decide(start + 500ms, 0).stops.empty());
  }
}

TEST_CASE("A run that must end is not kept alive by the polls of its minion") {
  fake_fleet fleet({});
  fleet.Submit(OneStep("a", 1, 1, kSmall, 60s));
  fleet.Run(1s);
  REQUIRE(fleet.CountRunning("a") == 1);
  fleet.minions.at(BusyMinion(fleet)).refuses_stops = true;

  SECTION("after its job was cancelled") {
    fleet.Cancel("a");
    fleet.Run(fake_fleet::kLease + 500ms);
    CHECK(fleet.CountRunning("a") == 0);
  }
  SECTION("nor by the next owner") {
    fleet.Cancel("a");
    fleet.Run(1s);
    fleet.ReplaceOwner();
    fleet.Run(fake_fleet::kLease + 500ms);
    CHECK(fleet.CountRunning("a") == 0);
  }
  SECTION("nor by work that is placed there and waits for its room") {
    fleet.Submit(OneStep("b", 0, 8, kWholeMinion, 60s));
    fleet.Cancel("a");
    fleet.Run(fake_fleet::kLease + 2s);
    CHECK(fleet.CountRunning("a") == 0);
    CHECK(fleet.CountRunning("b") == 8);
  }
  SECTION("unless another run there goes on") {
    fleet.Submit(OneStep("b", 1, 8, kWholeMinion, 60s));
    fleet.Run(1s);
    const int running = fleet.CountRunning("b");
    REQUIRE(running >= 7);
    fleet.Cancel("a");
    fleet.Run(fake_fleet::kLease + 2s);
    CHECK(fleet.CountRunning("b") >= running);
    CheckNoViolations(fleet);
  }
}

TEST_CASE("A run whose task was done earlier is stopped with its job") {
  fake_fleet fleet({});
  fleet.Submit(OneStep("a", 1, 2, kWholeMinion, 3s));
  fleet.Run(500ms);
  REQUIRE(fleet.CountRunning("a") == 2);
  const std::string cut_off = BusyMinion(fleet);
  fleet.minions.at(cut_off).is_partitioned = true;
  for (auto& [id, minion] : fleet.minions) {
    for (auto& [run, held] : minion.running) {
      held.remaining = id == cut_off ? 3s : 60s;
    }
  }
  fleet.Run(8s);
  REQUIRE(fleet.starts["a"] == 3);  // Its lease has expired.
  for (auto& [id, minion] : fleet.minions) {
    for (auto& [run, held] : minion.running) {
      held.remaining = 60s;
    }
  }
  fleet.minions.at(cut_off).is_partitioned = false;
  fleet.lost_stops = GENERATE(0, 3);
  fleet.Run(400ms);
  REQUIRE(fleet.counters.Get("sched_late_done") == 1);

  SECTION("at once if the job is cancelled") {
    fleet.Cancel("a");
    fleet.Run(1s);
    CHECK(fleet.CountRunning("a") == 0);
  }
  SECTION("at once by the next owner as well") {
    fleet.Cancel("a");
    fleet.ReplaceOwner();
    fleet.Run(1s);
    CHECK(fleet.CountRunning("a") == 0);
  }
  SECTION("at once if the next owner learns of the cancelling later") {
    fleet.ReplaceOwner();
    fleet.Run(100ms);
    fleet.Cancel("a");
    fleet.Run(1s);
    CHECK(fleet.CountRunning("a") == 0);
  }
  SECTION("at once by the next owner, also if its job goes on") {
    fleet.lost_stops = 0;
    fleet.ReplaceOwner();
    fleet.Run(1s);
    CHECK(fleet.CountRunning("a") == 1);
  }
  SECTION("at once if its job goes on, whose other task runs on") {
    fleet.Run(1s);
    CHECK(fleet.CountRunning("a") == 1);
    CHECK(fleet.StateOf("a") == job_state::kRunning);
  }
}

TEST_CASE("A gang whose earlier run is done is stopped at once") {
  fake_fleet fleet({});
  accepted_job job = Gang("a", 1, 2);
  job.spec.steps.push_back(job.spec.steps[0]);
  job.spec.steps[1].is_gang = false;
  job.spec.steps[1].count = 1;
  job.spec.steps[1].after = {0};
  job.spec.steps[1].estimate = 60s;
  fleet.Submit(job);
  fleet.Run(500ms);
  REQUIRE(fleet.CountRunning("a") == 2);
  for (auto& [id, minion] : fleet.minions) {
    minion.is_partitioned = !minion.running.empty();
  }
  fleet.Run(8s);
  REQUIRE(fleet.starts["a"] == 4);  // The lease of its first run has expired.
  for (auto& [id, minion] : fleet.minions) {
    for (auto& [run, held] : minion.running) {
      held.remaining = 60s;
    }
  }
  fleet.lost_stops = GENERATE(0, 6);
  for (auto& [id, minion] : fleet.minions) {
    minion.is_partitioned = false;
  }
  fleet.Run(400ms);
  REQUIRE(fleet.counters.Get("sched_late_done") > 0);

  SECTION("so that only the next step goes on") {
    fleet.Run(1s);
    CHECK(fleet.CountRunning("a") == 1);
  }
  SECTION("also if the next owner learns of a cancelling later") {
    fleet.ReplaceOwner();
    fleet.Run(100ms);
    fleet.Cancel("a");
    fleet.Run(1s);
    CHECK(fleet.CountRunning("a") == 0);
  }
}

TEST_CASE("The other runs of a job that fails are stopped") {
  fake_fleet fleet({});
  accepted_job job = OneStep("a", 1, 4, kWholeMinion, 60s);
  job.max_attempts = 1;
  job.spec.steps.push_back(job.spec.steps[0]);
  job.spec.steps[1].is_gang = true;
  fleet.Submit(job);
  fleet.Run(1s);
  REQUIRE(fleet.CountRunning("a") == 8);
  fake_minion& failing = fleet.minions.at(BusyMinion(fleet));
  failing.fails_all_runs = true;
  failing.running.begin()->second.remaining = 10ms;
  fleet.Run(1s);
  CHECK(fleet.StateOf("a") == job_state::kFailed);
  CHECK(fleet.CountRunning("a") == 0);
  CheckNoViolations(fleet);
}

TEST_CASE("A late start does not run beside the next run of its task") {
  fake_fleet fleet({});
  fleet.late_starts = 1;
  fleet.Submit(OneStep("a", 1, 1, kSmall, 20s));
  while (fleet.sent_starts.empty()) {
    fleet.Run(fake_fleet::kStep);
  }
  fake_minion& minion = fleet.minions.at(fleet.sent_starts.front().minion.id);
  minion.refuses_starts = true;
  fleet.Run(1s);
  minion.refuses_starts = false;
  REQUIRE(fleet.starts["a"] == 1);
  fleet.Run(10s);
  CHECK(fleet.CountRunning("a") == 1);
  CheckNoViolations(fleet);
}

TEST_CASE("A job is not forgotten while one of its runs may go on") {
  fake_fleet fleet({});
  fleet.Submit(OneStep("a", 1, 2, kWholeMinion, 60s));
  fleet.Run(1s);
  fleet.minions.at(BusyMinion(fleet)).is_partitioned = true;
  fleet.Cancel("a");
  fleet.Run(1s);
  REQUIRE(fleet.CountRunning("a") == 1);
  CHECK(fleet.core->BeginErasing(fleet.now + 200s, 10).empty());
  fleet.Run(8s);
  CHECK(fleet.CountRunning("a") == 0);
  CHECK(fleet.core->BeginErasing(fleet.now + 200s, 10).size() == 1);
}

TEST_CASE("Under random faults no run of a cancelled job goes on") {
  const int seed = GENERATE(range(1, 17), 189, 269, 681, 717);
  INFO("seed " << seed);
  fake_fleet::options options;
  options.seed = static_cast<std::uint64_t>(seed);
  options.lost_answer_rate = 0.1;
  options.late_order_rate = 0.1;
  options.unknown_commit_rate = 0.1;
  options.refuses_orders_to_earlier_incarnations = seed % 2 == 0;
  fake_fleet fleet(options);
  fleet.crash_downtime = 1500ms;
  fleet.keeps_id_after_crash = seed % 4 < 2;
  std::mt19937_64 random(options.seed * 6271);
  const auto chance = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  const auto any_minion = [&]() -> fake_minion& {
    auto it = fleet.minions.begin();
    std::advance(it, static_cast<long>(
                         chance() * static_cast<double>(fleet.minions.size())));
    return it->second;
  };
  int submitted = 0;
  for (int step = 0; step < 60; ++step) {
    accepted_job job = OneStep("j" + std::to_string(submitted++),
                               static_cast<int>(chance() * 3),
                               1 + static_cast<int>(chance() * 4), kSmall, 60s);
    job.spec.steps[0].is_gang = chance() < 0.3;
    job.spec.steps[0].is_persistent = chance() < 0.2;
    fleet.Submit(job);
    if (chance() < 0.9) {
      fleet.Cancel("j" +
                   std::to_string(static_cast<int>(chance() * submitted)));
    }
    if (chance() < 0.08) {
      fleet.ReplaceOwner();
    }
    if (chance() < 0.15) {
      fake_minion& minion = any_minion();
      minion.is_partitioned = !minion.is_partitioned;
    }
    if (chance() < 0.15) {
      fake_minion& minion = any_minion();
      if (minion.is_up) {
        fleet.CrashMinion(minion.report.id);
      }
    }
    fleet.table.is_down = chance() < 0.05;
    fleet.Run(300ms);
  }
  fleet.table.is_down = false;
  for (auto& [id, minion] : fleet.minions) {
    minion.is_partitioned = false;
  }
  for (const auto& [id, job] : fleet.jobs) {
    fleet.Cancel(id);
  }
  fleet.Run(16s);
  for (const auto& [id, job] : fleet.jobs) {
    INFO("job " << id);
    CHECK(fleet.CountRunning(id) == 0);
  }
  const auto goes_on = [](const std::string& violation) {
    return violation.starts_with("runs on");
  };
  INFO(Join(fleet.violations));
  CHECK(
      std::none_of(fleet.violations.begin(), fleet.violations.end(), goes_on));
}

}  // namespace
}  // namespace sassafras::sched

#include "sassafras/job/worker_health.h"

#include <catch2/catch.hpp>

#include "tests/job_world.h"

namespace sassafras {
namespace {

const worker_id kWorker{"w1"};

std::set<worker_id> Workers(int count) {
  std::set<worker_id> workers;
  for (int i = 1; i <= count; ++i) {
    workers.insert(worker_id{"w" + std::to_string(i)});
  }
  return workers;
}

}  // namespace

TEST_CASE("Worker is quarantined after failures of distinct jobs") {
  counter_table counters;
  worker_health health({}, counters);
  health.SetWorkers(Workers(10));
  instant now{1000s};
  for (const worker_id& worker : Workers(10)) {
    health.OnAnswer(worker, true);
    health.OnTasksListed(worker, true);
  }
  REQUIRE(health.IsUsable(kWorker, now));

  SECTION("first failure excludes it for suspect_hold without quarantine") {
    health.OnTaskFailed(kWorker, job_id{"a"}, now);
    CHECK_FALSE(health.IsUsable(kWorker, now));
    CHECK_FALSE(health.IsQuarantined(kWorker));
    CHECK(health.IsUsable(kWorker, now + 20s));
    SECTION("second failure of the same job does not quarantine it") {
      health.OnTaskFailed(kWorker, job_id{"a"}, now + 20s);
      CHECK_FALSE(health.IsQuarantined(kWorker));
    }
    SECTION("success between two failures clears the evidence") {
      health.OnTaskSucceeded(kWorker);
      health.OnTaskFailed(kWorker, job_id{"b"}, now + 20s);
      CHECK_FALSE(health.IsQuarantined(kWorker));
    }
  }
  SECTION("failures of two jobs quarantine it until a probe succeeds") {
    health.OnTaskFailed(kWorker, job_id{"a"}, now);
    health.OnTaskFailed(kWorker, job_id{"b"}, now);
    CHECK(health.IsQuarantined(kWorker));
    CHECK(health.DueProbes(now).empty());
    now += 60s;
    CHECK(health.DueProbes(now).size() == 1);
    CHECK_FALSE(health.IsUsable(kWorker, now));
    SECTION("successful probe puts it on probation: one failure quarantines") {
      health.OnProbe(kWorker, true, now);
      CHECK(health.IsUsable(kWorker, now));
      health.OnTaskFailed(kWorker, job_id{"c"}, now);
      CHECK(health.IsQuarantined(kWorker));
      CHECK(health.DueProbes(now + 60s).empty());
      CHECK(health.DueProbes(now + 120s).size() == 1);
    }
    SECTION("failed probe doubles the quarantine") {
      health.OnProbe(kWorker, false, now);
      CHECK(health.IsQuarantined(kWorker));
      CHECK(health.DueProbes(now + 119s).empty());
    }
    SECTION("evidence of a job that is itself at fault is removed") {
      health.OnJobAtFault(job_id{"a"});
      CHECK_FALSE(health.IsQuarantined(kWorker));
    }
  }
  SECTION("excluded workers never exceed the capped share") {
    for (const worker_id& worker : Workers(10)) {
      health.OnTaskFailed(worker, job_id{"a"}, now);
      health.OnTaskFailed(worker, job_id{"b"}, now);
    }
    CHECK(health.Quarantined().size() == 2);
    CHECK(counters.Get("quarantine_refused_cap") > 0);
  }
  SECTION("unreachable worker is unusable until its tasks are listed again") {
    health.OnAnswer(kWorker, false);
    CHECK(health.IsUsable(kWorker, now));
    health.OnAnswer(kWorker, false);
    CHECK_FALSE(health.IsUsable(kWorker, now));
    health.OnAnswer(kWorker, true);
    CHECK_FALSE(health.IsUsable(kWorker, now));
    health.OnTasksListed(kWorker, true);
    CHECK(health.IsUsable(kWorker, now));
  }
}

TEST_CASE("All jobs succeed while five of fifty workers fail every task") {
  const bool fails_start = GENERATE(true, false);
  job_world world(MakeJobSite(50));
  for (int i = 1; i <= 5; ++i) {
    fake_worker& bad = world.workers.at("w" + std::to_string(i));
    bad.fails_start = fails_start;
    bad.fails_work = true;
    bad.work = 1s;
  }
  std::vector<job_id> jobs;
  jobs.reserve(200);
  for (int i = 0; i < 200; ++i) {
    jobs.push_back(world.Submit(std::to_string(i), "again", "one"));
  }
  REQUIRE(world.RunUntil(
      [&] {
        return std::all_of(jobs.begin(), jobs.end(), [&](const job_id& job) {
          return world.Is(job, job_state::kEnded);
        });
      },
      600s));
  const auto good =
      std::count_if(jobs.begin(), jobs.end(), [&](const job_id& job) {
        return world.Row(job).outcome == job_outcome::kSucceeded;
      });
  CHECK(good == 200);
  // A faulty worker gets at most three tasks: the first failure, the second one
  // that quarantines it, and one on probation.
  for (int i = 1; i <= 5; ++i) {
    const auto& drawn = world.workers.at("w" + std::to_string(i)).tasks;
    CHECK(std::count_if(drawn.begin(), drawn.end(), [](const auto& entry) {
            return entry.first.rfind("probe-", 0) != 0;
          }) <= 3);
  }
  CHECK(world.counters.Get("worker_quarantined") >= 4);
}

TEST_CASE("Job that fails on several workers ends without a quarantine") {
  job_world world(MakeJobSite(20));
  for (auto& [id, worker] : world.workers) {
    worker.fails_work = true;
    worker.work = 1s;
  }
  const job_id job = world.Submit("bad", "again", "one");
  REQUIRE(
      world.RunUntil([&] { return world.Is(job, job_state::kEnded); }, 300s));
  const job_row row = world.Row(job);
  CHECK(row.outcome == job_outcome::kFailed);
  CHECK(row.attempt == 3);  // Two restarts.
  CHECK(row.reason == "its tasks failed on several workers");
  std::set<worker_id> seen;
  for (const failed_attempt& failure : row.failures) {
    seen.insert(failure.workers.begin(), failure.workers.end());
  }
  CHECK(seen.size() == 3);
  CHECK(world.all[0].core->Quarantined().empty());
}

}  // namespace sassafras

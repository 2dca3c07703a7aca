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

TEST_CASE("A worker is judged by distinct jobs") {
  counter_table counters;
  worker_health health({}, counters);
  health.SetWorkers(Workers(10));
  instant now{1000s};
  for (const worker_id& worker : Workers(10)) {
    health.OnAnswer(worker, true);
    health.OnTasksListed(worker, true);
  }
  REQUIRE(health.IsUsable(kWorker, now));

  SECTION("one failure makes it a suspect for a while") {
    health.OnTaskFailed(kWorker, job_id{"a"}, now);
    CHECK_FALSE(health.IsUsable(kWorker, now));
    CHECK_FALSE(health.IsQuarantined(kWorker));
    CHECK(health.IsUsable(kWorker, now + 20s));
    SECTION("and the same job again is no further evidence") {
      health.OnTaskFailed(kWorker, job_id{"a"}, now + 20s);
      CHECK_FALSE(health.IsQuarantined(kWorker));
    }
    SECTION("a success between clears it") {
      health.OnTaskSucceeded(kWorker);
      health.OnTaskFailed(kWorker, job_id{"b"}, now + 20s);
      CHECK_FALSE(health.IsQuarantined(kWorker));
    }
  }
  SECTION("two jobs put it into quarantine until a probe is good") {
    health.OnTaskFailed(kWorker, job_id{"a"}, now);
    health.OnTaskFailed(kWorker, job_id{"b"}, now);
    CHECK(health.IsQuarantined(kWorker));
    CHECK(health.DueProbes(now).empty());
    now += 60s;
    CHECK(health.DueProbes(now).size() == 1);
    CHECK_FALSE(health.IsUsable(kWorker, now));
    SECTION("a good probe brings it back on trial") {
      health.OnProbe(kWorker, true, now);
      CHECK(health.IsUsable(kWorker, now));
      health.OnTaskFailed(kWorker, job_id{"c"}, now);
      CHECK(health.IsQuarantined(kWorker));
      CHECK(health.DueProbes(now + 60s).empty());
      CHECK(health.DueProbes(now + 120s).size() == 1);
    }
    SECTION("a bad probe doubles its time") {
      health.OnProbe(kWorker, false, now);
      CHECK(health.IsQuarantined(kWorker));
      CHECK(health.DueProbes(now + 119s).empty());
    }
    SECTION("a job that is at fault itself takes its evidence back") {
      health.OnJobAtFault(job_id{"a"});
      CHECK_FALSE(health.IsQuarantined(kWorker));
    }
  }
  SECTION("never more than the capped share is held back") {
    for (const worker_id& worker : Workers(10)) {
      health.OnTaskFailed(worker, job_id{"a"}, now);
      health.OnTaskFailed(worker, job_id{"b"}, now);
    }
    CHECK(health.Quarantined().size() == 2);
    CHECK(counters.Get("quarantine_refused_cap") > 0);
  }
  SECTION("one that stops answering is unusable until it was listed again") {
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

TEST_CASE("Five workers of fifty fail everything that they start") {
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
  // A suspicion, the proof and a trial are all that a bad worker may draw.
  for (int i = 1; i <= 5; ++i) {
    const auto& drawn = world.workers.at("w" + std::to_string(i)).tasks;
    CHECK(std::count_if(drawn.begin(), drawn.end(), [](const auto& entry) {
            return entry.first.rfind("probe-", 0) != 0;
          }) <= 3);
  }
  CHECK(world.counters.Get("worker_quarantined") >= 4);
}

TEST_CASE("A job that fails everywhere is the job's own fault") {
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

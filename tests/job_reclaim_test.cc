#include <catch2/catch.hpp>

#include "tests/job_world.h"

namespace sassafras {
namespace {

// Fills all eight workers with borrowed jobs of 300 s.
void FillWithBorrowedJobs(job_world& world,
                          std::vector<job_id>& borrowed_jobs) {
  for (auto& [id, worker] : world.workers) {
    worker.work = 300s;
  }
  for (int i = 0; i < 8; ++i) {
    borrowed_jobs.push_back(
        world.Submit("lent-" + std::to_string(i), "again", "one"));
  }
  REQUIRE(world.RunUntil(
      [&] { return world.all[0].core->Count(job_state::kRunning) == 8; }, 10s));
}

}  // namespace

TEST_CASE("Lent guaranteed capacity is reclaimed for its team") {
  job_world world(MakeJobSite(8, true));
  std::vector<job_id> borrowed_jobs;
  FillWithBorrowedJobs(world, borrowed_jobs);
  const instant asked = world.now;
  const job_id urgent = world.Submit("u", "urgent", "four", "promised");
  const auto is_running = [&] {
    return world.Tasks(urgent, task_state::kRunning) == 4;
  };

  SECTION("within seven seconds, with checkpoints of the evicted jobs") {
    REQUIRE(world.RunUntil(is_running, 20s));
    CHECK(world.now - asked <= 7s);
    int evicted = 0;
    for (const job_id& job : borrowed_jobs) {
      const job_row row = world.Row(job);
      evicted += static_cast<int>(!row.checkpoints.empty());
      CHECK(row.losses == 0);
    }
    CHECK(evicted == 4);
  }
  SECTION("within seven seconds if checkpoints do not complete") {
    world.workers.at("w1").is_hanging = true;
    world.workers.at("w2").is_hanging = true;
    REQUIRE(world.RunUntil(is_running, 20s));
    CHECK(world.now - asked <= 7s);
  }
  SECTION("also if a worker fails during the reclaim") {
    world.Run(1s);
    world.workers.at("w3").is_dead = true;
    REQUIRE(world.RunUntil(is_running, 120s));
  }
}

TEST_CASE("A reclaim completes if the owner dies at any step") {
  const int fatal_step = GENERATE(range(1, 30));
  CAPTURE(fatal_step);
  job_world world(MakeJobSite(8, true));
  std::vector<job_id> borrowed_jobs;
  FillWithBorrowedJobs(world, borrowed_jobs);
  const job_id urgent = world.Submit("u", "urgent", "four", "promised");
  int steps = 0;
  world.on_action = [&](const job::job_action& action) {
    const bool is_step = std::holds_alternative<job::commit_rows>(action) ||
                         std::holds_alternative<job::start_task>(action) ||
                         std::holds_alternative<job::throttle_task>(action) ||
                         std::holds_alternative<job::checkpoint_task>(action) ||
                         std::holds_alternative<job::stop_task>(action);
    steps += static_cast<int>(is_step);
    return !is_step || steps != fatal_step;
  };
  world.on_step = [&] {
    // No worker is booked twice: each holds or runs at most one task, since a
    // task takes a whole worker.
    for (const auto& [id, worker] : world.workers) {
      int live = 0;
      for (const auto& [name, item] : worker.tasks) {
        live += static_cast<int>(item.report.state == task_state::kHeld ||
                                 item.report.state == task_state::kRunning);
      }
      REQUIRE(live <= 1);
    }
  };
  for (int i = 0; i < 20; ++i) {
    world.Run(4s);
    if (world.all[0].is_dead && world.owner == 0) {
      world.TakeOver(1);
    }
  }
  CHECK(world.Begun(urgent) == 4);
  CHECK((world.Is(urgent, job_state::kRunning) ||
         world.Is(urgent, job_state::kEnded)));
  for (const job_id& job : borrowed_jobs) {
    CHECK_FALSE(world.Is(job, job_state::kEnded));
  }
}

TEST_CASE("A running non-idempotent job is never evicted") {
  job_world world(MakeJobSite(8, true));
  for (auto& [id, worker] : world.workers) {
    worker.work = 60s;
  }
  std::vector<job_id> non_idempotent_jobs;
  non_idempotent_jobs.reserve(8);
  for (int i = 0; i < 8; ++i) {
    non_idempotent_jobs.push_back(
        world.Submit(std::to_string(i), "once", "one"));
  }
  world.Run(10s);
  const job_id urgent = world.Submit("u", "urgent", "four", "promised");
  SECTION("and its team still gets the guaranteed capacity") {
    CHECK(world.RunUntil(
        [&] { return world.Tasks(urgent, task_state::kRunning) == 4; }, 7s));
  }
  world.Run(200s);
  for (const job_id& job : non_idempotent_jobs) {
    CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
    CHECK(world.Begun(job) == 1);
  }
}

}  // namespace sassafras

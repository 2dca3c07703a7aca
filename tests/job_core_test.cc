#include <catch2/catch.hpp>

#include "tests/job_world.h"

namespace sassafras {
namespace {

// Number of running tasks of a job.
int CountRunning(const job_world& world, const job_id& job) {
  return world.Tasks(job, task_state::kRunning);
}

bool RunUntilRunning(job_world& world, const job_id& job, int tasks = 4) {
  return world.RunUntil([&] { return CountRunning(world, job) == tasks; }, 30s);
}

bool RunUntilEnded(job_world& world, const job_id& job, duration timeout) {
  return world.RunUntil([&] { return world.Is(job, job_state::kEnded); },
                        timeout);
}

}  // namespace

TEST_CASE("A gang is recorded, held, recorded again and released as a whole") {
  job_world world(MakeJobSite(4));
  const job_id job = world.Submit("k", "once", "four");

  SECTION("it starts within seven seconds, the limit for urgent jobs") {
    CHECK(world.RunUntil([&] { return CountRunning(world, job) == 4; }, 7s));
    CHECK(world.Row(job).is_attempt_released);
    SECTION("and ends with its outcome and its marker is erased") {
      REQUIRE(RunUntilEnded(world, job, 30s));
      CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
      CHECK(world.Begun(job) == 4);
      CHECK(world.store.Read(JobMarkerKey(job)).version == 0);
    }
  }
  SECTION("no task runs before the row is recorded as running") {
    world.on_step = [&] {
      const bool works = CountRunning(world, job) > 0;
      REQUIRE((!works || world.Row(job).is_attempt_released));
    };
    world.Run(40s);
  }
  SECTION("a start whose answer is lost is sent again") {
    world.workers.at("w2").loses_answers = true;
    world.Run(2s);
    world.workers.at("w2").loses_answers = false;
    REQUIRE(RunUntilEnded(world, job, 40s));
    CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
    CHECK(world.Begun(job) == 4);
  }
  SECTION("if one task cannot be held no other task of the gang runs") {
    REQUIRE(world.RunUntil(
        [&] { return world.all[0].core->Count(job_state::kWaiting) == 1; },
        5s));
    world.workers.at("w2").is_dead = true;
    world.Run(60s);
    CHECK(world.Begun(job) == 0);
    CHECK(world.Tasks(job, task_state::kHeld) == 0);
    CHECK_FALSE(world.Is(job, job_state::kEnded));
    SECTION("and the gang starts when the worker is reachable again") {
      world.workers.at("w2").is_dead = false;
      CHECK(RunUntilRunning(world, job));
    }
  }
}

TEST_CASE(
    "A job ends correctly if its owner dies at any step of start or stop") {
  job_world world(MakeJobSite(4));
  const bool is_non_idempotent = GENERATE(true, false);
  const job_id job =
      world.Submit("k", is_non_idempotent ? "once" : "again", "four");
  const bool is_cancelled = GENERATE(false, true);
  const int fatal_step = GENERATE(range(1, 40));
  CAPTURE(is_non_idempotent, is_cancelled, fatal_step);

  // The owner dies just before its n-th commit or worker call, i.e. just after
  // the one before it.
  int steps = 0;
  world.on_action = [&](const job::job_action& action) {
    const bool is_step = std::holds_alternative<job::commit_rows>(action) ||
                         std::holds_alternative<job::start_task>(action) ||
                         std::holds_alternative<job::throttle_task>(action) ||
                         std::holds_alternative<job::stop_task>(action);
    steps += static_cast<int>(is_step);
    return !is_step || steps != fatal_step;
  };
  world.on_step = [&] {
    const bool works = CountRunning(world, job) > 0;
    REQUIRE((!works || world.Row(job).was_released));
  };
  world.Run(4s);
  if (is_cancelled) {
    world.Cancel(job);
    world.Run(1s);
  }
  for (int i = 0; i < 50 && !world.Is(job, job_state::kEnded); ++i) {
    world.Run(4s);
    if (world.all[0].is_dead && world.owner == 0) {
      world.TakeOver(1);
    }
  }
  REQUIRE(world.Is(job, job_state::kEnded));
  const job_row row = world.Row(job);
  CHECK(CountRunning(world, job) == 0);
  if (is_non_idempotent) {
    CHECK(world.Begun(job) <= 4);
    CHECK((world.Begun(job) == 0 || row.was_released));
  }
  if (!is_cancelled) {
    CHECK(row.outcome == job_outcome::kSucceeded);
  }
}

TEST_CASE("An owner that resumes after one minute does not disturb a gang") {
  job_world world(MakeJobSite(4));
  const job_id job = world.Submit("k", "once", "four");

  SECTION("before the gang is released") {
    world.RunUntil([&] { return world.Tasks(job, task_state::kHeld) == 4; },
                   10s);
    world.all[0].paused_until = world.now + 60s;
    world.Run(4s);
    world.TakeOver(1);
    REQUIRE(RunUntilEnded(world, job, 120s));
    CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
    CHECK(world.Begun(job) == 4);
  }
  SECTION("while the gang runs and the gang succeeds") {
    REQUIRE(RunUntilRunning(world, job));
    world.all[0].paused_until = world.now + 60s;
    world.Run(4s);
    world.TakeOver(1);
    world.Run(70s);
    CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
  }
  SECTION("a gang that the new owner stopped stays stopped") {
    REQUIRE(RunUntilRunning(world, job));
    for (auto& [id, worker] : world.workers) {
      worker.work = 1000s;
    }
    world.all[0].paused_until = world.now + 60s;
    world.Run(4s);
    world.TakeOver(1);
    world.Cancel(job);
    REQUIRE(RunUntilEnded(world, job, 30s));
    world.Run(90s);
    CHECK(world.Row(job).outcome == job_outcome::kCancelled);
    CHECK(CountRunning(world, job) == 0);
  }
}

TEST_CASE("Gangs keep running while the store is unavailable for ten minutes") {
  job_world world(MakeJobSite(8));
  for (auto& [id, worker] : world.workers) {
    worker.work = 900s;
  }
  const job_id job = world.Submit("k", "once", "four");
  REQUIRE(RunUntilRunning(world, job));
  world.Run(15s);
  world.store.is_down = true;

  SECTION("the owner renews the leases of gangs recorded as running") {
    world.Run(600s);
    CHECK(CountRunning(world, job) == 4);
  }
  SECTION("the owner dies and a standby renews the leases") {
    world.Kill(0);
    world.Run(600s);
    CHECK(CountRunning(world, job) == 4);
    CHECK(world.counters.Get("job_renewal_stood_in") > 0);
  }
  SECTION("a standby does not renew a gang that has lost a task") {
    world.Kill(0);
    world.Run(60s);
    CHECK(CountRunning(world, job) == 4);
    world.workers.at(world.Row(job).placement[0].worker.value).is_dead = true;
    CHECK(world.RunUntil([&] { return CountRunning(world, job) <= 1; }, 70s));
    return;
  }
  world.store.is_down = false;
  world.TakeOver(1);
  REQUIRE(RunUntilEnded(world, job, 400s));
  CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
  CHECK(world.Begun(job) == 4);
}

TEST_CASE("A gang is stopped as a whole when one of its workers dies") {
  job_world world(MakeJobSite(5));
  const bool is_non_idempotent = GENERATE(true, false);
  const job_id job =
      world.Submit("k", is_non_idempotent ? "once" : "again", "four");
  REQUIRE(RunUntilRunning(world, job));
  world.workers.at("w2").is_dead = true;

  SECTION("the rest of the gang is stopped") {
    REQUIRE(world.RunUntil([&] { return CountRunning(world, job) <= 1; }, 60s));
    if (is_non_idempotent) {
      SECTION("and the outcome of a non-idempotent job is unknown") {
        REQUIRE(RunUntilEnded(world, job, 120s));
        CHECK(world.Row(job).outcome == job_outcome::kUnknown);
        CHECK(world.Begun(job) == 4);
      }
    } else {
      SECTION("and an idempotent job runs again on other workers") {
        REQUIRE(RunUntilEnded(world, job, 200s));
        CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
        CHECK(world.Row(job).losses == 1);
      }
    }
  }
  SECTION("the old task of a worker that returns is stopped") {
    fake_worker& restored = world.workers.at("w2");
    for (auto& [id, task] : restored.tasks) {
      task.lease_end = world.now + 1000s;
      task.end = world.now + 1000s;
    }
    REQUIRE(world.RunUntil(
        [&] {
          return world.Is(job, job_state::kEnded) ||
                 world.Row(job).attempt == 2;
        },
        120s));
    restored.is_dead = false;
    world.Run(15s);
    for (const auto& [id, task] : restored.tasks) {
      if (ParseTaskId(task_id{id})->attempt == 1) {
        CHECK(task.report.state == task_state::kStopped);
      }
    }
    CHECK(world.counters.Get("job_stray_task_stopped") > 0);
  }
}

TEST_CASE("A commit whose answer is lost is resolved by repeating it") {
  job_world world(MakeJobSite(4));
  const job_id job = world.Submit("k", "once", "four");
  for (int i = 0; i < 10; ++i) {
    world.store.loses_answer = i % 2 == 0;
    world.Run(500ms);
  }
  REQUIRE(RunUntilEnded(world, job, 60s));
  CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
  CHECK(world.Begun(job) == 4);
  CHECK(world.counters.Get("job_write_settled") > 0);
}

TEST_CASE(
    "Cancelling a thousand jobs at once keeps commits within their limit") {
  job_world world(MakeJobSite(50));
  std::vector<job_id> jobs;
  jobs.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    jobs.push_back(world.Submit(std::to_string(i), "again", "small"));
  }
  REQUIRE(world.RunUntil(
      [&] { return world.all[0].core->Count(job_state::kRunning) == 400; },
      30s));
  for (const job_id& job : jobs) {
    world.Cancel(job);
  }
  std::size_t max_rows = 0;
  world.on_action = [&](const job::job_action& action) {
    if (const auto* commit = std::get_if<job::commit_rows>(&action)) {
      max_rows = std::max(max_rows, commit->transaction.size());
    }
    return true;
  };

  world.Run(30s);
  const auto ended =
      std::count_if(jobs.begin(), jobs.end(), [&](const job_id& job) {
        return world.Row(job).outcome == job_outcome::kCancelled;
      });
  CHECK(ended == 1000);
  CHECK(max_rows <= world.options.max_rows_per_commit);
  CHECK(world.all[0].core->Count(job_state::kWaiting) == 0);
  for (const job_id& job : jobs) {
    REQUIRE(CountRunning(world, job) == 0);
  }
}

TEST_CASE("Jobs keep their terms when their class and team are removed") {
  job_world world(MakeJobSite(4));
  const job_id running = world.Submit("a", "again", "four");
  REQUIRE(RunUntilRunning(world, running));
  const job_id waiting = world.Submit("b", "again", "four");
  world.Run(1s);
  auto smaller = std::make_shared<published_config>(*world.config);
  ++smaller->version;
  smaller->objects.classes.erase(class_id{"again"});
  smaller->objects.teams.erase(team_id{"team"});
  world.Publish(smaller);

  REQUIRE(RunUntilEnded(world, running, 60s));
  CHECK(world.Row(running).outcome == job_outcome::kSucceeded);
  world.Cancel(waiting);
  CHECK(RunUntilEnded(world, waiting, 30s));
}

TEST_CASE("Gangs on a lost rack run again unless they are non-idempotent") {
  job_world world(MakeJobSite(16));
  std::vector<job_id> jobs;
  jobs.reserve(4);
  for (int i = 0; i < 4; ++i) {
    jobs.push_back(world.Submit(std::to_string(i), "again", "four"));
  }
  jobs.push_back(world.Submit("once", "once", "four"));
  REQUIRE(RunUntilRunning(world, jobs[0]));
  world.Run(3s);
  for (int i = 1; i <= 8; ++i) {
    world.workers.at("w" + std::to_string(i)).is_dead = true;
  }
  for (const job_id& job : jobs) {
    REQUIRE(RunUntilEnded(world, job, 400s));
    const job_row row = world.Row(job);
    // A non-idempotent job that ran on the rack ends with an unknown outcome.
    CHECK(row.outcome ==
          (row.losses == 0 && row.stopping_for != stop_reason::kNone
               ? job_outcome::kUnknown
               : job_outcome::kSucceeded));
    CHECK((row.terms.is_idempotent || world.Begun(job) == 4));
    CHECK((row.outcome != job_outcome::kUnknown || !row.terms.is_idempotent));
  }
}

TEST_CASE("A new owner resolves the in-flight commit of a partitioned owner") {
  // The write of the placement takes effect, its answer is lost, and another
  // process takes over before it is resolved.
  job_world world(MakeJobSite(4));
  const job_id job = world.Submit("k", "once", "four");
  REQUIRE(
      world.RunUntil([&] { return world.Is(job, job_state::kPlacing); }, 10s));
  world.all[0].paused_until = world.now + 60s;
  world.TakeOver(1);
  REQUIRE(RunUntilEnded(world, job, 60s));
  CHECK(world.Row(job).attempt == 2);
  CHECK(world.Begun(job) == 4);
  world.Run(70s);
  CHECK(world.Begun(job) == 4);
  CHECK(world.Tasks(job, task_state::kHeld) == 0);
}

}  // namespace sassafras

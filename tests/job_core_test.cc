#include <catch2/catch.hpp>

#include "tests/job_world.h"

namespace sassafras {
namespace {

// How many of the four tasks of a gang work.
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

  SECTION("it starts within the seven seconds of urgent work") {
    CHECK(world.RunUntil([&] { return CountRunning(world, job) == 4; }, 7s));
    CHECK(world.Row(job).is_attempt_released);
    SECTION("and ends with its outcome and no marker left") {
      REQUIRE(RunUntilEnded(world, job, 30s));
      CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
      CHECK(world.Begun(job) == 4);
      CHECK(world.store.Read(JobMarkerKey(job)).version == 0);
    }
  }
  SECTION("no task works before the row says running") {
    world.on_step = [&] {
      const bool works = CountRunning(world, job) > 0;
      REQUIRE((!works || world.Row(job).is_attempt_released));
    };
    world.Run(40s);
  }
  SECTION("an answer to a start is lost and the start is sent again") {
    world.workers.at("w2").loses_answers = true;
    world.Run(2s);
    world.workers.at("w2").loses_answers = false;
    REQUIRE(RunUntilEnded(world, job, 40s));
    CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
    CHECK(world.Begun(job) == 4);
  }
  SECTION("a member that cannot be held leaves no part of the gang running") {
    REQUIRE(world.RunUntil(
        [&] { return world.all[0].core->Count(job_state::kWaiting) == 1; },
        5s));
    world.workers.at("w2").is_dead = true;
    world.Run(60s);
    CHECK(world.Begun(job) == 0);
    CHECK(world.Tasks(job, task_state::kHeld) == 0);
    CHECK_FALSE(world.Is(job, job_state::kEnded));
    SECTION("and it starts when the worker is back") {
      world.workers.at("w2").is_dead = false;
      CHECK(RunUntilRunning(world, job));
    }
  }
}

TEST_CASE("The owner may die at every step of a start and a stop") {
  job_world world(MakeJobSite(4));
  const bool is_non_idempotent = GENERATE(true, false);
  const job_id job =
      world.Submit("k", is_non_idempotent ? "once" : "again", "four");
  const bool is_cancelled = GENERATE(false, true);
  const int fatal_step = GENERATE(range(1, 40));
  CAPTURE(is_non_idempotent, is_cancelled, fatal_step);

  // The owner dies just before or just after its n-th commit or worker call.
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

TEST_CASE("The owner is paused for a minute and wakes") {
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
  SECTION("while the gang runs it costs the gang nothing") {
    REQUIRE(RunUntilRunning(world, job));
    world.all[0].paused_until = world.now + 60s;
    world.Run(4s);
    world.TakeOver(1);
    world.Run(70s);
    CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
  }
  SECTION("what the new owner stopped stays stopped") {
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

TEST_CASE("The store is away for ten minutes while gangs run") {
  job_world world(MakeJobSite(8));
  for (auto& [id, worker] : world.workers) {
    worker.work = 900s;
  }
  const job_id job = world.Submit("k", "once", "four");
  REQUIRE(RunUntilRunning(world, job));
  world.Run(15s);
  world.store.is_down = true;

  SECTION("the owner goes on renewing from what it had recorded") {
    world.Run(600s);
    CHECK(CountRunning(world, job) == 4);
  }
  SECTION("the owner dies and another process stands in") {
    world.Kill(0);
    world.Run(600s);
    CHECK(CountRunning(world, job) == 4);
    CHECK(world.counters.Get("job_renewal_stood_in") > 0);
  }
  SECTION("a process that stands in lets a gang lapse that lost a member") {
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

TEST_CASE("A worker of a running gang dies") {
  job_world world(MakeJobSite(5));
  const bool is_non_idempotent = GENERATE(true, false);
  const job_id job =
      world.Submit("k", is_non_idempotent ? "once" : "again", "four");
  REQUIRE(RunUntilRunning(world, job));
  world.workers.at("w2").is_dead = true;

  SECTION("the rest of the gang is stopped") {
    REQUIRE(world.RunUntil([&] { return CountRunning(world, job) <= 1; }, 60s));
    if (is_non_idempotent) {
      SECTION("and its end is unknown because it may not run again") {
        REQUIRE(RunUntilEnded(world, job, 120s));
        CHECK(world.Row(job).outcome == job_outcome::kUnknown);
        CHECK(world.Begun(job) == 4);
      }
    } else {
      SECTION("and it runs again on other workers") {
        REQUIRE(RunUntilEnded(world, job, 200s));
        CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
        CHECK(world.Row(job).losses == 1);
      }
    }
  }
  SECTION("it returns with its old task before any work is given to it") {
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

TEST_CASE("A write whose answer is lost is settled by writing it again") {
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

TEST_CASE("A thousand jobs are cancelled at once") {
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

TEST_CASE("A class and a team are removed while their jobs run and wait") {
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

TEST_CASE("A rack is lost with the gangs on it") {
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
    // Work that may run once only is lost with its rack, and said to be so.
    CHECK(row.outcome ==
          (row.losses == 0 && row.stopping_for != stop_reason::kNone
               ? job_outcome::kUnknown
               : job_outcome::kSucceeded));
    CHECK((row.terms.is_idempotent || world.Begun(job) == 4));
    CHECK((row.outcome != job_outcome::kUnknown || !row.terms.is_idempotent));
  }
}

TEST_CASE("The owner is cut off while its last commit is under way") {
  // The write of the placement takes effect, its answer is lost, and another
  // process takes over before it is settled.
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

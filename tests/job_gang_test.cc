#include <catch2/catch.hpp>

#include "src/job/gang_driver.h"
#include "src/job/placement_ledger.h"
#include "tests/job_world.h"

namespace sassafras::job {
namespace {

constexpr instant kStart{1000s};

// A job of two tasks that has been running since kStart.
tracked_job MakeRunning() {
  tracked_job job;
  job.row.id = job_id{"j"};
  job.row.state = job_state::kRunning;
  job.row.attempt = 1;
  job.row.placement = {{worker_id{"w1"}, "w1"}, {worker_id{"w2"}, "w2"}};
  job.row.terms.tasks = 2;
  job.row.terms.need = {4, 16, 1000};
  job.row.terms.can_checkpoint = true;
  job.row.terms.checkpoint_grace = 3s;
  job.row.was_released = true;
  job.row.is_attempt_released = true;
  TrackTasks(job, false, kStart, {});
  return job;
}

template <class Action>
int CountOf(const std::vector<job_action>& actions) {
  return static_cast<int>(
      std::count_if(actions.begin(), actions.end(), [](const auto& action) {
        return std::holds_alternative<Action>(action);
      }));
}

std::vector<job_action> Drive(tracked_job& job, instant now) {
  std::vector<job_action> actions;
  DriveGang(job, now, {}, actions);
  return actions;
}

transition_limits Limits() {
  return {10s, 20, [](const worker_id&) { return false; }};
}

// Records the next row, as the owner does.
void Record(tracked_job& job, instant now) {
  const auto next = NextRow(job, Limits(), now);
  REQUIRE(next);
  job.row = *next;
  job.pending_stop = stop_reason::kNone;
  TrackTasks(job, true, now, {});
}

void Report(tracked_job& job, int index, task_state state, instant now) {
  task_report report;
  report.state = state;
  OnTaskReport(job, index, now, report);
}

}  // namespace

TEST_CASE("An evicted gang is checkpointed and stopped as a whole") {
  tracked_job job = MakeRunning();
  Report(job, 0, task_state::kRunning, kStart);
  Report(job, 1, task_state::kRunning, kStart);
  job.pending_stop = stop_reason::kEvicted;
  Record(job, kStart);
  REQUIRE(job.row.state == job_state::kStopping);

  SECTION("no task is stopped before all tasks are checkpointed") {
    auto actions = Drive(job, kStart);
    CHECK(CountOf<checkpoint_task>(actions) == 2);
    CHECK(CountOf<stop_task>(actions) == 0);
    job.tasks[0].is_checkpointed = true;
    job.tasks[0].checkpoint = "a";
    CHECK(CountOf<stop_task>(Drive(job, kStart + 1s)) == 0);
    SECTION("then all are stopped and the next attempt resumes from it") {
      job.tasks[1].is_checkpointed = true;
      job.tasks[1].checkpoint = "b";
      CHECK(CountOf<stop_task>(Drive(job, kStart + 1s)) == 2);
      CHECK_FALSE(NextRow(job, Limits(), kStart + 1s));
      Report(job, 0, task_state::kStopped, kStart + 1s);
      Report(job, 1, task_state::kStopped, kStart + 1s);
      Record(job, kStart + 2s);
      CHECK(job.row.state == job_state::kWaiting);
      CHECK(job.row.checkpoints == std::vector<std::string>{"a", "b"});
      CHECK(job.row.losses == 0);
      CHECK(job.row.failures.empty());
    }
    SECTION("all are stopped without it once the grace period is over") {
      CHECK(CountOf<stop_task>(Drive(job, kStart + 3s)) == 2);
      Report(job, 0, task_state::kStopped, kStart + 4s);
      Report(job, 1, task_state::kStopped, kStart + 4s);
      Record(job, kStart + 4s);
      CHECK(job.row.state == job_state::kWaiting);
      CHECK(job.row.checkpoints.empty());
    }
  }
  SECTION("a task on an unreachable worker is settled when its lease expires") {
    Drive(job, kStart + 3s);
    Report(job, 0, task_state::kStopped, kStart + 3s);
    CHECK_FALSE(NextRow(job, Limits(), kStart + 31s));
    Record(job, kStart + 32s);
    CHECK(job.row.state == job_state::kWaiting);
  }
  SECTION("a gang that ends before it is stopped has succeeded") {
    Report(job, 0, task_state::kEnded, kStart);
    Report(job, 1, task_state::kEnded, kStart);
    Record(job, kStart);
    CHECK(job.row.outcome == job_outcome::kSucceeded);
  }
  SECTION("a cancelled gang is stopped without a checkpoint") {
    job.has_pending_cancel = true;
    CHECK(CountOf<stop_task>(Drive(job, kStart)) == 2);
    Report(job, 0, task_state::kStopped, kStart);
    Report(job, 1, task_state::kStopped, kStart);
    Record(job, kStart);
    CHECK(job.row.outcome == job_outcome::kCancelled);
  }
}

TEST_CASE("A task that uses more than it declared is throttled") {
  tracked_job job = MakeRunning();
  job.tasks[0].throttle_percent = 100;
  task_report report;
  report.state = task_state::kRunning;
  report.used = {4, 32, 1000};

  OnTaskReport(job, 0, kStart, report);
  const auto actions = Drive(job, kStart);
  const auto it = std::find_if(
      actions.begin(), actions.end(), [](const job_action& action) {
        const auto* throttle = std::get_if<throttle_task>(&action);
        return throttle != nullptr && throttle->worker == worker_id{"w1"};
      });
  REQUIRE(it != actions.end());
  CHECK(std::get<throttle_task>(*it).throttle_percent == 50);

  SECTION("stale usage reports do not lower the throttle again") {
    job.tasks[0].throttle_percent = 50;
    OnTaskReport(job, 0, kStart + 5s, report);
    CHECK(job.tasks[0].desired_throttle_percent == 50);
    OnTaskReport(job, 0, kStart + 20s, report);
    CHECK(job.tasks[0].desired_throttle_percent == 25);
  }
  SECTION("a task that uses no more than it declared is not throttled") {
    report.used = {4, 16, 900};
    OnTaskReport(job, 1, kStart, report);
    CHECK(job.tasks[1].desired_throttle_percent == 100);
  }
}

TEST_CASE("Bookings never exceed the resources of a worker") {
  const config_ptr config = MakeJobSite(2);
  placement_ledger ledger;
  const std::vector<worker_id> both = {worker_id{"w1"}, worker_id{"w2"}};
  const resources half{4, 64, 100'000};
  CHECK_FALSE(ledger.Fits(config->objects, {both[0], both[0]}, half));
  ledger.Book(job_id{"a"}, both, half);
  ledger.Book(job_id{"b"}, {both[0]}, half);
  CHECK_FALSE(ledger.Fits(config->objects, both, half));
  CHECK(ledger.Fits(config->objects, {both[1]}, half));
  ledger.Free(job_id{"a"});
  CHECK(ledger.Fits(config->objects, both, half));
  CHECK_FALSE(ledger.Fits(config->objects, {worker_id{"w3"}}, half));
}

}  // namespace sassafras::job

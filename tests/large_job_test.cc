#include <malloc.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "sassafras/sched/job_codec.h"
#include "sassafras/sched/work_core.h"
#include "tests/fleet_checks.h"
#include "tests/owner_world.h"
#include "tests/service_world.h"

namespace {

std::atomic<std::ptrdiff_t> bytes_in_use = 0;

}  // namespace

void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  void* block = std::malloc(size);
  if (block != nullptr) {
    bytes_in_use += static_cast<std::ptrdiff_t>(malloc_usable_size(block));
  }
  return block;
}

void* operator new(std::size_t size) {
  void* block = operator new(size, std::nothrow);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  return block;
}

void operator delete(void* block) noexcept {
  bytes_in_use -= static_cast<std::ptrdiff_t>(malloc_usable_size(block));
  std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  operator delete(block);
}

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

constexpr resource_amounts kTiny{200, 100, 0};
// The term of the owner's lease without the margin in which it is renewed. Who
// needs longer to load loses the ownership.
constexpr duration kLoadTime = 600ms;
// Half of the memory of the smallest machine, for a thousand jobs.
constexpr std::ptrdiff_t kBytesPerJob = (80 << 20) / 1000;

// Processor time that `action` takes, whatever else runs on the machine.
template <class Action>
duration ProcessorTimeOf(Action action) {
  const std::clock_t began = std::clock();
  action();
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC));
}

accepted_job Schedule(int occurrences,
                      int tasks,
                      const resource_amounts& needs = kTiny) {
  accepted_job job = OneStep("schedule", 1, tasks, needs, 100ms);
  job.spec.occurrences = occurrences;
  return job;
}

// The row of a record in which the tasks of the first occurrences are done, as
// builds wrote it that knew only ranges within one occurrence.
std::string HalfDoneRow(int occurrences, int tasks) {
  std::string ranges;
  for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
    ranges += (ranges.empty() ? "[" : ",[") + std::to_string(occurrence) +
              ",0,0," + std::to_string(tasks - 1) + "]";
  }
  return R"({"format":1,"state":1,"done":[)" + ranges + R"(],"units":[]})";
}

job_record HalfDone(int occurrences, int tasks) {
  return DecodeRecord(HalfDoneRow(occurrences, tasks)).value();
}

// Gives the minions of the fleet addresses that take `bytes` in each record.
void LengthenAddresses(fake_fleet& fleet, std::size_t bytes) {
  for (auto& [id, minion] : fleet.minions) {
    minion.report.address += std::string(bytes, '0');
  }
  fleet.SendMinionList();
}

std::size_t RecordBytes(const fake_fleet& fleet, const std::string& job) {
  return fleet.table.Read(kRecordTable + job).value.size();
}

}  // namespace

// Guards against owners that lose the ownership one after the other, since each
// needs longer to load a half-done job than its lease lasts.
TEST_CASE("A half-done job of 100,000 tasks is loaded within a lease") {
  const accepted_job job = Schedule(10, 10'000);
  const std::string row = HalfDoneRow(6, 10'000);
  counter_table counters;
  work_core core({}, 1, instant(1h), counters);
  const duration time = ProcessorTimeOf(
      [&] { core.OnJob(instant(1h), job, 1, DecodeRecord(row).value(), 1); });
  CHECK(time < kLoadTime);
  CHECK(core.Explain("schedule").find("60000 of 100000 units are done") !=
        std::string::npos);
  CHECK(counters.Get("sched_record_unit_unknown") == 0);
}

TEST_CASE("A record that names units that its job does not have") {
  const accepted_job job = Schedule(2, 3);
  counter_table counters;
  work_core core({}, 1, instant(1h), counters);
  job_record record;
  for (const auto& [occurrence, step, index] :
       {std::tuple(2, 0, 0), std::tuple(0, 1, 0), std::tuple(0, 0, 3),
        std::tuple(-1, 0, 0), std::tuple(0, -1, 0), std::tuple(0, 0, -1),
        std::tuple(1, 0, 2)}) {
    recorded_unit unit;
    unit.occurrence = occurrence;
    unit.step = step;
    unit.index = index;
    unit.run = 1;
    unit.is_done = true;
    record.units.push_back(unit);
  }
  core.OnJob(instant(1h), job, 1, DecodeRecord(EncodeRecord(record)).value(),
             1);
  CHECK(counters.Get("sched_record_unit_unknown") == 6);
  CHECK(core.Explain("schedule").find("1 of 6 units are done") !=
        std::string::npos);
}

// Guards against processes that exceed their memory one after the other, since
// each is handed the schedules that the one before could not hold.
TEST_CASE("A job costs memory by what runs of it") {
  counter_table counters;
  const std::ptrdiff_t before = bytes_in_use;

  SECTION("and little if all of it is still to come") {
    work_core core({}, 1, instant(1h), counters);
    constexpr int kJobs = 12;
    for (int number = 0; number < kJobs; ++number) {
      accepted_job job = Schedule(10'000, 10);
      job.id = std::to_string(number);
      job.spec.first_due_unix_ms = 1'000'000'000'000;
      core.OnJob(instant(1h), job, 1, std::nullopt, 0);
    }
    core.Decide(instant(1h), 0);
    CHECK(bytes_in_use - before < kJobs * kBytesPerJob);
  }
  SECTION("and little if most of it is done") {
    work_core core({}, 1, instant(1h), counters);
    const accepted_job job = Schedule(10'000, 10);
    core.OnJob(instant(1h), job, 1, HalfDone(9'000, 10), 1);
    CHECK(bytes_in_use - before < kBytesPerJob);
  }
  SECTION("however often it has run") {
    fake_fleet fleet({});
    fleet.Submit(Schedule(1'000, 1, kSmall));
    REQUIRE(fleet.RunUntilEnded(10s));
    CheckNoViolations(fleet);
    const std::ptrdiff_t with_core = bytes_in_use;
    fleet.core.reset();
    CHECK(with_core - bytes_in_use < kBytesPerJob);
  }
}

// Guards against decisions that search all that a job has yet to do.
TEST_CASE("A schedule costs a decision by what is due of it") {
  counter_table counters;
  work_core core({}, 1, instant(1h), counters);
  for (int number = 0; number < 100; ++number) {
    accepted_job job = Schedule(10'000, 10);
    job.id = std::to_string(number);
    job.spec.first_due_unix_ms = 1'000'000'000'000;
    core.OnJob(instant(1h), job, 1, std::nullopt, 0);
  }
  core.OnMinions(instant(1h), {});
  constexpr int kDecisions = 100;
  const duration time = ProcessorTimeOf([&] {
    for (int decision = 0; decision < kDecisions; ++decision) {
      core.Decide(instant(1h) + decision * 100ms, 0);
    }
  });
  // A decision that takes longer holds up the next one.
  CHECK(time / kDecisions < 50ms);
}

// Guards against a job whose record grows with what is done, until no row of
// the store holds it and nothing more is recorded.
TEST_CASE("A record does not grow with what is done") {
  fake_fleet fleet({});
  fleet.table.max_row_bytes = 16'000;

  SECTION("of a long schedule") {
    fleet.Submit(Schedule(1'500, 1, kSmall));
    CHECK(fleet.RunUntilEnded(20s));
    CHECK(RecordBytes(fleet, "schedule") < 1'000);
  }
  SECTION("if a step of each occurrence can't run yet") {
    accepted_job job = Schedule(1'500, 1, kSmall);
    job.spec.steps.push_back(job.spec.steps[0]);
    job.spec.steps[1].after = {0};
    job.spec.steps[1].needs = {1'000'000, 1, 1};  // Fits on no minion.
    fleet.Submit(job);
    fleet.Run(12s);
    CHECK(fleet.core->Explain("schedule").find("1500 of 3000 units are done") !=
          std::string::npos);
    CHECK(RecordBytes(fleet, "schedule") < 1'000);

    SECTION("and the next owner knows what is done") {
      fleet.ReplaceOwner();
      fleet.Run(1s);
      CHECK(fleet.core->Explain("schedule")
                .find("1500 of 3000 units are done, 0 run, 1500 wait") !=
            std::string::npos);
      CHECK(fleet.starts["schedule"] == 1'500);
    }
  }
  SECTION("of a schedule that changes hands again and again") {
    fleet.Submit(Schedule(600, 2, kSmall));
    for (int owner = 0; owner < 8; ++owner) {
      fleet.Run(400ms);
      fleet.ReplaceOwner();
    }
    CHECK(fleet.RunUntilEnded(20s));
    CHECK(fleet.starts["schedule"] == 1'200);
  }
  CHECK(fleet.table.refusals == 0);
  CheckNoViolations(fleet);
}

// Guards against a commit that the store refuses for good and that is sent
// again and again, so that no job starts any more.
TEST_CASE("A record that no row holds does not hold up other jobs") {
  fake_fleet fleet({});
  const accepted_job small = OneStep("small", 1, 4, kTiny, 100ms);

  SECTION("of a gang: its job is given up, with the reason") {
    accepted_job gang = OneStep("gang", 1, 3'000, kTiny, 100ms);
    gang.spec.steps[0].is_gang = true;
    fleet.Submit(gang);
    fleet.Submit(small);
    CHECK(fleet.RunUntilEnded(5s));
    CHECK(fleet.StateOf("gang") == job_state::kFailed);
    CHECK(fleet.StateOf("small") == job_state::kComplete);
    CHECK(fleet.starts["gang"] == 0);
    CHECK(fleet.counters.Get("sched_records_too_large") == 1);
    CHECK(fleet.table.refusals == 0);
  }
  SECTION("of a wide job: it goes on with fewer tasks at a time") {
    LengthenAddresses(fleet, 800);
    fleet.Submit(OneStep("wide", 1, 200, kTiny, 100ms));
    fleet.Submit(small);
    CHECK(fleet.RunUntilEnded(10s));
    CHECK(fleet.StateOf("wide") == job_state::kComplete);
    CHECK(fleet.StateOf("small") == job_state::kComplete);
    CHECK(fleet.counters.Get("sched_records_too_large") > 0);
    CHECK(fleet.starts["wide"] == 200);
    CHECK(fleet.table.refusals == 0);
  }
  SECTION("since the store takes less than expected") {
    fleet.table.max_row_bytes = 5'000;
    fleet.Submit(OneStep("wide", 1, 400, kTiny, 100ms));
    fleet.Submit(small);
    CHECK(fleet.RunUntilEnded(20s));
    CHECK(fleet.StateOf("wide") == job_state::kComplete);
    CHECK(fleet.StateOf("small") == job_state::kComplete);
    CHECK(fleet.counters.Get("sched_records_refused") > 0);
    CHECK(fleet.starts["wide"] == 400);
    CHECK(fleet.table.refusals < 20);
  }
  CheckNoViolations(fleet);
}

// Guards against a job that is accepted although no row can hold its record,
// and against a submission that is refused as if it were worth another try.
TEST_CASE("A job that the store cannot keep is refused at once") {
  service_world world;
  std::optional<caller_answer> answered;
  world.adapter.encode_answer = [&](const caller_answer& answer) {
    answered = answer;
    return http_response();
  };
  const auto submit = [&](const std::string& payload, int gang) {
    world.adapter.decode_job = [gang](const std::string& body) {
      job_spec spec = OneStep("", 0, gang, kTiny, 1s).spec;
      spec.steps[0].is_gang = true;
      spec.payload = body;
      return result<job_spec>(spec);
    };
    world.BeginCall("POST", "", payload, [](int) {});
    return answered.value().failure;
  };

  SECTION("since its row would be too large") {
    CHECK(submit(std::string(kMaxRowBytes, 'x'), 1) == error_kind::kTooLarge);
    CHECK(world.table.rows.size() == 1);  // The configuration.
  }
  SECTION("since its gang has too many tasks for one record") {
    CHECK(submit("", 2'000) == error_kind::kTooLarge);
    CHECK(world.table.rows.size() == 1);
  }
  SECTION("but not a large one that fits") {
    CHECK_FALSE(submit(std::string(kMaxRowBytes / 2, 'x'), 1'000));
    CHECK(world.table.rows.size() == 2);
  }
  CHECK(world.table.refusals == 0);
}

// Guards against commits of many records that exceed what the store takes in
// one call.
TEST_CASE("The records of one commit fit in a call of the store") {
  fake_fleet fleet({});
  LengthenAddresses(fleet, 700);
  constexpr int kJobs = 25;
  for (int number = 0; number < kJobs; ++number) {
    fleet.Submit(OneStep("wide-" + std::to_string(number), 1, 60, kTiny, 1s));
  }
  CHECK(fleet.RunUntilEnded(20s));
  CHECK(fleet.table.refusals == 0);
  CheckNoViolations(fleet);
}

// Guards against an owner that does nothing but load for longer than its lease
// lasts.
TEST_CASE("The lease is renewed while many jobs are loaded") {
  owner_world world;
  world.Run(1s);
  constexpr int kJobs = 1500;
  for (int number = 0; number < kJobs; ++number) {
    world.Submit(std::to_string(1'000'000 + number), 1, 60s);
  }
  world.clock_read_time = 1ms;
  world.ReplaceOwner();
  world.Run(8s);
  CHECK(world.counters.Get("ownership_gained") == 2);
  CHECK(world.counters.Get("ownership_lost") == 0);
  CHECK(world.counters.Get("owner_load_slices") > 0);
  CHECK_FALSE(world.owner->Explain(std::to_string(1'000'000)).empty());
  CHECK_FALSE(
      world.owner->Explain(std::to_string(1'000'000 + kJobs - 1)).empty());
}

// Guards against runs that are stopped as strays, since their job is not among
// those that have been loaded so far.
TEST_CASE("Nothing is decided before all jobs are loaded") {
  owner_world world;
  world.Run(1s);
  // The rows of the first one are read before all others, those of the last one
  // after them. Their runs share minions.
  const std::string first = "0000000";
  const std::string last = "9999999";
  for (const std::string& job : {first, last}) {
    world.Submit(job, 4, 60s);
    world.Run(500ms);
    REQUIRE(world.CountRunning(job) == 4);
  }
  for (int number = 0; number < 500; ++number) {
    world.Submit(std::to_string(1'000'000 + number), 1, 60s);
  }
  world.clock_read_time = 1ms;
  world.ReplaceOwner();
  for (int i = 0; i < 50 && world.owner->Explain(last).empty(); ++i) {
    world.Run(100ms);
  }
  world.Run(500ms);
  CHECK(world.counters.Get("owner_load_slices") > 0);
  CHECK(world.counters.Get("sched_orphans_stopped") == 0);
  CHECK(world.CountRunning(last) == 4);
  CHECK(world.starts[last] == 4);
}

}  // namespace sassafras::sched

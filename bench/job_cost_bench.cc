#include "bench/job_cost_bench.h"

#include <malloc.h>

#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <utility>

#include "bench/bench_report.h"
#include "sassafras/sched/job_codec.h"
#include "sassafras/sched/work_core.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;
using namespace sched;

constexpr int kTasksPerOccurrence = 10;
constexpr int kDecisions = 100;
constexpr double kBytesPerKilobyte = 1000;
constexpr double kMillisecondsPerSecond = 1000;

// How much of a job is over, and how many of the tasks after that are under
// way.
struct job_progress {
  std::string name;
  double done = 0;  // Share of the occurrences.
  int in_progress = 0;
};

accepted_job MakeJob(int occurrences) {
  accepted_job job;
  job.id = "schedule";
  job.queue = "q";
  job.service = "lab";
  step_spec step;
  step.count = kTasksPerOccurrence;
  step.needs = {200, 100, 0};
  step.estimate = 100ms;
  job.spec.steps.push_back(step);
  job.spec.occurrences = occurrences;
  job.spec.interval_ms = 1;
  return job;
}

job_record MakeRecord(int occurrences, const job_progress& progress) {
  job_record record;
  record.state = job_state::kRunning;
  const int done = static_cast<int>(occurrences * progress.done);
  if (done > 0) {
    record.done.push_back({0, 0, 0, done - 1, kTasksPerOccurrence - 1});
  }
  for (int task = 0; task < progress.in_progress; ++task) {
    recorded_unit unit;
    unit.occurrence = done + task / kTasksPerOccurrence;
    unit.index = task % kTasksPerOccurrence;
    unit.run = 1;
    unit.members.push_back(
        {unit.index, "i-25a72096d5", 1'787'689'055'116, "10.0.0.1:80"});
    record.units.push_back(std::move(unit));
  }
  return record;
}

template <class Action>
double MillisecondsOf(Action action) {
  const std::clock_t began = std::clock();
  action();
  return static_cast<double>(std::clock() - began) * kMillisecondsPerSecond /
         CLOCKS_PER_SEC;
}

bench_run Measure(int occurrences, const job_progress& progress) {
  const std::string row = EncodeRecord(MakeRecord(occurrences, progress));
  const accepted_job job = MakeJob(occurrences);
  const instant now(1h);
  counter_table counters;
  const std::size_t before = mallinfo2().uordblks;
  auto core = std::make_unique<work_core>(work_options(), 1, now, counters);
  const double load = MillisecondsOf(
      [&] { core->OnJob(now, job, 1, DecodeRecord(row).value(), 1); });
  const std::size_t memory = mallinfo2().uordblks - before;
  // Of occurrences that are not due yet.
  const double decisions = MillisecondsOf([&] {
    for (int i = 0; i < kDecisions; ++i) {
      core->Decide(now + i * 100ms, -1);
    }
  });
  return {std::to_string(occurrences * kTasksPerOccurrence) + " tasks, " +
              progress.name,
          0,
          {{"memory", static_cast<double>(memory) / kBytesPerKilobyte, "kB"},
           {"record", static_cast<double>(row.size()), "bytes"},
           {"load", load, "ms"},
           {"decision", decisions / kDecisions, "ms"}}};
}

}  // namespace

int RunJobCostBench(const bench_options& options) {
  bench_report report;
  for (const int occurrences : {100, 1'000, 10'000}) {
    for (const job_progress& progress :
         {job_progress{"to come", 0, 0},
          job_progress{"half done, 400 under way", 0.5, 400},
          job_progress{"done but one occurrence",
                       1 - 1.0 / static_cast<double>(occurrences), 0}}) {
      report.runs.push_back(Measure(occurrences, progress));
    }
  }
  PrintReport(report, options.json);
  return 0;
}

}  // namespace sassafras

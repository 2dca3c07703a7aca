#include "bench/config_bench.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "bench/bench_report.h"
#include "bench/config_virtual_members.h"
#include "sassafras/cluster/lease.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kProcesses = 9;
constexpr int kTrialsPerSeed = 20;
constexpr duration kStep = milliseconds(10);
constexpr duration kSettle = seconds(10);
// The news of everybody's start has been told to all by then.
constexpr duration kRest = seconds(180);
constexpr duration kPoll = seconds(2);
constexpr duration kLongest = seconds(30);
constexpr double kConfigBoundSeconds = 6;
constexpr double kTakeoverBoundSeconds = 7;
constexpr double kTrafficBoundBytes = 2'000;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

double Quantile(std::vector<double> values, double part) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(part * last))];
}

bool AllHave(const virtual_members& world, int count, std::uint64_t version) {
  for (int i = 0; i < count; ++i) {
    if (world.VersionOf(i) < version) {
      return false;
    }
  }
  return true;
}

// Time from the first adoption until all have the version. With the store up
// every process also polls, at a phase of its own.
double MeasureSpread(int count, std::uint64_t seed, bool is_store_up) {
  virtual_members world(count, seed);
  world.RunFor(kSettle);
  const instant accepted = world.network.Now();
  for (int i = 0; i < count && is_store_up; ++i) {
    const auto phase = duration(static_cast<std::int64_t>(
        world.network.random() % static_cast<std::uint64_t>(kPoll.count())));
    world.network.After(i, phase, [&world, i] { world.Adopt(i, 1); });
  }
  if (!is_store_up) {
    world.Adopt(0, 1);
  }
  while (!AllHave(world, count, 1) &&
         world.network.Now() - accepted < kLongest) {
    world.RunFor(kStep);
  }
  return Seconds(world.network.Now() - accepted);
}

// Time from a death until no other process counts on the dead one.
double MeasureDetection(int count, std::uint64_t seed, double loss) {
  virtual_members world(count, seed);
  world.RunFor(kSettle);
  world.network.loss = loss;
  const instant died = world.network.Now();
  world.Stop(0);
  const auto is_seen = [&] {
    for (int i = 1; i < count; ++i) {
      const auto members = world.View(i).Members();
      if (std::any_of(members.begin(), members.end(), [](const member& info) {
            return info.id == virtual_members::IdOf(0);
          })) {
        return true;
      }
    }
    return false;
  };
  while (is_seen() && world.network.Now() - died < kLongest) {
    world.RunFor(kStep * 5);
  }
  return Seconds(world.network.Now() - died);
}

// Deaths declared in ten minutes during which nobody died.
double CountFalseRemovals(std::uint64_t seed, double loss, duration pause) {
  virtual_members world(kProcesses, seed);
  world.RunFor(kSettle);
  world.network.loss = loss;
  for (int i = 0; i < 60; ++i) {
    if (pause > duration(0)) {
      world.Pause(i % kProcesses, pause);
    }
    world.RunFor(seconds(10));
  }
  return static_cast<double>(world.Count("member_died"));
}

// Payload bytes that one daemon sends in a second at rest.
double MeasureTraffic(int count, std::uint64_t seed) {
  virtual_members world(count, seed);
  world.RunFor(kRest);
  const std::int64_t before = world.network.BytesSent(0);
  world.RunFor(seconds(60));
  return static_cast<double>(world.network.BytesSent(0) - before) / 60;
}

// Time from the last renewal until another holds the lease, when the reads of
// the other come at any phase.
double MeasureTakeover(std::uint64_t seed) {
  counter_table counters;
  lease_options options{
      "lease/jobs", {"s1"}, "a", seconds(3), milliseconds(500)};
  lease first(options, counters);
  options.holder = {"s2"};
  lease second(options, counters);
  table_row row{options.key, "", 0};
  const auto step = [&](lease& each, instant now) {
    if (!each.IsReadDue(now)) {
      return;
    }
    if (const auto write = each.OnRow(now, now, row)) {
      row = {options.key, write->value, row.version + 1};
      each.OnCommit(now, now,
                    {answer_state::kDone, error_kind::kInternal, {row}});
    }
  };
  random_engine random(seed);
  step(first, instant{});
  instant now =
      instant{} +
      duration(static_cast<std::int64_t>(random() % std::uint64_t{1'000'000}));
  while (!second.MayAct(now)) {
    now += milliseconds(100);
    step(second, now);
  }
  return Seconds(now - instant{});
}

struct samples {
  std::vector<double> store_up;
  std::vector<double> store_lost;
  std::vector<double> detection;
  std::vector<double> detection_lossy;
  std::vector<double> takeover;
};

samples Measure(std::uint64_t seed) {
  samples all;
  for (std::uint64_t i = 0; i < kTrialsPerSeed; ++i) {
    const std::uint64_t trial = seed * 1'000 + i;
    all.store_up.push_back(MeasureSpread(kProcesses, trial, true));
    all.store_lost.push_back(MeasureSpread(kProcesses, trial, false));
    all.detection.push_back(MeasureDetection(kProcesses, trial, 0));
    all.detection_lossy.push_back(MeasureDetection(kProcesses, trial, 0.1));
    all.takeover.push_back(MeasureTakeover(trial));
  }
  return all;
}

void AddQuantiles(bench_run& run,
                  const std::string& name,
                  const std::vector<double>& values) {
  run.figures.push_back({name + "_p50", Quantile(values, 0.5), "s"});
  run.figures.push_back({name + "_p99", Quantile(values, 0.99), "s"});
}

}  // namespace

int RunConfigBench(const bench_options& options) {
  bench_report report;
  samples worst;
  double traffic = 0;
  for (int i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(i);
    ShowProgress("config seed " + std::to_string(seed));
    const samples all = Measure(seed);
    bench_run run{"polling and peers", seed, {}};
    AddQuantiles(run, "in_force_store_up", all.store_up);
    AddQuantiles(run, "in_force_store_lost", all.store_lost);
    AddQuantiles(run, "detection", all.detection);
    AddQuantiles(run, "detection_loss_10_percent", all.detection_lossy);
    AddQuantiles(run, "takeover", all.takeover);
    run.figures.push_back({"false_removals_loss_10_percent",
                           CountFalseRemovals(seed, 0.1, duration(0)),
                           "in 10 min"});
    run.figures.push_back({"false_removals_pause_2s",
                           CountFalseRemovals(seed, 0, seconds(2)),
                           "in 10 min"});
    for (const int count : {9, 24, 100}) {
      const double bytes = MeasureTraffic(count, seed);
      traffic = std::max(traffic, bytes);
      run.figures.push_back(
          {"membership_bytes_of_" + std::to_string(count), bytes, "bytes/s"});
    }
    report.runs.push_back(std::move(run));
    worst.store_up.push_back(Quantile(all.store_up, 0.99));
    worst.store_lost.push_back(Quantile(all.store_lost, 0.99));
    worst.takeover.push_back(Quantile(all.takeover, 0.99));
  }
  report.targets = {
      AtMost("in_force_store_up_p99", kConfigBoundSeconds,
             Quantile(worst.store_up, 1), "s"),
      AtMost("in_force_store_lost_p99", kConfigBoundSeconds,
             Quantile(worst.store_lost, 1), "s"),
      AtMost("takeover_p99", kTakeoverBoundSeconds, Quantile(worst.takeover, 1),
             "s"),
      AtMost("membership_bytes", kTrafficBoundBytes, traffic, "bytes/s")};
  PrintReport(report, options.json);
  return 0;
}

}  // namespace sassafras

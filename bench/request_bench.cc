#include "bench/request_bench.h"

#include <algorithm>

#include "bench/bench_report.h"
#include "bench/request_policies.h"

namespace sassafras {
namespace {

constexpr int kSlots = 8;
constexpr double kMostUrgentFactor = 2.0;
constexpr double kLeastGoodput = 0.95;
constexpr double kMicrosecondsPerMillisecond = 1000;

struct request_policy {
  std::string name;
  gateway_maker make;
};

std::vector<request_policy> Policies() {
  return {{"sassafras", MakeCoreGateway},
          {"round_robin", MakeRoundRobinGateway},
          {"random", MakeRandomGateway}};
}

request_scenario Scenario(const std::string& name,
                          double batch_load,
                          request_fault fault) {
  request_scenario made;
  made.name = name;
  made.batch_load = batch_load;
  made.fault = fault;
  return made;
}

std::vector<request_scenario> Scenarios() {
  constexpr double kOverload = 2.0;
  return {Scenario("idle", 0, request_fault::kNone),
          Scenario("overload", kOverload, request_fault::kNone),
          Scenario("killed", kOverload, request_fault::kGatewayKilled),
          Scenario("failing", kOverload, request_fault::kMinionsFail),
          Scenario("silent", kOverload, request_fault::kMinionsSilent),
          Scenario("one_gateway", kOverload, request_fault::kOneGateway)};
}

double PercentileMs(std::vector<duration> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  return static_cast<double>(values[index].count()) /
         kMicrosecondsPerMillisecond;
}

// Batch work done as a part of what all good minions could do.
double Goodput(const request_scenario& scenario,
               const request_figures& figures) {
  const bool has_bad = scenario.fault == request_fault::kMinionsFail ||
                       scenario.fault == request_fault::kMinionsSilent;
  const int minions = scenario.minions - (has_bad ? scenario.bad_minions : 0);
  const double capacity = static_cast<double>(minions) * kSlots *
                          static_cast<double>(scenario.length.count());
  return static_cast<double>(figures.batch_work.count()) / capacity;
}

void AddFigures(const request_scenario& scenario,
                const request_figures& figures,
                bench_run& run) {
  const std::string& name = scenario.name;
  const auto add = [&](const std::string& what, double value,
                       const std::string& unit) {
    run.figures.push_back({name + "_" + what, value, unit});
  };
  constexpr double kMedian = 0.5;
  constexpr double kP99 = 0.99;
  add("urgent_p50", PercentileMs(figures.urgent, kMedian), "ms");
  add("urgent_p99", PercentileMs(figures.urgent, kP99), "ms");
  add("urgent_answered",
      static_cast<double>(figures.urgent_answered) /
          std::max(1, figures.urgent_asked),
      "part");
  add("batch_goodput", Goodput(scenario, figures), "part of slots");
  add("over_use", figures.over_use, "requests");
  add("duplicates", figures.duplicates, "requests");
  add("lost_answers", figures.lost_answers, "requests");
  add("core_time", figures.core_us, "us a request");
}

double ValueOf(const bench_run& run, const std::string& name) {
  for (const bench_figure& figure : run.figures) {
    if (figure.name == name) {
      return figure.value;
    }
  }
  return 0;
}

// Name of a target: scenario, figure and seed.
std::string Title(std::string_view scenario,
                  std::string_view figure,
                  std::uint64_t seed) {
  std::string title(scenario);
  title.append(" ").append(figure);
  title.append(" seed ").append(std::to_string(seed));
  return title;
}

void AddTargets(const bench_run& run, bench_report& report) {
  const double idle_p99 = ValueOf(run, "idle_urgent_p99");
  for (const std::string name : {"overload", "killed", "failing", "silent"}) {
    report.targets.push_back(AtMost(Title(name, "urgent p99", run.seed),
                                    kMostUrgentFactor * idle_p99,
                                    ValueOf(run, name + "_urgent_p99"), "ms"));
    report.targets.push_back(
        AtLeast(Title(name, "batch goodput", run.seed), kLeastGoodput,
                ValueOf(run, name + "_batch_goodput"), "part of slots"));
    report.targets.push_back(AtMost(Title(name, "duplicates", run.seed), 0,
                                    ValueOf(run, name + "_duplicates"),
                                    "requests"));
    report.targets.push_back(AtMost(Title(name, "lost answers", run.seed), 0,
                                    ValueOf(run, name + "_lost_answers"),
                                    "requests"));
  }
}

}  // namespace

int RunRequestBench(const bench_options& options) {
  bench_report report;
  for (int i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(i);
    for (const request_policy& policy : Policies()) {
      if (!options.policy.empty() && options.policy != policy.name) {
        continue;
      }
      bench_run run{policy.name, seed, {}};
      for (const request_scenario& scenario : Scenarios()) {
        ShowProgress(policy.name + " " + scenario.name);
        request_sim sim(scenario, seed);
        AddFigures(scenario, sim.Run(policy.make), run);
      }
      if (policy.name == "sassafras") {
        AddTargets(run, report);
      }
      report.runs.push_back(std::move(run));
    }
  }
  PrintReport(report, options.json);
  const bool all_held =
      std::all_of(report.targets.begin(), report.targets.end(),
                  [](const bench_target& target) { return target.held; });
  return all_held ? 0 : 1;
}

}  // namespace sassafras

#include "bench/policy_bench.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <utility>

#include "bench/bench_report.h"
#include "bench/policy_run.h"

namespace sassafras {
namespace {

constexpr std::array<planner_policy, 3> kPolicies = {planner_policy::kFirstFit,
                                                     planner_policy::kBestFit,
                                                     planner_policy::kReserve};

// Bounds of the issue.
constexpr double kStartBound = 7;            // Seconds.
constexpr double kFragmentationBound = 5;    // Percent.
constexpr double kFragmentationPart = 0.25;  // Of first fit's.
constexpr double kWaitPart = 0.5;            // Of the better baseline's.
constexpr double kUseDifference = 3;         // Points of percent.
constexpr double kPlacementBound = 1'000;    // Microseconds.
constexpr double kPercent = 100;
constexpr double kLeastLoad = 0.85;
constexpr int kLoadSteps = 10;
constexpr double kLoadStep = 0.01;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(part * last))];
}

// Mean over the shapes, weighted by the accelerator time asked for in each.
double WeightedMean(const std::map<shape_id, double>& by_shape,
                    const std::vector<offered_job>& load) {
  double sum = 0;
  double weights = 0;
  for (const offered_job& item : load) {
    const auto it = by_shape.find(item.job.shape);
    if (it != by_shape.end()) {
      const double weight = item.accelerators * Seconds(item.work);
      sum += weight * it->second;
      weights += weight;
    }
  }
  return weights > 0 ? kPercent * sum / weights : 0;
}

class figure_maker {
 public:
  figure_maker(const policy_site& site,
               const std::vector<offered_job>& load,
               const policy_trace& trace)
      : site_(site), load_(load), trace_(trace) {}

  std::vector<bench_figure> Make() {
    AddCompletion();
    Add("fragmentation", WeightedMean(trace_.fragmentation, load_), "%");
    Add("fragmentation_least", WeightedMean(trace_.least_fragmentation, load_),
        "%");
    for (const auto& [id, value] : trace_.fragmentation) {
      Add("fragmentation_" + id.value, kPercent * value, "%");
    }
    Add("use", kPercent * trace_.use, "%");
    AddWaits();
    Add("evictions", static_cast<double>(trace_.evictions), "jobs");
    Add("lost_work", kPercent * trace_.lost_seconds / Offered(), "%");
    Add("broken_guarantees", static_cast<double>(trace_.broken_decisions),
        "decisions");
    Add("decide_p50", trace_.decide_p50_us, "us");
    Add("decide_p99", trace_.decide_p99_us, "us");
    Add("decide_per_start", trace_.start_mean_us, "us");
    return std::move(figures_);
  }

 private:
  void Add(std::string name, double value, std::string unit) {
    figures_.push_back({std::move(name), value, std::move(unit)});
  }

  double Offered() const {
    double sum = 0;
    for (const offered_job& item : load_) {
      sum += item.accelerators * Seconds(item.work);
    }
    return sum;
  }

  bool IsMeasured(std::size_t i) const {
    return load_[i].job.submitted >= instant(site_.warm_up) &&
           trace_.jobs[i].first_start != instant();
  }

  void AddCompletion() {
    std::map<class_id, std::vector<double>> times;
    for (std::size_t i = 0; i < load_.size(); ++i) {
      if (IsMeasured(i)) {
        times[load_[i].job.job_class].push_back(
            Seconds(trace_.jobs[i].end - load_[i].job.submitted));
      }
    }
    for (const auto& [id, values] : times) {
      Add("completion_p50_" + id.value, Quantile(values, 0.5), "s");
      Add("completion_p99_" + id.value, Quantile(values, 0.99), "s");
    }
  }

  void AddWaits() {
    std::vector<double> large;
    std::vector<double> urgent;
    std::vector<double> entitled;
    int in_time = 0;
    for (std::size_t i = 0; i < load_.size(); ++i) {
      if (!IsMeasured(i)) {
        continue;
      }
      const double wait =
          Seconds(trace_.jobs[i].first_start - load_[i].job.submitted);
      const auto& classes = site_.config->objects.classes;
      const bool is_urgent =
          classes.at(load_[i].job.job_class).urgency_level == urgency::kUrgent;
      if (load_[i].accelerators >= site_.large_gang) {
        large.push_back(wait);
      }
      if (trace_.jobs[i].entitled) {
        entitled.push_back(wait);
        in_time += wait <= kStartBound ? 1 : 0;
      }
      if (trace_.jobs[i].entitled && is_urgent) {
        urgent.push_back(wait);
      }
    }
    Add("large_gang_wait_p50", Quantile(large, 0.5), "s");
    Add("large_gang_wait_p99", Quantile(large, 0.99), "s");
    Add("large_gangs", static_cast<double>(large.size()), "jobs");
    Add("urgent_start_greatest", Quantile(urgent, 1), "s");
    Add("reclaim_greatest", Quantile(entitled, 1), "s");
    Add("reclaimed",
        entitled.empty()
            ? kPercent
            : kPercent * in_time / static_cast<double>(entitled.size()),
        "%");
  }

  const policy_site& site_;
  const std::vector<offered_job>& load_;
  const policy_trace& trace_;
  std::vector<bench_figure> figures_;
};

// Median over the seeds of one figure of one policy.
double MedianOf(const bench_report& report,
                planner_policy policy,
                const std::string& name,
                double part = 0.5) {
  std::vector<double> values;
  for (const bench_run& run : report.runs) {
    for (const bench_figure& figure : run.figures) {
      if (run.policy == GetName(policy) && figure.name == name) {
        values.push_back(figure.value);
      }
    }
  }
  return Quantile(std::move(values), part);
}

void AddTargets(bench_report& report) {
  const auto of = [&](planner_policy policy, const std::string& name) {
    return MedianOf(report, policy, name);
  };
  constexpr planner_policy kOurs = planner_policy::kReserve;
  constexpr planner_policy kFirst = planner_policy::kFirstFit;
  constexpr planner_policy kBest = planner_policy::kBestFit;
  const auto least = [&](const std::string& name) {
    return std::min(of(kFirst, name), of(kBest, name));
  };
  report.targets = {
      AtMost("fragmentation", kFragmentationBound, of(kOurs, "fragmentation"),
             "%"),
      AtMost("fragmentation, a quarter of first fit's",
             kFragmentationPart * of(kFirst, "fragmentation"),
             of(kOurs, "fragmentation"), "%"),
      AtMost("large_gang_wait_p99, half of the better",
             kWaitPart * least("large_gang_wait_p99"),
             of(kOurs, "large_gang_wait_p99"), "s"),
      AtMost("urgent_start_greatest, all seeds", kStartBound,
             MedianOf(report, kOurs, "urgent_start_greatest", 1), "s"),
      AtLeast("reclaimed, all seeds", kPercent,
              MedianOf(report, kOurs, "reclaimed", 0), "%"),
      AtLeast("use, within 3 points of the better",
              std::max(of(kFirst, "use"), of(kBest, "use")) - kUseDifference,
              of(kOurs, "use"), "%"),
      AtMost("decide_per_start", kPlacementBound, of(kOurs, "decide_per_start"),
             "us"),
  };
}

// A policy as named on the command line.
struct policy_choice {
  std::string name;
  planner_options options;
};

// All policies, or one: its name, and for "reserve@N" with N seconds as the
// worth of an accelerator made useful.
std::vector<policy_choice> Choices(const std::string& wanted) {
  std::vector<policy_choice> choices;
  const std::size_t at = wanted.find('@');
  for (const planner_policy policy : kPolicies) {
    const std::string name(GetName(policy));
    if (wanted.empty() || wanted.substr(0, at) == name) {
      choices.push_back({wanted.empty() ? name : wanted, {policy}});
    }
  }
  if (at != std::string::npos && !choices.empty()) {
    choices.front().options.max_compaction_loss =
        std::chrono::seconds(std::atoi(wanted.c_str() + at + 1));
  }
  return choices;
}

}  // namespace

int RunPolicyBench(const bench_options& options) {
  result<policy_site> site = MakePolicySite(options.site);
  if (!site) {
    std::cerr << "sassafras-bench: " << site.error().detail << '\n';
    return 1;
  }
  bench_report report;
  for (int i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(i);
    // The load goes through 85% to 95% with the seeds.
    site.value().offered =
        kLeastLoad + kLoadStep * static_cast<double>(seed % (kLoadSteps + 1));
    const std::vector<offered_job> load = MakeLoad(site.value(), seed);
    for (const policy_choice& choice : Choices(options.policy)) {
      ShowProgress("seed " + std::to_string(seed));
      const policy_trace trace =
          RunPolicy(site.value(), load, choice.options, seed);
      report.runs.push_back(
          {choice.name, seed, figure_maker(site.value(), load, trace).Make()});
    }
  }
  if (options.policy.empty()) {
    AddTargets(report);
  }
  PrintReport(report, options.json);
  return 0;
}

}  // namespace sassafras

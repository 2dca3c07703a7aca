#include "bench/bench_report.h"

#include <unistd.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace sassafras {
namespace {

using nlohmann::json;

constexpr int kNameWidth = 44;
constexpr int kValueWidth = 14;

// Values of one figure of one policy over the seeds.
struct figure_values {
  std::vector<double> values;
  std::string unit;
};

using figure_key = std::pair<std::string, std::string>;  // Policy, figure.

void PrintJson(const bench_report& report) {
  json runs = json::array();
  for (const bench_run& run : report.runs) {
    json figures = json::array();
    for (const bench_figure& figure : run.figures) {
      figures.push_back({{"name", figure.name},
                         {"value", figure.value},
                         {"unit", figure.unit}});
    }
    runs.push_back({{"policy", run.policy},
                    {"seed", run.seed},
                    {"figures", std::move(figures)}});
  }
  json targets = json::array();
  for (const bench_target& target : report.targets) {
    targets.push_back({{"name", target.name},
                       {"bound", target.bound},
                       {"value", target.value},
                       {"unit", target.unit},
                       {"held", target.held}});
  }
  std::cout << json{{"runs", std::move(runs)}, {"targets", std::move(targets)}}
                   .dump(2)
            << '\n';
}

void PrintFigures(const bench_report& report) {
  std::vector<figure_key> order;
  std::map<figure_key, figure_values> table;
  for (const bench_run& run : report.runs) {
    for (const bench_figure& figure : run.figures) {
      const figure_key key{run.policy, figure.name};
      figure_values& entry = table[key];
      if (entry.values.empty()) {
        order.push_back(key);
      }
      entry.values.push_back(figure.value);
      entry.unit = figure.unit;
    }
  }
  std::cout << std::left << std::setw(kNameWidth) << "policy: figure"
            << std::right << std::setw(kValueWidth) << "median"
            << std::setw(kValueWidth) << "least" << std::setw(kValueWidth)
            << "greatest"
            << "  unit\n";
  for (const figure_key& key : order) {
    std::vector<double>& values = table[key].values;
    std::sort(values.begin(), values.end());
    std::cout << std::left << std::setw(kNameWidth)
              << key.first + ": " + key.second << std::right
              << std::setw(kValueWidth) << values[values.size() / 2]
              << std::setw(kValueWidth) << values.front()
              << std::setw(kValueWidth) << values.back() << "  "
              << table[key].unit << '\n';
  }
}

void PrintTargets(const bench_report& report) {
  std::cout << '\n'
            << std::left << std::setw(kNameWidth) << "target" << std::right
            << std::setw(kValueWidth) << "bound" << std::setw(kValueWidth)
            << "value"
            << "  unit\n";
  for (const bench_target& target : report.targets) {
    std::cout << std::left << std::setw(kNameWidth) << target.name << std::right
              << std::setw(kValueWidth) << target.bound
              << std::setw(kValueWidth) << target.value << "  " << target.unit
              << (target.held ? "  held" : "  MISSED") << '\n';
  }
}

}  // namespace

bench_target AtMost(std::string name,
                    double bound,
                    double value,
                    std::string unit) {
  return {std::move(name), bound, value, std::move(unit), value <= bound};
}

bench_target AtLeast(std::string name,
                     double bound,
                     double value,
                     std::string unit) {
  return {std::move(name), bound, value, std::move(unit), value >= bound};
}

void PrintReport(const bench_report& report, bool json) {
  if (json) {
    PrintJson(report);
    return;
  }
  PrintFigures(report);
  PrintTargets(report);
}

void ShowProgress(const std::string& text) {
  if (::isatty(STDERR_FILENO) == 1) {
    std::cerr << '\r' << text << "   " << std::flush;
  }
}

}  // namespace sassafras

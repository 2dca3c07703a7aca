#include "programs/load/load_record.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace sassafras {
namespace {

constexpr int kNameWidth = 24;
constexpr int kNumberWidth = 11;

double ToMilliseconds(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

// Returns the value at rank `part` * (count - 1), rounded down, or "-".
std::string Quantile(std::vector<duration> values, double part) {
  if (values.empty()) {
    return "-";
  }
  const auto index =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  const auto rounded = std::llround(ToMilliseconds(values[index]));
  return std::to_string(rounded) + " ms";
}

void PrintClasses(const load_record& record) {
  std::cout << std::left << std::setw(kNameWidth) << "class" << std::right;
  for (const char* title :
       {"submitted", "answered", "not run", "unknown", "median", "p99"}) {
    std::cout << std::setw(kNumberWidth) << title;
  }
  std::cout << '\n';
  for (const auto& [name, item] : record.classes) {
    std::cout << std::left << std::setw(kNameWidth) << name << std::right
              << std::setw(kNumberWidth) << item.submitted
              << std::setw(kNumberWidth) << item.answered
              << std::setw(kNumberWidth) << item.not_run
              << std::setw(kNumberWidth) << item.unknown
              << std::setw(kNumberWidth) << Quantile(item.completion_times, 0.5)
              << std::setw(kNumberWidth)
              << Quantile(item.completion_times, 0.99) << '\n';
  }
}

}  // namespace

std::vector<guarantee_check> CheckGuarantees(
    const load_record& record,
    const std::map<std::string, int>& executions) {
  guarantee_check repeated_runs{"non-idempotent work that ran twice"};
  guarantee_check not_run{"reported as not run, but ran"};
  guarantee_check incomplete{"reported as run, but ran incompletely"};
  for (const auto& [key, item] : record.keys) {
    const auto it = executions.find(key);
    const int count = it == executions.end() ? 0 : it->second;
    if (item.max_executions > 0 && count > item.max_executions) {
      ++repeated_runs.violations;
    }
    if (item.reported_outcome == run_outcome::kNotRun && count > 0) {
      ++not_run.violations;
    }
    if (item.reported_outcome == run_outcome::kRan &&
        count < item.min_executions) {
      ++incomplete.violations;
    }
  }
  return {repeated_runs,
          not_run,
          incomplete,
          {"wrong or partial answers", record.wrong_answers},
          {"accepted jobs without an outcome", record.jobs_without_outcome}};
}

void PrintRecord(const load_record& record,
                 const std::map<std::string, double>& scheduler_metrics,
                 const std::vector<guarantee_check>& checks) {
  PrintClasses(record);
  std::cout << "\nrefusals by reason\n";
  for (const auto& [name, count] : record.refusals) {
    std::cout << "  " << name << ": " << count << '\n';
  }
  std::cout << "\nscheduler\n";
  for (const auto& [name, value] : scheduler_metrics) {
    std::cout << "  " << name << ": " << value << '\n';
  }
  std::cout << "\nguarantees violated\n";
  for (const guarantee_check& check : checks) {
    std::cout << "  " << check.name << ": " << check.violations << '\n';
  }
}

}  // namespace sassafras

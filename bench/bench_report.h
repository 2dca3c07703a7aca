#ifndef SASSAFRAS_BENCH_BENCH_REPORT_H_
#define SASSAFRAS_BENCH_BENCH_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

/// One measured value.
struct bench_figure {
  std::string name;
  double value = 0;
  std::string unit;
};

/// All figures of one policy with one seed.
struct bench_run {
  std::string policy;
  std::uint64_t seed = 0;
  std::vector<bench_figure> figures;
};

/// One bound that an issue states, and whether the runs held it.
struct bench_target {
  std::string name;
  double bound = 0;
  double value = 0;
  std::string unit;
  bool held = false;
};

/// Result of one measurement.
struct bench_report {
  std::vector<bench_run> runs;
  std::vector<bench_target> targets;
};

/// Makes a target that holds if `value` is at most `bound`.
bench_target AtMost(std::string name,
                    double bound,
                    double value,
                    std::string unit);

/// Makes a target that holds if `value` is at least `bound`.
bench_target AtLeast(std::string name,
                     double bound,
                     double value,
                     std::string unit);

/// Prints the report as JSON ("runs", "targets"), or as a table that gives per
/// policy and figure the median, least and greatest value over the seeds.
void PrintReport(const bench_report& report, bool json);

/// Shows `text` on standard error if that is a terminal.
void ShowProgress(const std::string& text);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_BENCH_REPORT_H_

#include <boost/program_options.hpp>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "tests/soak_driver.h"

namespace po = boost::program_options;

namespace sassafras {
namespace {

struct totals {
  std::uint64_t steps = 0;
  int violations = 0;
  std::map<std::string, std::uint64_t> met;
};

void RunSeeds(const std::function<soak_result(const soak_options&)>& run,
              soak_options options,
              int seeds,
              bool is_first_only,
              totals& sum) {
  for (int i = 0; i < seeds; ++i, ++options.seed) {
    if (is_first_only && sum.violations > 0) {
      return;
    }
    const soak_result result = run(options);
    sum.steps += result.steps;
    for (const auto& [name, count] : result.met) {
      sum.met[name] += count;
    }
    if (!result.violation.empty()) {
      ++sum.violations;
      std::cout << result.violation << std::endl;
    }
  }
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  using namespace sassafras;
  soak_options wanted;
  int seeds = 1;
  bool is_first_only = false;
  std::string part = "all";
  po::options_description options("Options");
  options.add_options()("seed", po::value(&wanted.seed), "first seed")(
      "seeds", po::value(&seeds), "number of seeds")(
      "steps", po::value(&wanted.steps), "steps of each seed")(
      "first-only", po::bool_switch(&is_first_only),
      "stop at the first violation")("trace", po::value(&wanted.trace),
                                     "print events with this word")(
      "part", po::value(&part), "requests, jobs or all");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  totals sum;
  if (part != "jobs") {
    RunSeeds(SoakRequests, wanted, seeds, is_first_only, sum);
  }
  if (part != "requests") {
    RunSeeds(SoakJobs, wanted, seeds, is_first_only, sum);
  }
  for (const auto& [name, count] : sum.met) {
    std::printf("%10llu %s\n", static_cast<unsigned long long>(count),
                name.c_str());
  }
  std::cout << sum.steps << " steps, " << sum.violations << " violations\n";
  return sum.violations == 0 ? 0 : 1;
}

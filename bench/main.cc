#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "bench/bench_options.h"
#include "bench/capacity_bench.h"
#include "bench/config_bench.h"
#include "bench/job_cost_bench.h"
#include "bench/owner_bench.h"
#include "bench/policy_bench.h"
#include "bench/request_bench.h"

namespace sassafras {
namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;

struct bench_command {
  std::string name;
  std::string purpose;
  std::function<int(const bench_options&)> run;
};

// One line per measurement.
std::vector<bench_command> BenchCommands() {
  return {
      {"capacity", "state, messages and cost by size", RunCapacityBench},
      {"owner", "decisions on the users' platform, by number of minions",
       RunOwnerBench},
      {"job-cost", "what one job costs its owner, by its tasks",
       RunJobCostBench},
      {"policy", "placement of jobs, in virtual time", RunPolicyBench},
      {"config", "configuration, membership and leases, in virtual time",
       RunConfigBench},
      {"requests", "request path under overload and faults", RunRequestBench},
  };
}

void PrintHelp(const po::options_description& options) {
  std::cout << "sassafras-bench COMMAND [OPTIONS]\n" << options << "Commands\n";
  for (const bench_command& command : BenchCommands()) {
    std::cout << "  " << command.name << ": " << command.purpose << '\n';
  }
}

int Main(int argc, const char* const* argv) {
  bench_options wanted;
  std::string name;
  po::options_description options("Options");
  options.add_options()("help", "print this text")("version",
                                                   "print the version")(
      "seed", po::value(&wanted.seed)->default_value(1), "first seed")(
      "seeds", po::value(&wanted.seeds)->default_value(1), "number of seeds")(
      "policy", po::value(&wanted.policy), "one policy instead of all")(
      "site", po::value(&wanted.site)->default_value("piwhma"),
      "piwhma, kitaran or target")("json", po::bool_switch(&wanted.json),
                                   "JSON instead of a table");
  po::options_description all;
  all.add(options).add_options()("command", po::value(&name));
  po::positional_options_description positional;
  positional.add("command", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "sassafras-bench: " << failure.what() << '\n';
    return kUsageError;
  }
  if (values.count("help") > 0) {
    PrintHelp(options);
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "sassafras-bench " << SASSAFRAS_VERSION << '\n';
    return 0;
  }
  for (const bench_command& command : BenchCommands()) {
    if (command.name == name) {
      return command.run(wanted);
    }
  }
  std::cerr << "sassafras-bench: a command is needed; see --help\n";
  return kUsageError;
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}

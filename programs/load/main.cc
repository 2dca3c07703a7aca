#include <boost/program_options.hpp>
#include <iostream>

#include "programs/load/load_driver.h"
#include "programs/shell/command_line.h"

namespace sassafras {
namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;

int RunPlan(load_plan plan, std::uint64_t seed) {
  load_driver driver(std::move(plan), seed);
  driver.Run();
  const std::vector<guarantee_check> checks =
      CheckGuarantees(driver.Record(), driver.ReadExecutions());
  PrintRecord(driver.Record(), driver.ReadSchedulerMetrics(), checks);
  for (const guarantee_check& check : checks) {
    if (check.violations > 0) {
      return 1;
    }
  }
  return 0;
}

int Main(int argc, const char* const* argv) {
  std::uint64_t seed = 1;
  po::options_description options(
      "sassafras-load: sends requests and jobs and checks the answers\n"
      "Options");
  options.add_options()("help", "print this text")(
      "version", "print the version")("config", po::value<std::string>(),
                                      "plan file (YAML)")(
      "check-config", "check the plan file and exit")(
      "seed", po::value(&seed)->default_value(1), "seed of all random choices");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "sassafras-load: " << failure.what() << '\n' << options;
    return kUsageError;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "sassafras-load " << SASSAFRAS_VERSION << '\n';
    return 0;
  }
  if (values.count("config") == 0) {
    std::cerr << "sassafras-load: --config FILE is required\n" << options;
    return kUsageError;
  }
  const std::string path = values["config"].as<std::string>();
  parsed_load_plan parsed =
      ParseLoadPlan(path, ReadFile(path).value_or(std::string()));
  for (const config_fault& fault : parsed.faults) {
    std::cerr << ToString(fault) << '\n';
  }
  if (!parsed.faults.empty()) {
    return 1;
  }
  if (values.count("check-config") > 0) {
    std::cout << path << ": valid\n";
    return 0;
  }
  return RunPlan(std::move(parsed.plan), seed);
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}

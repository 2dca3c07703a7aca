#include "programs/shell/command_line.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace sassafras {
namespace {

namespace po = boost::program_options;

constexpr int kUsageErrorExitCode = 2;
constexpr int kInvalidSettingsExitCode = 1;

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int ReportFaults(const std::string& path,
                 const std::vector<config_fault>& faults,
                 bool is_check_only) {
  for (const config_fault& fault : faults) {
    std::cerr << ToString(fault) << '\n';
  }
  if (!faults.empty()) {
    return kInvalidSettingsExitCode;
  }
  if (is_check_only) {
    std::cout << path << ": valid\n";
  }
  return 0;
}

settings_arguments ParseSettingsArguments(int argc,
                                          const char* const* argv,
                                          const std::string& program,
                                          const std::string& purpose) {
  po::options_description options(program + ": " + purpose + "\nOptions");
  options.add_options()("help", "print this help text")(
      "version", "print the version")("config", po::value<std::string>(),
                                      "settings file (YAML)")(
      "check-config", "check the settings file and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << program << ": " << failure.what() << "\n" << options;
    return {"", false, kUsageErrorExitCode};
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return {};
  }
  if (values.count("version") > 0) {
    std::cout << program << ' ' << SASSAFRAS_VERSION << '\n';
    return {};
  }
  if (values.count("config") == 0) {
    std::cerr << program << ": --config FILE is required\n" << options;
    return {"", false, kUsageErrorExitCode};
  }
  return {values["config"].as<std::string>(), values.count("check-config") > 0,
          0};
}

loaded_process_settings ReadCommandLine(int argc,
                                        const char* const* argv,
                                        const std::string& program,
                                        const std::string& purpose) {
  return LoadSettings<process_settings>(
      ParseSettingsArguments(argc, argv, program, purpose), ParseSettings);
}

}  // namespace sassafras

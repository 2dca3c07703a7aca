#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "programs/ctl/blocking_ports.h"
#include "programs/ctl/commands.h"

namespace sassafras {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

// Reads the status page `path` of the entry process at `address`. On failure
// prints the reason and returns empty.
std::optional<json> ReadPage(blocking_ports& ports,
                             const std::string& address,
                             const std::string& path) {
  http_request request;
  request.method = "GET";
  request.path = path;
  const http_answer answer = ports.Call(address, request);
  if (answer.state != answer_state::kDone ||
      answer.response.status != kHttpOk) {
    std::cerr << "sassafras-ctl: " << address
              << " did not answer with status 200\n";
    return std::nullopt;
  }
  json page = json::parse(answer.response.body, nullptr, false);
  if (!page.is_object()) {
    std::cerr << "sassafras-ctl: " << address
              << " did not answer with a JSON object\n";
    return std::nullopt;
  }
  return page;
}

// Reads `path` from the entry processes in order and returns the first page of
// a process that owns the jobs.
std::optional<json> ReadOwnerPage(const ctl_options& options,
                                  const std::string& path) {
  blocking_ports ports(options.platform);
  for (const std::string& address : options.entries) {
    auto page = ReadPage(ports, address, path);
    if (page && page->value("is_owner", false)) {
      return page;
    }
  }
  return std::nullopt;
}

// Prints the owner, load, teams and minions of the status page `page`.
void PrintWork(const json& page) {
  const json& work = page.at("work");
  std::cout << "owner " << page.value("owner", "") << ", configuration "
            << page.at("config_version") << ", " << page.at("config_age_ms")
            << " ms old\n";
  std::cout << "units waiting by priority " << work.at("waiting_units").dump()
            << ", running " << work.at("running_units") << ", ending "
            << work.at("closing_units") << "; free accelerators "
            << work.at("free_accelerators") << ", of these on whole minions "
            << work.at("free_in_whole_minions") << '\n';
  for (const json& team : work.at("teams")) {
    const std::int64_t guaranteed = team.at("guaranteed");
    const std::int64_t urgent = team.at("urgent");
    const std::int64_t other = team.at("other");
    std::cout << "team " << team.value("team", "") << ": guaranteed "
              << guaranteed << ", urgent jobs hold " << urgent
              << ", other jobs hold " << other;
    if (urgent + other > guaranteed) {
      std::cout << "; borrows " << urgent + other - guaranteed;
    }
    std::cout << '\n';
  }
  std::map<std::string, int> count_by_health;
  for (const json& minion : page.at("minions")) {
    const std::string health = minion.value("health", "");
    ++count_by_health[health];
    if (health != "usable") {
      std::cout << "minion " << minion.value("id", "") << ": " << health
                << ", runs " << minion.at("runs") << '\n';
    }
  }
  for (const auto& [health, count] : count_by_health) {
    std::cout << "minions " << health << ": " << count << '\n';
  }
}

int ShowWork(const ctl_options& options) {
  if (options.entries.empty() || options.arguments.size() > 1) {
    std::cerr << "sassafras-ctl: work [JOB] needs one --entry per process\n";
    return kExitUsage;
  }
  const bool is_for_job = !options.arguments.empty();
  const auto page = ReadOwnerPage(
      options,
      is_for_job ? "/v1/jobs/" + options.arguments.front() : "/v1/status");
  if (!page) {
    std::cerr << "sassafras-ctl: no process given by --entry owns the jobs\n";
    return kExitRefused;
  }
  if (options.prints_json) {
    std::cout << page->dump() << '\n';
    return kExitOk;
  }
  if (!is_for_job) {
    PrintWork(*page);
    return kExitOk;
  }
  const std::string sentence = page->value("sentence", "");
  std::cout << (sentence.empty() ? "The owner has no job with this id."
                                 : sentence)
            << '\n';
  return sentence.empty() ? kExitRefused : kExitOk;
}

}  // namespace

std::vector<ctl_command> WorkCommands() {
  return {{"work",
           "[JOB]: owner, load, teams and minions of the entry processes "
           "(--entry); with JOB, the state of that job",
           ShowWork}};
}

}  // namespace sassafras

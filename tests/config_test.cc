#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "sassafras/config/config_parse.h"
#include "sassafras/config/settings.h"
#include "sassafras/config/yaml_reader.h"

namespace sassafras {
namespace {

std::vector<source_file> ReadExample(const std::string& name) {
  std::vector<source_file> files;
  const std::string directory =
      std::string(SASSAFRAS_SOURCE_DIR) + "/examples/" + name;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    std::ifstream file(entry.path());
    std::ostringstream text;
    text << file.rdbuf();
    files.push_back({entry.path().filename().string(), text.str()});
  }
  return files;
}

std::vector<config_fault> FaultsOf(const std::string& text) {
  return ParseConfigSet({{"a.yaml", text}}, unknown_keys::kRefuse).faults;
}

bool HasFault(const std::vector<config_fault>& faults,
              int line,
              const std::string& key,
              const std::string& problem) {
  return std::any_of(
      faults.begin(), faults.end(), [&](const config_fault& fault) {
        return fault.line == line && fault.key.find(key) != std::string::npos &&
               fault.problem.find(problem) != std::string::npos;
      });
}

constexpr const char* kSmallTopology = R"(places:
  - {name: lahore, region: pk-central}
racks:
  - {name: r1, place: lahore}
workers:
  - {name: w1, rack: r1, address: "127.0.0.1:1", cores: 130, memory: 256GB, accelerators: 8}
)";

}  // namespace

TEST_CASE("Amounts are accepted only with a known unit") {
  CHECK(ParseDuration("250us") == duration(250));
  CHECK(ParseDuration("6s") == duration(6'000'000));
  CHECK(ParseDuration("2h") == duration(7'200'000'000));
  for (const char* invalid : {"", "6", "s", "-1s", "6 s", "6sec", "1.5s"}) {
    CHECK_FALSE(ParseDuration(invalid));
  }
  CHECK(ParseMegabytes("256GB") == 256'000);
  CHECK_FALSE(ParseMegabytes("256GiB"));
}

TEST_CASE("The example sets of both customers are valid") {
  for (const char* name : {"piwhma", "kitaran"}) {
    const parsed_config parsed =
        ParseConfigSet(ReadExample(name), unknown_keys::kRefuse);
    for (const config_fault& fault : parsed.faults) {
      INFO(ToString(fault));
      CHECK(false);
    }
    CHECK(parsed.objects.workers.size() == 50);
    CHECK(parsed.objects.teams.size() == 4);
  }
}

TEST_CASE("An invalid set is refused with file, line, key and expected value") {
  SECTION(
      "unknown keys, wrong units and values out of range are all reported") {
    const auto faults = FaultsOf(R"(places:
  - {name: lahore, region: pk-central, colour: red}
racks:
  - {name: r1, place: multan}
workers:
  - {name: w1, rack: r1, address: "nowhere", cores: -1, memory: 256, accelerators: 8}
)");
    CHECK(HasFault(faults, 2, "places[0].colour", "unknown key"));
    CHECK(HasFault(faults, 4, "racks/r1.place", "'multan' does not exist"));
    CHECK(HasFault(faults, 6, "workers[0].address", "not a valid address"));
    CHECK(HasFault(faults, 6, "workers[0].cores", "out of range"));
    CHECK(HasFault(faults, 6, "workers[0].memory", "wrong unit"));
  }
  SECTION("duplicate names are refused") {
    const auto faults = FaultsOf(R"(places:
  - {name: lahore, region: pk-central}
  - {name: lahore, region: pk-central}
)");
    CHECK(HasFault(faults, 3, "places[1].name", "already defined in a.yaml:2"));
  }
  SECTION("a shape that no rack can form is refused") {
    const auto faults = FaultsOf(
        std::string(kSmallTopology) +
        "shapes:\n  - {name: two, level: rack, workers: 2, accelerators: 8, "
        "cores: 8, memory: 8GB}\n");
    CHECK(HasFault(faults, 8, "shapes/two.level", "no group of workers"));
  }
  SECTION("guarantees that cannot be placed together are refused") {
    const auto faults = FaultsOf(
        std::string(kSmallTopology) +
        "shapes:\n  - {name: eight, level: worker, accelerators: 8, cores: 8, "
        "memory: 8GB}\n"
        "teams:\n"
        "  - {name: a, guarantees: [{shape: eight}]}\n"
        "  - {name: b, guarantees: [{shape: eight}]}\n");
    CHECK(HasFault(faults, 0, "teams.guarantees", "cannot be placed"));
  }
  SECTION("contradictory limits are refused") {
    const auto faults = FaultsOf(
        "classes:\n"
        "  - {name: c, kind: job, urgency: urgent, idempotent: false, "
        "max_restarts: 2, checkpoint_grace: 2s}\n");
    CHECK(HasFault(faults, 2, "classes/c.max_restarts", "never restarted"));
    CHECK(HasFault(faults, 2, "classes/c.checkpoint_grace", "no checkpoint"));
  }
  SECTION("text that is not YAML is one fault") {
    const auto faults = FaultsOf("places: [");
    REQUIRE(faults.size() == 1);
    CHECK(faults.front().expected == "valid YAML");
  }
}

TEST_CASE("A set published by a newer version loads despite unknown keys") {
  const std::string text =
      std::string(kSmallTopology) + "pumps:\n  - {name: p}\n";
  const std::string content = EncodeSources({{"a.yaml", text}});
  const auto loaded = LoadPublishedConfig(7, content);
  REQUIRE(loaded);
  CHECK(loaded.value()->version == 7);
  CHECK(loaded.value()->objects.workers.size() == 1);
  CHECK(LoadPublishedConfig(7, "{}").error().kind == error_kind::kMalformed);
}

TEST_CASE("Settings with an invalid value are refused") {
  const std::string valid_settings = R"(cluster: piwhma
id: gateway-1
role: gateway
place: lahore
listen: "127.0.0.1:18081"
peer_listen: "127.0.0.1:18181"
platform: ["127.0.0.1:18000"]
)";
  SECTION("a valid file has no fault") {
    const parsed_settings parsed = ParseSettings("g.yaml", valid_settings);
    CHECK(parsed.faults.empty());
    CHECK(parsed.settings.id.value == "gateway-1");
  }
  SECTION("a wrong unit is reported with its line and key") {
    const parsed_settings parsed =
        ParseSettings("g.yaml", valid_settings + "config_poll: 2\n");
    REQUIRE(parsed.faults.size() == 1);
    CHECK(ToString(parsed.faults.front()).rfind("g.yaml:8: config_poll:", 0) ==
          0);
  }
}

}  // namespace sassafras

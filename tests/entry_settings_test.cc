#include <catch2/catch.hpp>

#include "programs/entry/descriptor_budget.h"
#include "programs/entry/entry_settings.h"
#include "programs/entry/job_owner.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

const std::string kCompleteSettings =
    "id: front-1\nplace: lahore\ncallers: 10.0.0.1:80\n"
    "readiness: 10.0.0.1:81\nstatus: 10.0.0.1:82\nstore: 10.0.0.9:80\n"
    "advice: \"\"\nmachines: 10.0.0.8:80\n"
    "processor_share: 0.25\ndescriptors: 4100\n"
    "bounds:\n  greatest_lease: 6000ms\n  checkpoint_seconds: 0.5\n"
    "  stop_grace_seconds: 4.5\n";

TEST_CASE("Complete settings of an entry process are read") {
  const auto parsed = ParseEntrySettings("s.yaml", kCompleteSettings);
  REQUIRE(parsed.faults.empty());
  CHECK(parsed.settings.id.value == "front-1");
  CHECK(parsed.settings.processor_share == 0.25);
  CHECK(parsed.settings.advice.empty());
  CHECK(parsed.settings.machines == "10.0.0.8:80");
  CHECK(parsed.settings.max_lease == 6s);
  CHECK(parsed.settings.stop_grace == 4500ms);
  CHECK(parsed.settings.checkpoint_interval == 500ms);
  CHECK(parsed.settings.descriptors == 4100);
}

TEST_CASE("Mechanisms are on unless the settings switch them off") {
  const auto parsed = ParseEntrySettings(
      "s.yaml", kCompleteSettings + "policy:\n  relay_calls: false\n");
  REQUIRE(parsed.faults.empty());
  CHECK_FALSE(parsed.settings.policy.relay_calls);
  CHECK(parsed.settings.policy.move_stalled_runs);
  const auto unknown = ParseEntrySettings(
      "s.yaml", kCompleteSettings + "policy:\n  relay_cals: false\n");
  CHECK(unknown.faults.size() == 1);
}

// Guards against an owner whose orders wait for its link beside processes with
// fast ones.
TEST_CASE("A slow link reduces the capacity of an owner") {
  entry_settings settings;
  settings.processor_share = 0.3;
  CHECK(OwnerCapacityOf(settings) == Approx(0.3));
  settings.link_mbps = 10;
  CHECK(OwnerCapacityOf(settings) == Approx(0.3));  // Without the switch.
  settings.policy.weigh_owner_link = true;
  settings.link_mbps = 200;
  CHECK(OwnerCapacityOf(settings) == Approx(0.3));
  settings.link_mbps = 10;
  CHECK(OwnerCapacityOf(settings) == Approx(0.03));
}

TEST_CASE("File descriptors are divided among kinds of connections") {
  const descriptor_budget budget = DivideDescriptors(4100);

  SECTION("the shares together stay within the limit of the process") {
    CHECK(budget.outgoing + budget.callers < 4100);
    CHECK(budget.outgoing > 0);
    CHECK(budget.callers > 0);
  }
  SECTION("long polls and idle connections leave some for orders") {
    CHECK(budget.long_polls + budget.idle < budget.outgoing);
  }
  SECTION("a limit below the reserve gives no connections") {
    CHECK(DivideDescriptors(100).outgoing == 0);
  }
}

TEST_CASE("Each fault of the settings is reported with line and key") {
  const auto list_faults = [](const std::string& text) {
    std::string lines;
    for (const config_fault& fault :
         ParseEntrySettings("s.yaml", text).faults) {
      lines += ToString(fault) + "\n";
    }
    return lines;
  };
  CHECK(list_faults(kCompleteSettings + "  odd: 1\n")
            .find("s.yaml:15: bounds.odd") != std::string::npos);
  CHECK(list_faults(kCompleteSettings + "more: 1\n").find("unknown key") !=
        std::string::npos);
  std::string faulty = kCompleteSettings;
  faulty.replace(faulty.find("10.0.0.9:80"), 11, "store.local");
  CHECK(list_faults(faulty).find("'store.local' is not a valid address") !=
        std::string::npos);
  faulty = kCompleteSettings;
  faulty.replace(faulty.find("0.25"), 4, "none");
  CHECK(list_faults(faulty).find("processor_share") != std::string::npos);
  faulty = kCompleteSettings;
  faulty.replace(faulty.find("4100"), 4, "9");
  CHECK(list_faults(faulty).find("descriptors") != std::string::npos);
  faulty = kCompleteSettings;
  faulty.replace(faulty.find("4.5"), 3, "x.5");
  CHECK(list_faults(faulty).find("stop_grace_seconds") != std::string::npos);
  CHECK(
      list_faults(kCompleteSettings + "link_mbps: fast\n").find("link_mbps") !=
      std::string::npos);
  CHECK(list_faults(kCompleteSettings + "memory_mb: 1\n").find("memory_mb") !=
        std::string::npos);
  CHECK(list_faults(kCompleteSettings + "memory_mb: 32\nlimits:\n" +
                    "  request_body_bytes: 2000000\n")
            .find("request_body_bytes") != std::string::npos);
  CHECK(list_faults(kCompleteSettings +
                    "limits:\n  request_header_fields: many\n")
            .find("s.yaml:16: limits.request_header_fields") !=
        std::string::npos);
}

// Guards against decisions about overload in a deployment that did not ask for
// them.
TEST_CASE("Decisions about overload are off unless the settings ask for them") {
  const sched::policy_switches unset =
      ParseEntrySettings("s.yaml", kCompleteSettings).settings.policy;
  CHECK(unset.relay_calls);
  CHECK_FALSE(unset.hold_room_for_gangs);
  CHECK_FALSE(unset.admission_control);

  SECTION("a switch that is set takes effect alone") {
    const sched::policy_switches set =
        ParseEntrySettings(
            "s.yaml",
            kCompleteSettings + "policy:\n  hold_room_for_gangs: true\n")
            .settings.policy;
    CHECK(set.hold_room_for_gangs);
    CHECK_FALSE(set.order_by_objective);
  }
}

}  // namespace
}  // namespace sassafras

#include "programs/load/load_plan.h"

#include "sassafras/config/address.h"
#include "sassafras/config/yaml_reader.h"

namespace sassafras {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMaxPerSecond = 100'000;
constexpr std::int64_t kMaxTasks = 128;
constexpr std::int64_t kMaxServices = 5'000;

std::vector<std::string> ReadAddresses(yaml_reader& reader,
                                       const std::string& key) {
  std::vector<std::string> addresses = reader.ReadStrings(key);
  for (const std::string& address : addresses) {
    if (!ParseAddress(address)) {
      reader.AddFault(key, "'" + address + "' is not a valid address",
                      "a list of IP:port");
    }
  }
  return addresses;
}

void ReadRange(yaml_reader& reader, service_range& range) {
  const std::string text = reader.ReadString("first");
  const auto first = ParseAddress(text);
  if (!first) {
    reader.AddFault("first", "'" + text + "' is not a valid address",
                    "IP:port");
    return;
  }
  range.host = first->host;
  range.first_port = first->port;
  range.count = static_cast<int>(reader.ReadInteger("count", 1, kMaxServices));
}

request_load_plan ReadRequests(yaml_reader& reader) {
  request_load_plan plan;
  plan.class_name = reader.ReadName("class");
  plan.token = reader.ReadString("token");
  plan.per_second =
      static_cast<int>(reader.ReadInteger("per_second", 1, kMaxPerSecond));
  plan.work_time = reader.ReadDuration("work", duration(0), hours(1));
  plan.is_at_most_once = reader.ReadBool("once", false);
  return plan;
}

job_load_plan ReadJobs(yaml_reader& reader) {
  job_load_plan plan;
  plan.class_name = reader.ReadName("class");
  plan.shape = reader.ReadName("shape");
  plan.token = reader.ReadString("token");
  plan.tasks = static_cast<int>(reader.ReadInteger("tasks", 1, kMaxTasks));
  plan.submit_interval =
      reader.ReadDuration("every", milliseconds(1), hours(1));
  plan.run_time = reader.ReadDuration("run", milliseconds(1), hours(24));
  plan.is_at_most_once = reader.ReadBool("once", false);
  return plan;
}

void ReadPlan(yaml_reader& reader, load_plan& plan) {
  plan.gateways = ReadAddresses(reader, "gateways");
  plan.schedulers = ReadAddresses(reader, "schedulers");
  if (plan.gateways.empty()) {
    reader.AddFault("gateways", "lists no gateway", "a list of IP:port");
  }
  plan.send_time = reader.ReadDuration("length", seconds(1), hours(24));
  plan.settle_timeout = reader.ReadDuration("settle", seconds(1), hours(1));
  reader.ReadMap("minions",
                 [&](yaml_reader& item) { ReadRange(item, plan.minions); });
  reader.ReadMap("workers",
                 [&](yaml_reader& item) { ReadRange(item, plan.workers); });
  reader.ReadList("requests", [&](yaml_reader& item) {
    plan.requests.push_back(ReadRequests(item));
  });
  reader.ReadList(
      "jobs", [&](yaml_reader& item) { plan.jobs.push_back(ReadJobs(item)); });
}

}  // namespace

parsed_load_plan ParseLoadPlan(const std::string& file,
                               const std::string& text) {
  parsed_load_plan parsed;
  ReadYaml(file, text, unknown_keys::kRefuse, parsed.faults,
           [&](yaml_reader& reader) { ReadPlan(reader, parsed.plan); });
  return parsed;
}

}  // namespace sassafras

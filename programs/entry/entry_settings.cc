#include "programs/entry/entry_settings.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "sassafras/config/address.h"
#include "sassafras/config/yaml_reader.h"

namespace sassafras {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr duration kMinDuration = milliseconds(1);
constexpr duration kMaxDuration = hours(24);
constexpr int kMaxThreads = 64;
constexpr double kMaxProcessorShare = 1024;
constexpr double kMaxLinkMbps = 1e6;
constexpr int kMaxDecisionLines = 100'000;
// Minimum to serve callers, the store and a few minions at the same time.
constexpr int kMinDescriptors = 400;
constexpr int kMaxDescriptors = 1 << 20;
// An idle process takes 10 MB, the owner of the jobs several times that.
constexpr int kMinMemoryMb = 32;
constexpr int kMaxMemoryMb = 1 << 24;

std::string ReadAddress(yaml_reader& reader,
                        const std::string& key,
                        std::optional<std::string> fallback = std::nullopt) {
  std::string address = reader.ReadString(key, std::move(fallback));
  if (!address.empty() && !ParseAddress(address)) {
    reader.AddFault(key, "'" + address + "' is not a valid address",
                    "a numeric IPv4 address with port, such as 10.0.0.1:8080");
  }
  return address;
}

// Parses a decimal number, with or without a fraction. Returns 0 if `text` is
// not a number.
double ParseNumber(const std::string& text) {
  double number = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_number =
      code == std::errc() && end == text.data() + text.size();
  return is_number ? number : 0;
}

double ReadProcessorShare(yaml_reader& reader, const std::string& key) {
  const std::string text = reader.ReadString(key, "1");
  const double share = ParseNumber(text);
  if (share <= 0 || share > kMaxProcessorShare) {
    reader.AddFault(key, "'" + text + "' is out of range",
                    "a number of cores above 0, up to 1024, such as 0.25");
    return 1;
  }
  return share;
}

double ReadLinkBandwidth(yaml_reader& reader, const std::string& key) {
  const std::string text = reader.ReadString(key, "");
  const double bandwidth = ParseNumber(text);
  if (!text.empty() && !(bandwidth > 0 && bandwidth <= kMaxLinkMbps)) {
    reader.AddFault(key, "'" + text + "' is out of range",
                    "megabits per second above 0, up to 1000000, such as 10");
    return 0;
  }
  return bandwidth;
}

// Reads a number of seconds, with or without a fraction, as platforms state it.
duration ReadSeconds(yaml_reader& reader,
                     const std::string& key,
                     duration fallback) {
  const std::string text = reader.ReadString(key, "");
  if (text.empty()) {
    return fallback;
  }
  const auto value = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(ParseNumber(text)));
  if (value < kMinDuration || value > kMaxDuration) {
    reader.AddFault(key, "'" + text + "' is out of range",
                    "seconds from 0.001 to 86400 (one day), such as 6 or 4.5");
    return fallback;
  }
  return value;
}

void ReadDurationBounds(yaml_reader& reader, entry_settings& settings) {
  const auto read_duration = [&](const char* key, duration& value) {
    value = reader.ReadDuration(key, kMinDuration, kMaxDuration, value);
  };
  read_duration("greatest_lease", settings.max_lease);
  read_duration("stop_time", settings.stop_time);
  read_duration("restore_time", settings.restore_time);
  read_duration("reclaim_time", settings.reclaim_time);
  read_duration("revoke_time", settings.revoke_time);
  read_duration("evacuate_time", settings.evacuate_time);
  settings.stop_grace =
      ReadSeconds(reader, "stop_grace_seconds", settings.stop_grace);
  settings.checkpoint_interval =
      ReadSeconds(reader, "checkpoint_seconds", settings.checkpoint_interval);
  settings.state_time =
      ReadSeconds(reader, "state_seconds", settings.state_time);
}

void ReadLimits(yaml_reader& reader, message_limits& limits) {
  const auto read = [&reader](const char* key, int low, int high, int& value) {
    value = static_cast<int>(reader.ReadInteger(key, low, high, value));
  };
  read("request_header_bytes", 4 << 10, 1 << 20, limits.request_header_bytes);
  read("request_header_fields", 10, 10'000, limits.request_header_fields);
  read("request_body_bytes", 1 << 10, 1 << 28, limits.request_body_bytes);
  read("request_memory_mb", 0, kMaxMemoryMb, limits.request_memory_mb);
  // The store answers with up to 1 MB at a time.
  read("answer_body_bytes", 2 << 20, 1 << 30, limits.answer_body_bytes);
  read("answer_memory_mb", 0, kMaxMemoryMb, limits.answer_memory_mb);
}

// A single request within its limit must be served in the absence of load:
// large ones may use three quarters of the memory for requests, and a body
// takes up to twice its size while it is read.
void CheckBodyFits(yaml_reader& reader, const entry_settings& settings) {
  const message_limits& limits = settings.limits;
  const std::int64_t megabytes = limits.request_memory_mb > 0
                                     ? limits.request_memory_mb
                                     : settings.memory_mb / 8;
  const std::int64_t usable = (megabytes << 20) * 3 / 4;
  if (megabytes > 0 && std::int64_t{2} * limits.request_body_bytes > usable) {
    reader.AddFault("request_body_bytes",
                    std::to_string(limits.request_body_bytes) +
                        " is too much for the memory of requests",
                    "at most three eighths of request_memory_mb, or of an "
                    "eighth of memory_mb");
  }
}

}  // namespace

parsed_entry_settings ParseEntrySettings(const std::string& file,
                                         const std::string& text) {
  parsed_entry_settings parsed;
  entry_settings& settings = parsed.settings;
  ReadYaml(
      file, text, unknown_keys::kRefuse, parsed.faults,
      [&](yaml_reader& reader) {
        settings.id.value = reader.ReadName("id");
        settings.place.value = reader.ReadName("place");
        settings.callers = ReadAddress(reader, "callers");
        settings.readiness = ReadAddress(reader, "readiness");
        settings.status = ReadAddress(reader, "status");
        settings.store = ReadAddress(reader, "store");
        settings.advice = ReadAddress(reader, "advice", "");
        settings.machines = ReadAddress(reader, "machines", "");
        settings.threads =
            static_cast<int>(reader.ReadInteger("threads", 1, kMaxThreads, 1));
        settings.descriptors = static_cast<int>(reader.ReadInteger(
            "descriptors", kMinDescriptors, kMaxDescriptors, 0));
        settings.memory_mb = static_cast<int>(
            reader.ReadInteger("memory_mb", kMinMemoryMb, kMaxMemoryMb, 0));
        settings.decision_lines = static_cast<int>(reader.ReadInteger(
            "decision_lines", 0, kMaxDecisionLines, settings.decision_lines));
        settings.processor_share =
            ReadProcessorShare(reader, "processor_share");
        settings.link_mbps = ReadLinkBandwidth(reader, "link_mbps");
        reader.ReadMap("bounds", [&](yaml_reader& bounds) {
          ReadDurationBounds(bounds, settings);
        });
        reader.ReadMap("limits", [&](yaml_reader& limits) {
          ReadLimits(limits, settings.limits);
          CheckBodyFits(limits, settings);
        });
        reader.ReadMap("policy", [&](yaml_reader& policy) {
          for (const sched::policy_switch_info& info : sched::kPolicySwitches) {
            bool& value = settings.policy.*info.value;
            value = policy.ReadBool(std::string(info.name), value);
          }
        });
      });
  return parsed;
}

}  // namespace sassafras

#include "sassafras/config/settings.h"

#include "sassafras/config/address.h"
#include "sassafras/config/yaml_reader.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kMinInterval = milliseconds(50);
constexpr duration kMaxInterval = seconds(60);
constexpr duration kMaxDrain = seconds(3600);
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxBodyBytes = 64LL << 20;

process_role ReadRole(yaml_reader& reader) {
  return static_cast<process_role>(reader.ReadChoice(
      "role",
      {GetName(process_role::kGateway), GetName(process_role::kScheduler)}));
}

std::string ReadAddress(yaml_reader& reader, const std::string& key) {
  std::string text = reader.ReadString(key);
  if (!text.empty() && !ParseAddress(text)) {
    reader.AddFault(key, "'" + text + "' is not a valid address", "IP:port");
  }
  return text;
}

void ReadPeer(yaml_reader& reader, process_settings& settings) {
  peer_settings peer;
  peer.id.value = reader.ReadName("id");
  peer.role = ReadRole(reader);
  peer.address = ReadAddress(reader, "address");
  peer.place.value = reader.ReadName("place");
  settings.peers.push_back(std::move(peer));
}

void ReadProcess(yaml_reader& reader, process_settings& settings) {
  settings.cluster = reader.ReadName("cluster");
  settings.id.value = reader.ReadName("id");
  settings.role = ReadRole(reader);
  settings.place.value = reader.ReadName("place");
  settings.listen = ReadAddress(reader, "listen");
  settings.peer_listen = ReadAddress(reader, "peer_listen");
  settings.platform = reader.ReadStrings("platform");
  if (settings.platform.empty()) {
    reader.AddFault("platform", "has no address", "a list of IP:port");
  }
  for (const std::string& address : settings.platform) {
    if (!ParseAddress(address)) {
      reader.AddFault("platform", "'" + address + "' is not a valid address",
                      "a list of IP:port");
    }
  }
  reader.ReadList("peers",
                  [&](yaml_reader& item) { ReadPeer(item, settings); });
  settings.threads =
      static_cast<int>(reader.ReadInteger("threads", 1, kMaxThreads, 2));
  settings.config_poll = reader.ReadDuration("config_poll", kMinInterval,
                                             kMaxInterval, seconds(2));
  settings.lease_time =
      reader.ReadDuration("lease_time", kMinInterval, kMaxInterval, seconds(3));
  settings.drain_deadline = reader.ReadDuration("drain_deadline", kMinInterval,
                                                kMaxDrain, seconds(30));
  settings.tcp_user_timeout = reader.ReadDuration(
      "tcp_user_timeout", kMinInterval, kMaxInterval, seconds(3));
  settings.max_body_bytes =
      reader.ReadInteger("max_body_bytes", 1, kMaxBodyBytes, 1 << 20);
}

}  // namespace

std::string_view GetName(process_role role) {
  return role == process_role::kGateway ? "gateway" : "scheduler";
}

parsed_settings ParseSettings(const std::string& file,
                              const std::string& text) {
  parsed_settings parsed;
  ReadYaml(file, text, unknown_keys::kRefuse, parsed.faults,
           [&](yaml_reader& reader) { ReadProcess(reader, parsed.settings); });
  return parsed;
}

}  // namespace sassafras

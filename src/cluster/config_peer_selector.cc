#include "sassafras/cluster/config_peer_selector.h"

namespace sassafras {

std::optional<std::string> config_peer_selector::OnVersionSeen(
    instant now,
    const std::string& address,
    std::uint64_t version,
    std::uint64_t own) {
  if (version <= own) {
    if (version < own) {
      counters_.Add("config_peer_behind");
    }
    return std::nullopt;
  }
  const bool is_open = requested_at_ && now - *requested_at_ < kRequestTimeout;
  if (is_open && version <= requested_version_) {
    return std::nullopt;
  }
  requested_at_ = now;
  requested_version_ = version;
  counters_.Add("config_asked_peer");
  return address;
}

}  // namespace sassafras

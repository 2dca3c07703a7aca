#include "sassafras/cluster/config_spread.h"

namespace sassafras {

std::optional<std::string> config_spread::OnVersionSeen(
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
  const bool is_open = asked_at_ && now - *asked_at_ < kRequestTimeout;
  if (is_open && version <= asked_version_) {
    return std::nullopt;
  }
  asked_at_ = now;
  asked_version_ = version;
  counters_.Add("config_asked_peer");
  return address;
}

}  // namespace sassafras

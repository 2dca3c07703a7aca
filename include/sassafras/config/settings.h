#ifndef SASSAFRAS_CONFIG_SETTINGS_H_
#define SASSAFRAS_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/core/id.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Role of a process in the cluster.
enum class process_role : std::uint8_t { kGateway, kScheduler };

/// Name of `role` in settings: "gateway" or "scheduler".
std::string_view GetName(process_role role);

/// Another process of the cluster, as listed in the settings.
struct peer_settings {
  process_id id;
  process_role role = process_role::kGateway;
  std::string address;  ///< "IP:port" of its peer socket.
  place_id place;
};

/// Settings of one gateway or scheduler process.
struct process_settings {
  std::string cluster;  ///< Messages of peers of another cluster are rejected.
  process_id id;
  process_role role = process_role::kGateway;
  place_id place;
  std::string listen;                 ///< "IP:port" for callers and operators.
  std::string peer_listen;            ///< "IP:port" for peers.
  std::vector<std::string> platform;  ///< "IP:port" of the platform's service.
  std::vector<peer_settings> peers;
  int threads = 2;
  duration config_poll{2'000'000};  ///< Interval between reads of the version.
  duration lease_time{3'000'000};   ///< Term of leases in the table service.
  /// Maximum duration of a graceful stop.
  duration drain_deadline{30'000'000};
  /// A connection fails if sent data stays unacknowledged for this long.
  duration tcp_user_timeout{3'000'000};
  std::int64_t max_body_bytes = 1 << 20;  ///< Maximum size of a request body.
};

/// The settings that could be read, and all faults found.
struct parsed_settings {
  process_settings settings;
  std::vector<config_fault> faults;
};

/// Parses `text`, the content of the settings file `file`. Never throws.
parsed_settings ParseSettings(const std::string& file, const std::string& text);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_SETTINGS_H_

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

/// What a process of the system does.
enum class process_role : std::uint8_t { kGateway, kScheduler };

/// Names of process_role in settings: "gateway", "scheduler".
std::string_view GetName(process_role role);

/// Another process of the system, known from the settings.
struct peer_settings {
  process_id id;
  process_role role = process_role::kGateway;
  std::string address;  ///< "IP:port" of its peer socket.
  place_id place;
};

/// Settings of one gateway or scheduler process.
struct process_settings {
  std::string cluster;  ///< Peers with another name are refused.
  process_id id;
  process_role role = process_role::kGateway;
  place_id place;
  std::string listen;                 ///< "IP:port" for callers and operators.
  std::string peer_listen;            ///< "IP:port" for peers.
  std::vector<std::string> platform;  ///< "IP:port" of the platform's service.
  std::vector<peer_settings> peers;
  int threads = 2;
  duration config_poll{2'000'000};  ///< Interval between reads of the version.
  duration lease_time{3'000'000};   ///< Of ownership in the table service.
  duration drain_deadline{30'000'000};  ///< Longest graceful stop.
  duration tcp_user_timeout{
      3'000'000};  ///< Unacknowledged data fails after it.
  std::int64_t max_body_bytes = 1 << 20;
};

/// Settings that were read and every fault found.
struct parsed_settings {
  process_settings settings;
  std::vector<config_fault> faults;
};

/// Reads a settings file. Never throws.
parsed_settings ParseSettings(const std::string& file, const std::string& text);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_SETTINGS_H_

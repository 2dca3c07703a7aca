#ifndef SASSAFRAS_CLUSTER_CONFIG_PEER_SELECTOR_H_
#define SASSAFRAS_CLUSTER_CONFIG_PEER_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Kind of the message that requests a peer's configuration. Fields:
/// "reply_to", the requester's peer address, and "have", the version it has in
/// force.
inline constexpr std::string_view kConfigGetKind = "config_get";

/// Kind of the answer to kConfigGetKind. Fields: "config_version" and
/// "content".
inline constexpr std::string_view kConfigContentKind = "config_content";

/// Chooses the peer from which a newer configuration is fetched, so that it can
/// come into force while the store is unavailable. While a request is in
/// flight, only a peer that reports a higher version is selected. A state
/// machine without I/O; not safe for concurrent use.
class config_peer_selector {
 public:
  /// If a request is not answered within this time, the next peer that reports
  /// a newer version is selected.
  static constexpr duration kRequestTimeout = std::chrono::milliseconds(800);

  explicit config_peer_selector(counter_table& counters)
      : counters_(counters) {}

  /// Processes the report that the peer at `address` has `version` in force,
  /// while this process has `own`. Returns the address of the peer to send a
  /// request to, if any.
  std::optional<std::string> OnVersionSeen(instant now,
                                           const std::string& address,
                                           std::uint64_t version,
                                           std::uint64_t own);

  /// Records that an answer arrived, regardless of its content.
  void OnContent() { requested_at_.reset(); }

 private:
  counter_table& counters_;
  std::optional<instant> requested_at_;
  std::uint64_t requested_version_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_CONFIG_PEER_SELECTOR_H_

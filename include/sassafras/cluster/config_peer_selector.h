#ifndef SASSAFRAS_CLUSTER_CONFIG_PEER_SELECTOR_H_
#define SASSAFRAS_CLUSTER_CONFIG_PEER_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Kind of the message that asks a peer for its configuration: "reply_to" is
/// the asker's peer address, "have" the version it holds.
inline constexpr std::string_view kConfigGetKind = "config_get";

/// Kind of the answer: "config_version" and "content".
inline constexpr std::string_view kConfigContentKind = "config_content";

/// Decides from which peer a newer configuration is fetched, so that it comes
/// into force while the store is away. One request is open at a time. A
/// decision object; not safe for concurrent use.
class config_peer_selector {
 public:
  /// After this time without answer another peer may be asked.
  static constexpr duration kRequestTimeout = std::chrono::milliseconds(800);

  explicit config_peer_selector(counter_table& counters)
      : counters_(counters) {}

  /// Takes in that the peer at `address` has `version` in force, while this
  /// process has `own`. Returns the address to ask, if any.
  std::optional<std::string> OnVersionSeen(instant now,
                                           const std::string& address,
                                           std::uint64_t version,
                                           std::uint64_t own);

  /// Takes in that an answer arrived, whatever it held.
  void OnContent() { requested_at_.reset(); }

 private:
  counter_table& counters_;
  std::optional<instant> requested_at_;
  std::uint64_t requested_version_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_CONFIG_PEER_SELECTOR_H_

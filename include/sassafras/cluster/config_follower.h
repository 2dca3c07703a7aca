#ifndef SASSAFRAS_CLUSTER_CONFIG_FOLLOWER_H_
#define SASSAFRAS_CLUSTER_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sassafras/config/config_set.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/core/result.h"

namespace sassafras {

/// Table key of the row that names the version in force.
inline constexpr std::string_view kConfigRowKey = "config/current";

/// The row under kConfigRowKey.
struct config_row {
  std::uint64_t version = 0;
  std::string object;  ///< Name in the object store of the content.
  std::string sha256;  ///< Digest of the content.
  std::string token;   ///< Unique to one run of `publish`.
};

std::string EncodeConfigRow(const config_row& row);

/// Fails with kMalformed.
result<config_row> DecodeConfigRow(std::string_view text);

/// Holds the configuration that is in force in one process. Not safe for
/// concurrent use.
class config_follower {
 public:
  explicit config_follower(counter_table& counters) : counters_(counters) {}

  /// Whether `version` would replace the one in force. Counts a version that
  /// is older than it as "config_stale_offer".
  bool IsNewer(std::uint64_t version);

  /// Puts `candidate` in force if its version is greater; never goes back.
  /// Returns whether it did.
  bool Offer(config_ptr candidate);

  /// The configuration in force, empty before the first.
  const config_ptr& Current() const { return current_; }

 private:
  counter_table& counters_;
  config_ptr current_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_CONFIG_FOLLOWER_H_

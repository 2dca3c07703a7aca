#ifndef SASSAFRAS_CLUSTER_CONFIG_FOLLOWER_H_
#define SASSAFRAS_CLUSTER_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sassafras/config/config_set.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/core/result.h"

namespace sassafras {

/// Table key of the row that names the configuration version in force.
inline constexpr std::string_view kConfigRowKey = "config/current";

/// Decoded row under kConfigRowKey or a history key.
struct config_row {
  std::uint64_t version = 0;
  std::string object;  ///< Name of the content in the object store.
  std::string sha256;  ///< SHA-256 digest of the content, hexadecimal.
  std::string token;   ///< Unique to one publication.
};

/// Encodes `row` as JSON.
std::string EncodeConfigRow(const config_row& row);

/// Decodes the value of a config row. Fails with kMalformed.
result<config_row> DecodeConfigRow(std::string_view text);

/// Holds the configuration in force in one process and replaces it by newer
/// versions only. Not safe for concurrent use.
class config_follower {
 public:
  explicit config_follower(counter_table& counters) : counters_(counters) {}

  /// Whether `version` is greater than the version in force. A lower one is
  /// counted as "config_stale_offer".
  bool IsNewer(std::uint64_t version);

  /// Puts `candidate` in force if its version is greater than the version in
  /// force. Returns whether it did.
  bool Offer(config_ptr candidate);

  /// The configuration in force; null before the first one.
  const config_ptr& Current() const { return current_; }

 private:
  counter_table& counters_;
  config_ptr current_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_CONFIG_FOLLOWER_H_

#ifndef SASSAFRAS_NET_PEER_CODEC_H_
#define SASSAFRAS_NET_PEER_CODEC_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "sassafras/core/result.h"

namespace sassafras {

/// Format version of the peer messages that this program writes.
inline constexpr std::uint64_t kPeerMessageVersion = 1;

/// One message between processes: a MessagePack map with "cluster", "kind" and
/// "version" in addition to the fields of its kind. Receivers ignore unknown
/// fields.
struct peer_message {
  std::string cluster;
  std::string kind;
  std::uint64_t version = kPeerMessageVersion;
  nlohmann::json body;  ///< The map, including the common fields.
};

/// Encodes `body` (a map) with the common fields as a message of `kind`.
std::string EncodePeerMessage(std::string_view cluster,
                              std::string_view kind,
                              nlohmann::json body);

/// Fails with kMalformed if `bytes` is not a map or lacks a common field.
result<peer_message> DecodePeerMessage(std::string_view bytes);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_PEER_CODEC_H_

#include "sassafras/net/peer_codec.h"

#include <utility>
#include <vector>

namespace sassafras {

std::string EncodePeerMessage(std::string_view cluster,
                              std::string_view kind,
                              nlohmann::json body) {
  body["cluster"] = cluster;
  body["kind"] = kind;
  body["version"] = kPeerMessageVersion;
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(body);
  return {bytes.begin(), bytes.end()};
}

result<peer_message> DecodePeerMessage(std::string_view bytes) {
  peer_message message;
  message.body = nlohmann::json::from_msgpack(bytes, true, false);
  if (!message.body.is_object()) {
    return Fail(error_kind::kMalformed, "peer message is not a map");
  }
  const auto cluster = message.body.find("cluster");
  const auto kind = message.body.find("kind");
  const auto version = message.body.find("version");
  if (cluster == message.body.end() || !cluster->is_string() ||
      kind == message.body.end() || !kind->is_string() ||
      version == message.body.end() || !version->is_number_unsigned()) {
    return Fail(error_kind::kMalformed, "peer message lacks a common field");
  }
  message.cluster = cluster->get<std::string>();
  message.kind = kind->get<std::string>();
  message.version = version->get<std::uint64_t>();
  return message;
}

}  // namespace sassafras

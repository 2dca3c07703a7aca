#include "sassafras/cluster/membership_codec.h"

#include <optional>
#include <utility>

namespace sassafras {
namespace {

// JSON keys are short because each process sends several messages per second.
std::optional<member_message_kind> FindKind(std::string_view name) {
  for (const auto kind : {member_message_kind::kPing, member_message_kind::kAck,
                          member_message_kind::kPingRequest}) {
    if (GetName(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

nlohmann::json EncodeMember(const member& info) {
  return {{"id", info.id.value},
          {"r", info.role},
          {"a", info.address},
          {"p", info.place.value},
          {"s", info.start},
          {"i", info.incarnation},
          {"st", static_cast<int>(info.state)}};
}

member DecodeMember(const nlohmann::json& item) {
  member info;
  info.id.value = item.at("id").get<std::string>();
  info.role = item.value("r", "");
  info.address = item.value("a", "");
  info.place.value = item.value("p", "");
  info.start = item.value("s", std::uint64_t{0});
  info.incarnation = item.value("i", std::uint64_t{0});
  const int state = item.value("st", 0);
  const bool is_live = state <= static_cast<int>(member_state::kSuspect);
  const bool has_left = state == static_cast<int>(member_state::kLeft);
  info.state = is_live    ? member_state::kAlive
               : has_left ? member_state::kLeft
                          : member_state::kDead;
  return info;
}

}  // namespace

bool IsMemberMessage(std::string_view kind) {
  return FindKind(kind).has_value();
}

std::string EncodeMemberMessage(std::string_view cluster,
                                const member_message& message) {
  nlohmann::json body = {{"f", message.sender.value},   {"s", message.start},
                         {"i", message.incarnation},    {"n", message.sequence},
                         {"c", message.config_version}, {"d", message.digest}};
  if (message.is_full_sync_requested) {
    body["w"] = true;
  }
  if (!message.subject.id.value.empty()) {
    body["t"] = EncodeMember(message.subject);
  }
  if (!message.updates.empty()) {
    nlohmann::json updates = nlohmann::json::array();
    for (const member& update : message.updates) {
      updates.push_back(EncodeMember(update));
    }
    body["u"] = std::move(updates);
  }
  return EncodePeerMessage(cluster, GetName(message.kind), std::move(body));
}

result<member_message> DecodeMemberMessage(const peer_message& message) {
  const auto kind = FindKind(message.kind);
  if (!kind) {
    return Fail(error_kind::kMalformed, "not a membership message kind");
  }
  try {
    const nlohmann::json& body = message.body;
    member_message decoded;
    decoded.kind = *kind;
    decoded.sender.value = body.at("f").get<std::string>();
    decoded.start = body.at("s");
    decoded.incarnation = body.at("i");
    decoded.sequence = body.at("n");
    decoded.config_version = body.value("c", std::uint64_t{0});
    decoded.digest = body.value("d", std::uint64_t{0});
    decoded.is_full_sync_requested = body.value("w", false);
    if (body.contains("t")) {
      decoded.subject = DecodeMember(body["t"]);
    }
    if (body.contains("u")) {
      for (const auto& item : body["u"]) {
        decoded.updates.push_back(DecodeMember(item));
      }
    }
    return decoded;
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

}  // namespace sassafras

#include "sassafras/request/request_codec.h"

#include <nlohmann/json.hpp>

#include "sassafras/net/peer_codec.h"

namespace sassafras {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;

std::string ToBytes(const json& document) {
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

}  // namespace

std::string EncodeStoredAnswer(const minion_answer& answer) {
  return ToBytes(
      {{"format", kFormat}, {"status", answer.status}, {"body", answer.body}});
}

std::optional<minion_answer> DecodeStoredAnswer(const std::string& value) {
  try {
    const json document = json::from_msgpack(value);
    if (document.at("format") != kFormat) {
      return std::nullopt;
    }
    minion_answer answer;
    answer.state = answer_state::kDone;
    answer.status = document.at("status").get<int>();
    answer.body = document.at("body").get<std::string>();
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeSlotMessage(const slot_message& message,
                              const std::string& cluster) {
  json lent = json::array();
  for (const minion_id& minion : message.lent_slots) {
    lent.push_back(minion.value);
  }
  return EncodePeerMessage(cluster, kSlotMessageKind,
                           {{"target", message.target.value},
                            {"from", message.from.id.value},
                            {"incarnation", message.from.incarnation},
                            {"to", message.to_incarnation},
                            {"number", message.number},
                            {"seen", message.last_received},
                            {"wanted", message.requested_slots},
                            {"held", message.held_loans},
                            {"lent", std::move(lent)}});
}

std::optional<slot_message> DecodeSlotMessage(const std::string& body) {
  try {
    const json document = json::from_msgpack(body);
    slot_message message;
    message.target.value = document.at("target").get<std::string>();
    message.from.id.value = document.at("from").get<std::string>();
    message.from.incarnation = document.at("incarnation").get<std::string>();
    message.to_incarnation = document.at("to").get<std::string>();
    message.number = document.at("number").get<std::uint64_t>();
    message.last_received = document.at("seen").get<std::uint64_t>();
    message.requested_slots = document.at("wanted").get<int>();
    message.held_loans = document.at("held").get<std::vector<std::uint64_t>>();
    for (const json& minion : document.at("lent")) {
      message.lent_slots.push_back({minion.get<std::string>()});
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sassafras

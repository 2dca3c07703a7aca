#ifndef SASSAFRAS_REQUEST_REQUEST_CODEC_H_
#define SASSAFRAS_REQUEST_REQUEST_CODEC_H_

#include <optional>
#include <string>

#include "sassafras/net/minion_port.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// Value of the peer message field "kind" for slot messages.
inline constexpr char kSlotMessageKind[] = "request_slots";

/// Encodes an answer for the object store as MessagePack.
std::string EncodeStoredAnswer(const minion_answer& answer);

/// Decodes a stored answer. Returns empty if the value is damaged or has
/// another format version.
std::optional<minion_answer> DecodeStoredAnswer(const std::string& value);

/// Encodes a slot message to a peer in `cluster` as MessagePack.
std::string EncodeSlotMessage(const slot_message& message,
                              const std::string& cluster);

/// Decodes a slot message. Returns empty if it is malformed.
std::optional<slot_message> DecodeSlotMessage(const std::string& body);

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_REQUEST_CODEC_H_

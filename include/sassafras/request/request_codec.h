#ifndef SASSAFRAS_REQUEST_REQUEST_CODEC_H_
#define SASSAFRAS_REQUEST_REQUEST_CODEC_H_

#include <optional>
#include <string>

#include "sassafras/net/minion_port.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// Value of the peer message field "kind" of slot messages.
inline constexpr char kSlotMessageKind[] = "request_slots";

/// An answer as it is kept in the object store (MessagePack).
std::string EncodeStoredAnswer(const minion_answer& answer);

/// Returns empty for a damaged value or a later format.
std::optional<minion_answer> DecodeStoredAnswer(const std::string& value);

/// A slot message as it goes to a peer of `cluster`.
std::string EncodeSlotMessage(const slot_message& message,
                              const std::string& cluster);

/// Returns empty for a malformed message.
std::optional<slot_message> DecodeSlotMessage(const std::string& body);

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_REQUEST_CODEC_H_

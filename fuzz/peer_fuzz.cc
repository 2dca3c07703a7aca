// Fuzzes the reading of messages between processes.
#include <cstddef>
#include <cstdint>
#include <string>

#include "sassafras/cluster/membership_codec.h"
#include "sassafras/net/peer_codec.h"
#include "sassafras/request/request_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const auto message = sassafras::DecodePeerMessage(bytes);
  if (message) {
    (void)sassafras::DecodeMemberMessage(message.value());
  }
  (void)sassafras::DecodeSlotMessage(bytes);
  return 0;
}

#ifndef SASSAFRAS_CONFIG_ADDRESS_H_
#define SASSAFRAS_CONFIG_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// An IP address with a TCP port.
struct ip_address {
  std::string host;  ///< Numeric IPv4 address.
  std::uint16_t port = 0;
};

/// Parses an address such as "127.0.0.1:8080"; empty unless `text` is a numeric
/// IPv4 address with a port from 1 to 65535.
std::optional<ip_address> ParseAddress(std::string_view text);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_ADDRESS_H_

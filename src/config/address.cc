#include "sassafras/config/address.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace sassafras {

std::optional<ip_address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  boost::system::error_code code;
  boost::asio::ip::make_address_v4(host, code);
  if (code) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char* last = digits.data() + digits.size();
  const auto [end, failure] = std::from_chars(digits.data(), last, port);
  if (failure != std::errc() || end != last || port == 0) {
    return std::nullopt;
  }
  return ip_address{host, port};
}

}  // namespace sassafras

#include "src/net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace sassafras {
namespace {

constexpr int kKeepaliveProbes = 3;

void SetOption(int handle, int level, int name, int value) {
  ::setsockopt(handle, level, name, &value, sizeof(value));
}

int ToWholeSeconds(duration value) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(value).count();
  return static_cast<int>(std::max<std::int64_t>(1, seconds));
}

}  // namespace

void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        duration idle,
                        duration user_timeout) {
  const int handle = socket.native_handle();
  const auto timeout_ms =
      std::chrono::ceil<std::chrono::milliseconds>(user_timeout).count();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, ToWholeSeconds(idle));
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(timeout_ms));
}

}  // namespace sassafras

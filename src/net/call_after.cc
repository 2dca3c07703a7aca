#include "sassafras/net/call_after.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace sassafras {

void CallAfter(boost::asio::io_context& context,
               duration delay,
               std::function<void()> action) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& code) {
    if (!code) {
      action();
    }
  });
}

}  // namespace sassafras

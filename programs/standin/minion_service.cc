#include "programs/standin/minion_service.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>

namespace sassafras {

void minion_service::Handle(http_exchange exchange,
                            const fault_switch& faults) {
  if (faults.leaving) {
    exchange.reply({503, {{"x-leaving", "1"}}, "text/plain", "leaving\n"});
    return;
  }
  const std::string key = exchange.request.Header("idempotency-key");
  if (!key.empty()) {
    ++executions_[key];
  }
  if (faults.fail_all) {
    exchange.reply({500, {}, "text/plain", "failed\n"});
    return;
  }
  int work_ms = faults.delay_ms;
  const auto body =
      nlohmann::json::parse(exchange.request.body, nullptr, false);
  if (body.is_object()) {
    work_ms += body.value("work_ms", 0);
  }
  ++in_work_;
  most_in_work_ = std::max(most_in_work_, in_work_);
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(work_ms));
  timer->async_wait(
      [this, timer, silent = faults.silent, reply = exchange.reply,
       answer =
           std::move(exchange.request.body)](const boost::system::error_code&) {
        --in_work_;
        if (!silent) {
          reply({200, {}, "application/json", answer});
        }
      });
}

}  // namespace sassafras

#include "programs/standin/fault_switch.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>

namespace sassafras {

result<fault_switch> ParseFaults(std::string_view body) {
  try {
    const auto document = nlohmann::json::parse(body);
    fault_switch faults;
    faults.down = document.value("down", false);
    faults.dead = document.value("dead", false);
    faults.silent = faults.dead || document.value("silent", false);
    faults.fail_all = document.value("fail_all", false);
    faults.leaving = document.value("leaving", false);
    faults.listed_leaving = document.value("listed_leaving", false);
    faults.lose_answer = document.value("lose_answer", 0.0);
    faults.delay_ms = document.value("delay_ms", 0);
    faults.read_lag_ms = document.value("read_lag_ms", 0);
    return faults;
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

void ServeWithFaults(boost::asio::io_context& context,
                     const fault_switch& faults,
                     random_engine& random,
                     http_exchange exchange,
                     const std::function<http_response()>& act) {
  if (faults.silent) {
    return;
  }
  if (faults.down) {
    exchange.reply({503, {}, "text/plain", "down\n"});
    return;
  }
  http_response response = act();
  if (std::bernoulli_distribution(faults.lose_answer)(random)) {
    return;
  }
  if (faults.delay_ms <= 0) {
    exchange.reply(std::move(response));
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context, std::chrono::milliseconds(faults.delay_ms));
  timer->async_wait(
      [timer, reply = exchange.reply, response = std::move(response)](
          const boost::system::error_code&) { reply(response); });
}

}  // namespace sassafras

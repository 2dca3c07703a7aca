#include <algorithm>
#include <chrono>

#include "review/standin-2/world.h"
#include "sassafras/net/call_after.h"

namespace sassafras::review {
namespace {

constexpr int kMaxWaiting = 32;

}  // namespace

bool policy::Start(const std::string& address) {
  http_server_options server_options;
  server_options.address = address;
  auto server = http_server::Make(
      context_, server_options, counters_,
      [this](http_exchange exchange) { Serve(std::move(exchange)); });
  if (!server) {
    return false;
  }
  server_ = server.value();
  return true;
}

void policy::Serve(http_exchange exchange) {
  const json request = json::parse(exchange.request.body, nullptr, false);
  if (!request.is_object() || waiting_ >= kMaxWaiting) {
    exchange.reply({request.is_object() ? 429 : 400, {}, "text/plain", ""});
    return;
  }
  const json& workers = request.at("workers");
  const std::int64_t time =
      decision_ms_ + period_ms_ * static_cast<std::int64_t>(workers.size());
  busy_until_ms_ = std::max(busy_until_ms_, NowMs()) + time;
  ++waiting_;
  record_.Write("advice asked for " + std::to_string(workers.size()) +
                " minions, answer in " +
                std::to_string(busy_until_ms_ - NowMs()) + " ms");
  json good = json::array();
  for (const json& worker : workers) {
    good.push_back(json::array({worker, "ticket"}));
  }
  CallAfter(
      context_, std::chrono::milliseconds(busy_until_ms_ - NowMs()),
      [this, exchange = std::move(exchange), good] {
        --waiting_;
        exchange.reply({200,
                        {},
                        "application/json",
                        json{{"good", good}, {"validityMs", 8000}}.dump()});
      });
}

}  // namespace sassafras::review

#include "sassafras/sched/forecast_codec.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sassafras::sched {
namespace {

using nlohmann::json;

// Minion-seconds; far above what any fleet is given within minutes.
constexpr double kMaxAccount = 1e12;

std::int64_t ToMilliseconds(duration wait) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
}

duration ToWait(const json& value) {
  if (!value.is_number_integer()) {
    throw std::out_of_range("wait of a forecast");
  }
  const std::int64_t milliseconds = value.get<std::int64_t>();
  if (milliseconds < 0 || milliseconds > ToMilliseconds(kMaxForecastWait)) {
    throw std::out_of_range("wait of a forecast");
  }
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace

std::string EncodeForecast(const published_forecast& forecast) {
  json queues = json::object();
  for (const auto& [name, queue] : forecast.queues) {
    json teams = json::object();
    for (const auto& [team, wait] : queue.wait_of_team) {
      teams[team] = ToMilliseconds(wait);
    }
    queues[name] = {{"others_ms", ToMilliseconds(queue.wait_of_others)},
                    {"teams_ms", std::move(teams)}};
  }
  return json{{"queues", std::move(queues)},
              {"accounts", forecast.team_accounts}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<published_forecast> DecodeForecast(const std::string& text) {
  try {
    const json document = json::parse(text);
    published_forecast forecast;
    for (const auto& [name, entry] : document.at("queues").items()) {
      queue_forecast& queue = forecast.queues[name];
      queue.wait_of_others = ToWait(entry.at("others_ms"));
      for (const auto& [team, wait] : entry.at("teams_ms").items()) {
        queue.wait_of_team[team] = ToWait(wait);
      }
    }
    forecast.team_accounts =
        document.at("accounts").get<std::map<std::string, double>>();
    for (const auto& [team, amount] : forecast.team_accounts) {
      if (!(amount >= 0 && amount <= kMaxAccount)) {
        return Fail(error_kind::kMalformed, "account of a team");
      }
    }
    return forecast;
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  } catch (const std::out_of_range& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

}  // namespace sassafras::sched

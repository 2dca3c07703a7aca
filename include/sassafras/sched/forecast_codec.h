#ifndef SASSAFRAS_SCHED_FORECAST_CODEC_H_
#define SASSAFRAS_SCHED_FORECAST_CODEC_H_

#include <map>
#include <string>

#include "sassafras/core/result.h"
#include "sassafras/sched/start_forecast.h"

namespace sassafras::sched {

/// Table of the store with the forecasts, which every entry process follows.
inline constexpr char kForecastTable[] = "forecasts/";
/// Key of its only row. The owner of the jobs writes it.
inline constexpr char kForecastKey[] = "forecasts/queues";

/// What the owner of the jobs tells the entry processes and the next owner.
struct published_forecast {
  queue_forecasts queues;
  /// Minion-seconds that each team was given lately; see team_shares.
  std::map<std::string, double> team_accounts;
};

/// Encodes a row as JSON.
std::string EncodeForecast(const published_forecast& forecast);

/// Decodes a row; kMalformed if it is not JSON, or if a field is missing, of
/// another type or negative.
result<published_forecast> DecodeForecast(const std::string& text);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_FORECAST_CODEC_H_

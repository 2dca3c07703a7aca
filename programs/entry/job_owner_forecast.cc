#include <chrono>

#include "programs/entry/job_owner.h"
#include "sassafras/sched/forecast_codec.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

// A forecast is valid for 2 s at the processes that use it.
constexpr duration kForecastInterval = 700ms;

}  // namespace

// Takes over what the former owner gave each team. Without a sound row the
// accounts begin at 0, which favours no team.
void job_owner::LoadForecast(std::uint64_t tenure) {
  table_.read({sched::kForecastKey}, [self = shared_from_this(),
                                      tenure](const read_answer& answer) {
    if (!self->IsCurrentTenure(tenure)) {
      return;
    }
    if (answer.state == answer_state::kDone &&
        answer.rows.front().version != 0) {
      const auto decoded = sched::DecodeForecast(answer.rows.front().value);
      if (!decoded) {
        self->counters_.Add("forecast_malformed");
        LogEvent("forecast_malformed", {{"detail", decoded.error().detail}});
      }
      const std::lock_guard lock(self->mutex_);
      if (self->core_ && self->tenure_ == tenure) {
        self->forecast_version_ = answer.rows.front().version;
        self->published_forecast_ = answer.rows.front().value;
        if (decoded) {
          self->core_->RestoreTeamAccounts(self->hooks_.now(),
                                           decoded.value().team_accounts);
        }
      }
    }
    self->PublishForecast(tenure);
  });
}

// Writes the forecasts while jobs wait for long, and once more when they no
// longer do.
void job_owner::PublishForecast(std::uint64_t tenure) {
  std::string text;
  std::uint64_t expected_version = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    sched::published_forecast forecast;
    forecast.queues = core_->Forecasts(hooks_.now());
    if (!forecast.queues.empty()) {
      forecast.team_accounts = core_->TeamAccounts(hooks_.now());
    }
    const bool is_known_empty =
        forecast.queues.empty() && published_forecast_.empty();
    text = is_known_empty ? "" : sched::EncodeForecast(forecast);
    if (text == published_forecast_) {
      text.clear();
    }
    expected_version = forecast_version_;
  }
  const auto schedule_next = [self = shared_from_this(), tenure] {
    self->hooks_.after(kForecastInterval,
                       [self, tenure] { self->PublishForecast(tenure); });
  };
  if (text.empty()) {
    schedule_next();
    return;
  }
  lease_->Commit({{sched::kForecastKey, expected_version, text}},
                 [self = shared_from_this(), text,
                  schedule_next](const commit_answer& answer) {
                   {
                     const std::lock_guard lock(self->mutex_);
                     const table_row* row =
                         FindRow(answer.rows, sched::kForecastKey);
                     if (row != nullptr) {
                       self->forecast_version_ = row->version;
                     }
                     if (answer.state == answer_state::kDone) {
                       self->published_forecast_ = text;
                     }
                   }
                   schedule_next();
                 });
}

}  // namespace sassafras

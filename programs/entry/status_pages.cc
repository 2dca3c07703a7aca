#include "programs/entry/status_pages.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace sassafras {
namespace {

using nlohmann::json;

constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr int kMicrosecondsPerMillisecond = 1000;

double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

// Returns null if the process has no configuration.
json ConfigAgeMs(const config_watch& config) {
  return config.Current()
             ? json(config.Age().count() / kMicrosecondsPerMillisecond)
             : json(nullptr);
}

json ToJson(const sched::work_summary& work) {
  json waiting = json::object();
  for (const auto& [priority, units] : work.waiting) {
    waiting[std::to_string(priority)] = units;
  }
  json teams = json::array();
  for (const auto& [name, use] : work.teams) {
    teams.push_back({{"team", name},
                     {"guaranteed", use.guaranteed},
                     {"urgent", use.urgent},
                     {"other", use.other}});
  }
  return {{"waiting_units", std::move(waiting)},
          {"running_units", work.running},
          {"closing_units", work.closing},
          {"free_accelerators", work.free_accelerators},
          {"free_in_whole_minions", work.free_on_idle_minions},
          {"minion_list_age_ms",
           work.minion_list_age.count() / kMicrosecondsPerMillisecond},
          {"teams", std::move(teams)}};
}

// Longest expected wait of a new job, in seconds; 0 without a valid forecast.
double LongestWait(const forecast_watch* forecasts) {
  duration longest{0};
  if (forecasts != nullptr && forecasts->Age() <= forecast_watch::kValidity) {
    for (const auto& [name, queue] : forecasts->Queues()) {
      longest = std::max(longest, queue.wait_of_others);
      for (const auto& [team, wait] : queue.wait_of_team) {
        longest = std::max(longest, wait);
      }
    }
  }
  return ToSeconds(longest);
}

// Null if no forecast was received.
json ToJson(const forecast_watch& forecasts) {
  if (forecasts.Age() == duration::max()) {
    return nullptr;
  }
  json queues = json::object();
  for (const auto& [name, queue] : forecasts.Queues()) {
    json teams = json::object();
    for (const auto& [team, wait] : queue.wait_of_team) {
      teams[team] = wait.count() / kMicrosecondsPerMillisecond;
    }
    queues[name] = {{"others_ms", queue.wait_of_others.count() /
                                      kMicrosecondsPerMillisecond},
                    {"teams_ms", std::move(teams)}};
  }
  return {{"age_ms", forecasts.Age().count() / kMicrosecondsPerMillisecond},
          {"is_valid", forecasts.Age() <= forecast_watch::kValidity},
          {"queues", std::move(queues)}};
}

json ToJson(const sched::minion_status& row) {
  return {{"id", row.id},
          {"service", row.service},
          {"health", row.health},
          {"runs", row.runs},
          {"accelerators", row.capacity.accelerators},
          {"accelerators_used", row.used.accelerators}};
}

}  // namespace

status_pages::status_pages(std::string id,
                           metrics& metrics_registry,
                           const config_watch& config,
                           const store_watch& store,
                           const job_owner& owner,
                           const caller_service& callers,
                           const forecast_watch* forecasts)
    : id_(std::move(id)),
      metrics_(metrics_registry),
      config_(config),
      store_(store),
      owner_(owner),
      callers_(callers),
      forecasts_(forecasts) {}

http_response status_pages::Answer(const std::string& path) const {
  http_response response;
  if (path == "/metrics") {
    SetGauges();
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics_.ToText();
  } else if (path.starts_with(kJobPrefix)) {
    const std::string job = path.substr(kJobPrefix.size());
    response.body = json{{"job", job},
                         {"owner", owner_.LastOwner()},
                         {"is_owner", owner_.IsOwner()},
                         {"sentence", owner_.Explain(job)}}
                        .dump();
  } else if (path == "/v1/status") {
    response.body = MakeStatusJson();
  } else {
    response = ErrorResponse(Fail(error_kind::kNotFound, path));
  }
  return response;
}

// Sets the gauges to the current state. Gauges that only the owner of the jobs
// knows are 0 in other processes.
void status_pages::SetGauges() const {
  const auto config = config_.Current();
  metrics_.Set("config_version",
               config ? static_cast<double>(config->version) : 0);
  if (config) {
    metrics_.Set("config_age_seconds", ToSeconds(config_.Age()));
  }
  metrics_.Set("store_away_seconds", ToSeconds(store_.OutageDuration()));
  metrics_.Set("calls_in_progress", callers_.CallsInProgress());
  metrics_.Set("forecast_longest_wait_seconds", LongestWait(forecasts_));
  metrics_.Set("owns_jobs", owner_.IsOwner() ? 1 : 0);
  metrics_.Set("owned_for_seconds", ToSeconds(owner_.OwnedFor()));
  const sched::work_summary work =
      owner_.Summary().value_or(sched::work_summary());
  metrics_.Set("minion_list_age_seconds", ToSeconds(work.minion_list_age));
  metrics_.Set("minions_usable", work.minions_usable);
  metrics_.Set("minions_unusable", work.minions_unusable);
  metrics_.Set("units_running", work.running);
  metrics_.Set("units_closing", work.closing);
  for (const int priority : {0, 1, 2}) {
    const auto it = work.waiting.find(priority);
    metrics_.Set("units_waiting_priority_" + std::to_string(priority),
                 it == work.waiting.end() ? 0 : it->second);
  }
  metrics_.Set("free_accelerators",
               static_cast<double>(work.free_accelerators));
  metrics_.Set("free_accelerators_in_whole_minions",
               static_cast<double>(work.free_on_idle_minions));
}

std::string status_pages::MakeStatusJson() const {
  const auto config = config_.Current();
  json status = {{"id", id_},
                 {"owner", owner_.LastOwner()},
                 {"is_owner", owner_.IsOwner()},
                 {"config_version", config ? config->version : 0},
                 {"config_age_ms", ConfigAgeMs(config_)},
                 {"store_away", store_.IsUnavailable()},
                 {"evacuated", config_.Evacuations().Places()}};
  if (forecasts_ != nullptr) {
    status["forecast"] = ToJson(*forecasts_);
  }
  if (const auto work = owner_.Summary()) {
    json minions = json::array();
    for (const sched::minion_status& row : owner_.Minions()) {
      minions.push_back(ToJson(row));
    }
    status["minions"] = std::move(minions);
    status["work"] = ToJson(*work);
  }
  return status.dump();
}

}  // namespace sassafras

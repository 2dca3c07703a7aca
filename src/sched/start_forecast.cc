#include "sassafras/sched/start_forecast.h"

#include <algorithm>
#include <utility>

namespace sassafras::sched {
namespace {

// Time with waiting work from which its rate is known.
constexpr duration kMinObservation = std::chrono::milliseconds(1300);
// The rate never counts as less than this part of the usable minions: it would
// be that of a moment in which large jobs wait for their room.
constexpr double kMinRateShare = 0.05;

duration ToDuration(double seconds) {
  const std::chrono::duration<double> longest = kMaxForecastWait;
  const auto wait = std::chrono::duration_cast<duration>(
      std::min(std::chrono::duration<double>(seconds), longest));
  return wait < kMinForecastWait ? duration(0) : wait;
}

// Work that is placed before a new job of `team`. Teams that share the rate by
// their weights drain their work side by side: each other team is given as much
// for its weight as this one until the new job's turn.
double WorkAhead(const std::map<std::string, double>& work_of_team,
                 const std::string& team,
                 double weight,
                 double usual_work,
                 const forecast_terms& terms) {
  const auto own = work_of_team.find(team);
  const double own_work = own == work_of_team.end() ? 0 : own->second;
  const double own_level = (own_work + usual_work) / weight;
  double ahead = own_work;
  for (const auto& [other, work] : work_of_team) {
    if (other != team) {
      ahead += terms.share_between_teams
                   ? std::min(work, own_level * terms.weight_of(other))
                   : work;
    }
  }
  return ahead;
}

// Weight that stands for the teams without waiting work.
double MeanWeight(const std::map<std::string, double>& work_of_team,
                  const forecast_terms& terms) {
  double sum = 0;
  for (const auto& [team, work] : work_of_team) {
    sum += terms.weight_of(team);
  }
  return work_of_team.empty() ? 1
                              : sum / static_cast<double>(work_of_team.size());
}

}  // namespace

duration queue_forecast::WaitOf(const std::string& team) const {
  const auto it = wait_of_team.find(team);
  return it == wait_of_team.end() ? wait_of_others : it->second;
}

queue_forecasts ForecastWaits(const std::vector<queue_load>& queues,
                              const forecast_terms& terms) {
  queue_forecasts forecasts;
  for (const queue_load& queue : queues) {
    double waiting_work = 0;
    for (const auto& [team, work] : queue.work_of_team) {
      waiting_work += work;
    }
    const double usual_work =
        queue.waiting_jobs > 0 ? waiting_work / queue.waiting_jobs : 0;
    const auto wait_of = [&](const std::string& team, double weight) {
      if (queue.priority == 0 && terms.has_unused_guarantee(team)) {
        return duration(0);
      }
      return ToDuration(
          WorkAhead(queue.work_of_team, team, weight, usual_work, terms) /
          queue.rate);
    };
    queue_forecast forecast;
    forecast.wait_of_others =
        wait_of("", MeanWeight(queue.work_of_team, terms));
    bool has_wait = forecast.wait_of_others > duration(0);
    for (const auto& [team, work] : queue.work_of_team) {
      const duration wait = wait_of(team, terms.weight_of(team));
      forecast.wait_of_team[team] = wait;
      has_wait = has_wait || wait > duration(0);
    }
    if (queue.priority == 0) {
      for (const std::string& team : terms.guaranteed_teams) {
        if (terms.has_unused_guarantee(team)) {
          forecast.wait_of_team[team] = duration(0);
        }
      }
    }
    if (has_wait) {
      forecasts[queue.name] = std::move(forecast);
    }
  }
  return forecasts;
}

void placement_rate::EndPeriod(instant now,
                               bool has_waiting,
                               bool could_place) {
  if (began_at_ != instant() && had_waiting_ && has_waiting && could_place &&
      now > began_at_) {
    periods_.push_back({now, now - began_at_, placed_});
  }
  while (!periods_.empty() && now - periods_.front().end > kWindow) {
    periods_.pop_front();
  }
  began_at_ = now;
  had_waiting_ = has_waiting;
  placed_ = 0;
}

double placement_rate::Rate(instant now, double usable_minions) const {
  double placed = 0;
  duration observed{0};
  for (const period& part : periods_) {
    if (now - part.end <= kWindow) {
      placed += part.placed;
      observed += part.length;
    }
  }
  if (observed < kMinObservation) {
    return std::max(usable_minions, 1.0);
  }
  const double rate = placed / std::chrono::duration<double>(observed).count();
  const double least = std::max(usable_minions * kMinRateShare, 1.0);
  return std::clamp(rate, least, std::max(usable_minions, least));
}

}  // namespace sassafras::sched

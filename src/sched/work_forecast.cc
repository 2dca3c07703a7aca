#include <algorithm>

#include "src/sched/work_impl.h"

namespace sassafras::sched {

// Adds the work of the queues' jobs that a new job may have to wait for. Late
// jobs are passed over by those that are on time; timed or endless ones, and
// tasks that fit on no minion, wait for other reasons than room.
void work_core::impl::AddWaitingWork(
    instant now,
    std::map<std::string, queue_load>& loads) const {
  for (const auto& [rank, job] : waiting_jobs_) {
    const auto load = loads.find(job->accepted.queue);
    if (load == loads.end() || job->IsEnded() || job->waiting_units.IsEmpty() ||
        job->accepted.spec.occurrences > 0) {
      continue;
    }
    const waiting_job entry = ToWaitingJob(*job);
    const bool is_passed_over =
        RankOf(entry, now, options_.policy.order_by_objective) ==
        waiting_rank::kLate;
    if (!is_passed_over && entry.demand > 0) {
      ++load->second.waiting_jobs;
      load->second.work_of_team[job->accepted.team] += entry.demand;
    }
  }
}

double work_core::impl::UsableMinions(instant now,
                                      const std::string& service) const {
  double usable = 0;
  for (const auto& [id, minion] : minions_) {
    const bool is_usable =
        minion.report.service == service && HealthOf(now, minion) == kUsable;
    usable += is_usable ? 1 : 0;
  }
  return usable;
}

// Ends the period of observation of all queues: the rate at which the work of
// each was placed since the last call.
queue_forecasts work_core::impl::Forecasts(instant now) {
  if (!config_) {
    return {};
  }
  std::map<std::string, queue_load> loads;
  for (const job_queue& queue : config_->queues) {
    loads[queue.name].name = queue.name;
    loads[queue.name].priority = queue.priority;
  }
  AddWaitingWork(now, loads);
  std::map<std::string, double> usable;  // By service.
  std::vector<queue_load> waiting;
  for (const job_queue& queue : config_->queues) {
    queue_load& load = loads.at(queue.name);
    const bool has_waiting = load.waiting_jobs > 0;
    placement_rate& observed = placement_rates_[queue.name];
    observed.EndPeriod(now, has_waiting, has_had_pass_);
    if (has_waiting) {
      const auto [it, is_new] = usable.try_emplace(queue.service);
      it->second = is_new ? UsableMinions(now, queue.service) : it->second;
      load.rate = observed.Rate(now, it->second);
      waiting.push_back(std::move(load));
    }
  }
  has_had_pass_ = false;
  forecast_terms terms;
  terms.share_between_teams = options_.policy.share_between_teams;
  terms.weight_of = [this](const std::string& team) { return WeightOf(team); };
  terms.has_unused_guarantee = [this](const std::string& team) {
    const auto used = urgent_accelerators_.find(team);
    return (used == urgent_accelerators_.end() ? 0 : used->second) <
           GuaranteeOf(team);
  };
  for (const auto& [name, team] : config_->teams) {
    if (team.guaranteed_accelerators > 0) {
      terms.guaranteed_teams.push_back(name);
    }
  }
  return ForecastWaits(waiting, terms);
}

// Takes back what a run that ends early was counted as: all of it if it did not
// start, the rest if it was evicted.
void work_core::impl::ReturnPlacedWork(instant now,
                                       const job_entry& job,
                                       const work_unit& unit,
                                       close_cause cause) {
  double share = 0;
  switch (cause) {
    case close_cause::kClaimExpired:
    case close_cause::kMinionUnusable:
    case close_cause::kRecordTooLarge:
    case close_cause::kRefused:
    case close_cause::kUnanswered:
      share = 1;
      break;
    case close_cause::kEvicted: {
      const duration estimate =
          job.accepted.spec.steps.at(static_cast<std::size_t>(unit.step))
              .estimate;
      const duration rest = RemainingTimeOf(now, job, unit);
      share = estimate > duration(0) ? static_cast<double>(rest.count()) /
                                           static_cast<double>(estimate.count())
                                     : 0;
      break;
    }
    default:
      return;
  }
  const double returned = DemandOf(job, unit) * std::clamp(share, 0.0, 1.0);
  placement_rates_[job.accepted.queue].OnPlaced(-returned);
  team_shares_.Add(now, job.accepted.team, -returned);
}

}  // namespace sassafras::sched

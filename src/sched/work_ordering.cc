#include <algorithm>
#include <chrono>
#include <cstdint>

#include "src/sched/waiting_order.h"
#include "src/sched/work_impl.h"

namespace sassafras::sched {

// Returns the work of one unit in minion-seconds, as estimated: a task takes
// the part of a minion that follows from its scarcest resource.
double work_core::impl::DemandOf(const job_entry& job,
                                 const work_unit& unit) const {
  return unit.width * TaskDemandOf(job, unit.step);
}

double work_core::impl::TaskDemandOf(const job_entry& job, int index) const {
  const step_spec& step =
      job.accepted.spec.steps.at(static_cast<std::size_t>(index));
  const auto capacity = mean_capacities_.find(ServiceOf(job));
  if (capacity == mean_capacities_.end()) {
    return 0;
  }
  const std::int64_t per_minion =
      CountFitting(capacity->second, step.Reserved());
  if (per_minion == 0) {
    return 0;
  }
  return std::chrono::duration<double>(step.estimate).count() /
         static_cast<double>(per_minion);
}

// Returns the demand of all waiting units of the job that have an end.
double work_core::impl::WaitingDemandOf(const job_entry& job) const {
  double demand = 0;
  for (std::size_t index = 0; index < job.waiting_units_of_step.size();
       ++index) {
    const step_spec& step = job.accepted.spec.steps[index];
    if (!step.is_persistent) {
      const int width = step.is_gang ? step.count : 1;
      demand += job.waiting_units_of_step[index] * width *
                TaskDemandOf(job, static_cast<int>(index));
    }
  }
  return demand;
}

double work_core::impl::WeightOf(const std::string& team) const {
  return static_cast<double>(std::max<std::int64_t>(GuaranteeOf(team), 1));
}

// Returns the first waiting unit; `untouched` takes one that has no object.
const work_unit& work_core::impl::FirstWaiting(const job_entry& job,
                                               work_unit& untouched) {
  const std::size_t position = job.waiting_units.NextFrom(0).value();
  const work_unit* unit = job.FindUnit(position);
  if (unit == nullptr) {
    untouched = job.MakeUnit(position);
    unit = &untouched;
  }
  return *unit;
}

waiting_job work_core::impl::ToWaitingJob(const job_entry& job) const {
  work_unit untouched;
  const work_unit& first = FirstWaiting(job, untouched);
  waiting_job waiting;
  waiting.priority = job.accepted.priority;
  waiting.is_guaranteed = IsWithinGuarantee(job, first);
  waiting.was_evicted = first.was_gang_evicted;
  waiting.team = job.accepted.team;
  waiting.demand = WaitingDemandOf(job);
  waiting.accepted_at = job.first_seen_at;
  waiting.objective = job.objective;
  waiting.remaining = job.chains.at(static_cast<std::size_t>(first.step));
  return waiting;
}

// Returns the jobs with waiting units in placement order. Among urgent jobs,
// those whose first waiting unit is within its team's guarantee come first.
std::vector<job_entry*> work_core::impl::WaitingJobs(instant now) {
  std::erase_if(waiting_jobs_, [](const auto& item) {
    return item.second->IsEnded() || item.second->waiting_units.IsEmpty();
  });
  std::vector<job_entry*> jobs;
  jobs.reserve(waiting_jobs_.size());
  for (const auto& [rank, job] : waiting_jobs_) {
    jobs.push_back(job);
  }
  if (!options_.policy.order_by_objective &&
      !options_.policy.share_between_teams) {
    const auto end_of_urgent = std::find_if(
        jobs.begin(), jobs.end(),
        [](const job_entry* job) { return job->accepted.priority != 0; });
    std::stable_partition(
        jobs.begin(), end_of_urgent, [this](const job_entry* job) {
          work_unit untouched;
          return IsWithinGuarantee(*job, FirstWaiting(*job, untouched));
        });
    return jobs;
  }
  std::vector<waiting_job> waiting;
  waiting.reserve(jobs.size());
  for (const job_entry* job : jobs) {
    waiting.push_back(ToWaitingJob(*job));
  }
  order_rules rules;
  rules.by_objective = options_.policy.order_by_objective;
  rules.by_team = options_.policy.share_between_teams;
  rules.given_to = [this, now](const std::string& team) {
    return team_shares_.GivenTo(now, team) / WeightOf(team);
  };
  rules.weight_of = [this](const std::string& team) { return WeightOf(team); };
  std::vector<job_entry*> ordered;
  ordered.reserve(jobs.size());
  for (const std::size_t index : OrderWaiting(waiting, now, rules)) {
    ordered.push_back(jobs[index]);
  }
  return ordered;
}

}  // namespace sassafras::sched

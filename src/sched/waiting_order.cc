#include "src/sched/waiting_order.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace sassafras::sched {
namespace {

// Jobs of one team that are to be taken in turn with those of other teams.
struct team_queue {
  double level = 0;  // Minion-seconds given so far, divided by the weight.
  double weight = 1;
  std::size_t next = 0;
  std::vector<std::size_t> jobs;
};

// Reorders the range [begin, end) of `order`: repeatedly takes the next job of
// the team that was given the least. Equal teams are taken by acceptance.
void TakeInTurn(const std::vector<waiting_job>& jobs,
                const order_rules& rules,
                std::vector<std::size_t>::iterator begin,
                std::vector<std::size_t>::iterator end) {
  std::map<std::string, team_queue> teams;
  for (auto it = begin; it != end; ++it) {
    team_queue& team = teams[jobs[*it].team];
    if (team.jobs.empty()) {
      team.level = rules.given_to(jobs[*it].team);
      team.weight = rules.weight_of(jobs[*it].team);
    }
    team.jobs.push_back(*it);
  }
  if (teams.size() < 2) {
    return;
  }
  for (auto it = begin; it != end; ++it) {
    team_queue* first = nullptr;
    for (auto& [name, team] : teams) {
      if (team.next == team.jobs.size()) {
        continue;
      }
      if (first == nullptr ||
          std::pair(team.level, team.jobs[team.next]) <
              std::pair(first->level, first->jobs[first->next])) {
        first = &team;
      }
    }
    *it = first->jobs[first->next++];
    first->level += jobs[*it].demand / first->weight;
  }
}

}  // namespace

// A job that can no longer meet its objective is passed over for as long as
// the objective, so that its wait stays bounded. Urgent jobs are not: they
// evict others and wait for fractions of a second, less than the error of their
// estimates.
waiting_rank RankOf(const waiting_job& job, instant now, bool by_objective) {
  if (job.is_guaranteed) {
    return waiting_rank::kGuaranteed;
  }
  if (!by_objective || job.priority == 0) {
    return waiting_rank::kOnTime;
  }
  if (job.was_evicted) {
    return waiting_rank::kOverdue;
  }
  const instant must_start = job.accepted_at + job.objective - job.remaining;
  if (job.objective <= duration(0) || now <= must_start) {
    return waiting_rank::kOnTime;
  }
  return now <= must_start + job.objective ? waiting_rank::kLate
                                           : waiting_rank::kOverdue;
}

std::vector<std::size_t> OrderWaiting(const std::vector<waiting_job>& jobs,
                                      instant now,
                                      const order_rules& rules) {
  std::vector<std::pair<int, waiting_rank>> keys;
  keys.reserve(jobs.size());
  for (const waiting_job& job : jobs) {
    keys.emplace_back(job.priority, RankOf(job, now, rules.by_objective));
  }
  std::vector<std::size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&keys](std::size_t left, std::size_t right) {
                     return keys[left] < keys[right];
                   });
  if (!rules.by_team) {
    return order;
  }
  for (auto begin = order.begin(); begin != order.end();) {
    const auto key = keys[*begin];
    const auto end = std::find_if(begin, order.end(), [&](std::size_t index) {
      return keys[index] != key;
    });
    if (key.second >= waiting_rank::kOnTime) {
      TakeInTurn(jobs, rules, begin, end);
    }
    begin = end;
  }
  return order;
}

}  // namespace sassafras::sched

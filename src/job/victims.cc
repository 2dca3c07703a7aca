#include "src/job/victims.h"

#include <algorithm>

namespace sassafras {
namespace {

// Cost of waiting for jobs that are already stopping, so that free workers are
// preferred.
constexpr double kStoppingCost = 1;
// Share of its loss by which each earlier eviction raises the cost of a job.
constexpr double kEvictionWeight = 1;
constexpr double kMinShareWeight = 0.5;
constexpr double kMaxShareWeight = 2;

double ClassWeight(urgency order) {
  switch (order) {
    case urgency::kUrgent:
      return 4;
    case urgency::kNormal:
      return 2;
    case urgency::kBatch:
      return 1;
  }
  return 1;
}

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

bool Contains(const std::vector<int>& list, int value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

bool victim_search::CanCheckpoint(int job) const {
  const job_entry& entry = jobs_[job];
  return entry.class_object != nullptr && entry.class_object->can_checkpoint &&
         entry.class_object->checkpoint_grace <= kMaxCheckpointGrace;
}

double victim_search::Loss(int job) const {
  const job_entry& entry = jobs_[job];
  duration lost = kRestartLoss;
  if (!entry.claiming && !CanCheckpoint(job)) {
    lost += now_ - std::max(entry.started, entry.checkpointed);
  }
  double loss = Seconds(lost) * std::max(entry.Accelerators(), 1);
  if (entry.class_object != nullptr) {
    loss *= ClassWeight(entry.class_object->urgency_level);
  }
  loss *= 1 + kEvictionWeight * entry.evictions;
  if (entry.team >= 0) {
    // Jobs of a team above its share are evicted before those of one below it.
    const double use = share_use_[static_cast<std::size_t>(entry.team)];
    loss *= std::clamp(1 / std::max(use, kMinShareWeight), kMinShareWeight,
                       kMaxShareWeight);
  }
  return loss;
}

bool victim_search::CanEvict(int worker,
                             int job,
                             const eviction_rule& rule) const {
  const job_entry& entry = jobs_[job];
  if (job == rule.beneficiary || entry.terms != hold_terms::kBorrowed) {
    return false;
  }
  if (entry.claiming || entry.MovesTo(worker)) {
    return rule.can_revoke_claims;
  }
  if (entry.phase == job_phase::kStopping) {
    return false;
  }
  return rule.min_protected_accelerators == 0 ||
         entry.Accelerators() < rule.min_protected_accelerators;
}

std::vector<int> victim_search::EvictableByLoss(
    int worker,
    const eviction_rule& rule) const {
  std::vector<std::pair<double, int>> order;
  for (const int job : workers_[worker].occupants) {
    if (CanEvict(worker, job, rule)) {
      order.emplace_back(Loss(job), job);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<int> jobs;
  jobs.reserve(order.size());
  for (const auto& [loss, job] : order) {
    jobs.push_back(job);
  }
  return jobs;
}

std::optional<double> victim_search::Cost(int worker,
                                          const resources& need,
                                          const eviction_rule& rule) const {
  const worker_state& state = workers_[worker];
  if (state.Free().Holds(need)) {
    return 0;
  }
  resources left = state.FreeAfterStops();
  double cost = kStoppingCost;
  if (left.Holds(need)) {
    return cost;
  }
  for (const int job : EvictableByLoss(worker, rule)) {
    left += jobs_[job].need;
    cost += Loss(job);
    if (left.Holds(need)) {
      return cost;
    }
  }
  return std::nullopt;
}

resources victim_search::FreeWithout(int worker,
                                     const std::vector<int>& victims) const {
  resources left = workers_[worker].FreeAfterStops();
  for (const int job : workers_[worker].occupants) {
    const bool stops =
        jobs_[job].phase == job_phase::kStopping && !jobs_[job].MovesTo(worker);
    if (!stops && Contains(victims, job)) {
      left += jobs_[job].need;
    }
  }
  return left;
}

std::vector<int> victim_search::Choose(const std::vector<int>& chosen,
                                       const resources& need,
                                       const eviction_rule& rule) const {
  std::vector<int> victims;
  for (const int worker : chosen) {
    resources left = FreeWithout(worker, victims);
    for (const int job : EvictableByLoss(worker, rule)) {
      if (left.Holds(need)) {
        break;
      }
      if (!Contains(victims, job)) {
        victims.push_back(job);
        left += jobs_[job].need;
      }
    }
  }
  // A victim chosen for a later worker can make an earlier one unnecessary.
  std::stable_sort(victims.begin(), victims.end(),
                   [&](int a, int b) { return Loss(a) > Loss(b); });
  for (std::size_t i = 0; i < victims.size();) {
    std::vector<int> without = victims;
    without.erase(without.begin() + static_cast<std::ptrdiff_t>(i));
    const bool still_fits = std::all_of(
        chosen.begin(), chosen.end(),
        [&](int worker) { return FreeWithout(worker, without).Holds(need); });
    if (still_fits) {
      victims = std::move(without);
    } else {
      ++i;
    }
  }
  return victims;
}

}  // namespace sassafras

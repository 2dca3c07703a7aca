#include "src/job/reservation.h"

#include <algorithm>

#include "src/job/group_search.h"

namespace sassafras {
namespace {

// When one worker becomes free for a gang, and at which cost.
struct release {
  instant ready;
  double lost = 0;  // Accelerator seconds that evicted jobs lose.
};

class reservation_planner {
 public:
  reservation_planner(const reservation_input& input,
                      int job,
                      const std::vector<reservation>& others)
      : input_(input),
        need_(input.jobs[job].wanted->per_worker),
        excluded_(static_cast<std::size_t>(input.workers.size()), false) {
    rule_.beneficiary = job;
    rule_.min_protected_accelerators =
        input.jobs[job].wanted->TotalAccelerators();
    for (const reservation& other : others) {
      for (const int worker : other.workers) {
        excluded_[static_cast<std::size_t>(worker)] = true;
      }
    }
  }

  std::optional<instant> ReadyTimeOn(const std::vector<int>& workers) const {
    instant ready = input_.now;
    for (const int worker : workers) {
      const std::optional<release> found = FindRelease(worker);
      if (!found || !input_.workers[worker].is_usable) {
        return std::nullopt;
      }
      ready = std::max(ready, found->ready);
    }
    return ready;
  }

  std::optional<reservation> Run() {
    const shape& wanted = *input_.jobs[rule_.beneficiary].wanted;
    const auto cost = [this](int worker) { return CostOf(worker); };
    const auto group = FindGroup(input_.workers, wanted.level, wanted.workers,
                                 group_order::kTightest, cost);
    if (!group) {
      return std::nullopt;
    }
    return reservation{
        rule_.beneficiary, group->workers, *ReadyTimeOn(group->workers), {}};
  }

 private:
  std::optional<double> CostOf(int worker) const {
    if (excluded_[static_cast<std::size_t>(worker)]) {
      return std::nullopt;
    }
    const std::optional<release> found = FindRelease(worker);
    if (!found) {
      return std::nullopt;
    }
    const std::chrono::duration<double> wait = found->ready - input_.now;
    return wait.count() * need_.accelerators + found->lost;
  }

  std::optional<release> FindRelease(int worker) const {
    const worker_state& state = input_.workers[worker];
    resources left = state.Free();
    if (left.Holds(need_)) {
      return release{input_.now, 0};
    }
    left = state.FreeAfterStops();
    release found{input_.now + kMaxCheckpointGrace, 0};
    if (left.Holds(need_)) {
      return found;
    }
    if (input_.can_evict) {
      const std::optional<double> lost =
          input_.victims.Cost(worker, need_, rule_);
      if (lost) {
        found.lost = *lost;
        return found;
      }
    }
    return ReleaseAfterJobEnds(state, left);
  }

  std::optional<release> ReleaseAfterJobEnds(const worker_state& state,
                                             resources left) const {
    std::vector<std::pair<instant, int>> ends;
    for (const int job : state.occupants) {
      if (input_.jobs[job].phase != job_phase::kStopping) {
        ends.emplace_back(input_.end(job), job);
      }
    }
    std::sort(ends.begin(), ends.end());
    for (const auto& [end, job] : ends) {
      left += input_.jobs[job].need;
      if (left.Holds(need_)) {
        return release{std::max(end, input_.now), 0};
      }
    }
    return std::nullopt;
  }

  const reservation_input& input_;
  resources need_;
  std::vector<bool> excluded_;
  eviction_rule rule_;
};

}  // namespace

std::optional<instant> ReadyTime(const reservation_input& input,
                                 const reservation& planned) {
  return reservation_planner(input, planned.job, {})
      .ReadyTimeOn(planned.workers);
}

std::optional<reservation> PlanReservation(
    const reservation_input& input,
    int job,
    const std::vector<reservation>& others) {
  return reservation_planner(input, job, others).Run();
}

}  // namespace sassafras

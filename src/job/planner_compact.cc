#include <algorithm>
#include <tuple>
#include <utility>

#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

// Loans are moved together at most once in this time, by this many steps.
constexpr duration kCompactPeriod = std::chrono::seconds(10);
constexpr int kGreatestSteps = 4;
// One more whole free worker beside others is worth this part of a whole one.
constexpr double kGatheredPart = 0.5;
// Weight of gaps of unequal size, so that small steps towards a useful shape
// count as well.
constexpr double kSpreadWeight = 1.0 / 32;
// Workers looked at in one step, the least held first.
constexpr std::size_t kGreatestSources = 16;

constexpr std::string_view kMoves = "plan_moved_together";

int HeldAccelerators(const worker_state& state) {
  return state.held.accelerators;
}

}  // namespace

// A loan on one worker that runs and can be checkpointed.
bool planner::impl::IsMovable(int job) const {
  const job_entry& entry = jobs_[job];
  return entry.terms == hold_terms::kBorrowed && !entry.claiming &&
         entry.phase == job_phase::kRunning && entry.workers.size() == 1 &&
         entry.IsPlaceable() && Victims().MayCheckpoint(job);
}

// Moves loans off partly free workers into the gaps of others, and loans of
// whole workers out of racks that are nearly free, as far as that pays.
void planner::impl::Compact() {
  if (compact_worth_ <= 0 || now_ - compacted_ < kCompactPeriod) {
    return;
  }
  compacted_ = now_;
  for (int step = 0; step < kGreatestSteps; ++step) {
    if (!VacateOneWorker() && !FillOneGap() && !GatherWholeWorkers()) {
      return;
    }
  }
}

void planner::impl::Move(int job, int to) {
  job_entry& entry = jobs_[job];
  counters_.Add(kMoves);
  workers_.Claim(to, job, entry.need);
  entry.move_to = {to};
  entry.claim_order = next_claim_++;
  ++entry.evictions;
  MarkStopping(job, true);
  entry.stop_asked = now_;
  entry.beneficiary = entry.job.id;
  unconfirmed_stops_.insert(job);
  plan_.stops.push_back({entry.job.id, entry.job.id, /*checkpoint=*/true});
}

// Finds for every job of `source` a gap on another partly free worker, the
// tightest for the largest job first.
std::optional<std::vector<std::pair<int, int>>> planner::impl::PlanVacating(
    int source) const {
  std::vector<int> jobs = workers_[source].occupants;
  std::sort(jobs.begin(), jobs.end(), [this](int a, int b) {
    return std::make_tuple(-jobs_[a].need.accelerators, a) <
           std::make_tuple(-jobs_[b].need.accelerators, b);
  });
  std::map<int, resources> left;
  std::vector<std::pair<int, int>> moves;
  for (const int job : jobs) {
    if (!IsMovable(job)) {
      return std::nullopt;
    }
    const resources& need = jobs_[job].need;
    int best = -1;
    resources best_left;
    for (int worker = 0; worker < workers_.size(); ++worker) {
      const worker_state& state = workers_[worker];
      const bool partly =
          state.usable && !state.IsWhole() && state.Free().accelerators > 0;
      if (!partly || worker == source ||
          reserved_on_[static_cast<std::size_t>(worker)] != 0) {
        continue;
      }
      const auto used = left.find(worker);
      const resources free = used == left.end() ? state.Free() : used->second;
      if (free.Holds(need) &&
          (best < 0 || free.accelerators < best_left.accelerators)) {
        best = worker;
        best_left = free;
      }
    }
    if (best < 0) {
      return std::nullopt;
    }
    best_left -= need;
    left[best] = best_left;
    moves.emplace_back(job, best);
  }
  return moves;
}

bool planner::impl::VacateOneWorker() {
  std::vector<int> sources;
  for (int worker = 0; worker < workers_.size(); ++worker) {
    const worker_state& state = workers_[worker];
    const bool partly = state.usable && state.Free().accelerators > 0 &&
                        HeldAccelerators(state) > 0;
    if (partly && state.fixed == 0) {
      sources.push_back(worker);
    }
  }
  std::sort(sources.begin(), sources.end(), [this](int a, int b) {
    return std::make_tuple(HeldAccelerators(workers_[a]), a) <
           std::make_tuple(HeldAccelerators(workers_[b]), b);
  });
  sources.resize(std::min(sources.size(), kGreatestSources));
  const victim_search victims = Victims();
  for (const int source : sources) {
    const auto moves = PlanVacating(source);
    if (!moves || moves->empty()) {
      continue;
    }
    double cost = 0;
    for (const auto& [job, to] : *moves) {
      cost += victims.Loss(job);
    }
    if (cost > compact_worth_ * workers_[source].capacity.accelerators) {
      continue;
    }
    for (const auto& [job, to] : *moves) {
      Move(job, to);
    }
    return true;
  }
  return false;
}

// Accelerators of a gap that some shape can use, weighted by what is asked for
// in each size.
double planner::impl::GapValue(int free) const {
  double useful = 0;
  double asked = 0;
  for (const auto& [size, seconds] : demand_) {
    useful += seconds * (free / size) * size;
    asked += seconds;
  }
  return (asked > 0 ? useful / asked : 0) + kSpreadWeight * free * free;
}

// Moves the loan whose move into another gap makes the two gaps most useful,
// if it pays.
bool planner::impl::FillOneGap() {
  std::map<int, std::vector<int>> gaps;  // Two workers by free accelerators.
  for (int worker = 0; worker < workers_.size(); ++worker) {
    const worker_state& state = workers_[worker];
    const int free = state.Free().accelerators;
    const bool gap = state.usable && free > 0 && !state.IsWhole() &&
                     reserved_on_[static_cast<std::size_t>(worker)] == 0;
    if (gap && gaps[free].size() < 2) {
      gaps[free].push_back(worker);
    }
  }
  const victim_search victims = Victims();
  double best_gain = 0;
  int best_job = -1;
  int best_target = -1;
  const auto consider = [&](int source, int job, int target) {
    const job_entry& entry = jobs_[job];
    if (target == source || !workers_[target].Free().Holds(entry.need)) {
      return;
    }
    const int from = workers_[source].Free().accelerators;
    const int to = workers_[target].Free().accelerators;
    const int size = entry.need.accelerators;
    const double gain =
        compact_worth_ * (GapValue(from + size) + GapValue(to - size) -
                          GapValue(from) - GapValue(to)) -
        victims.Loss(job);
    if (gain > best_gain) {
      best_gain = gain;
      best_job = job;
      best_target = target;
    }
  };
  for (int source = 0; source < workers_.size(); ++source) {
    const worker_state& state = workers_[source];
    if (!state.usable || state.Free().accelerators <= 0) {
      continue;
    }
    for (const int job : state.occupants) {
      if (!IsMovable(job) || jobs_[job].need.accelerators == 0) {
        continue;
      }
      for (const auto& [free, targets] : gaps) {
        for (const int target : targets) {
          consider(source, job, target);
        }
      }
    }
  }
  if (best_job < 0) {
    return false;
  }
  Move(best_job, best_target);
  return true;
}

// Moves a loan that fills a worker from the rack with more whole free workers
// to the one with fewer.
bool planner::impl::GatherWholeWorkers() {
  std::vector<int> whole(workers_.Racks().size(), 0);
  for (int worker = 0; worker < workers_.size(); ++worker) {
    const worker_state& state = workers_[worker];
    if (state.rack >= 0 && state.IsWhole()) {
      ++whole[static_cast<std::size_t>(state.rack)];
    }
  }
  int target = -1;
  int fewest = 0;
  for (int worker = 0; worker < workers_.size(); ++worker) {
    const worker_state& state = workers_[worker];
    if (!state.IsWhole() ||
        reserved_on_[static_cast<std::size_t>(worker)] != 0) {
      continue;
    }
    const int count = whole[static_cast<std::size_t>(state.rack)];
    if (target < 0 || count < fewest) {
      target = worker;
      fewest = count;
    }
  }
  if (target < 0) {
    return false;
  }
  int moved = -1;
  int most = fewest - 1;
  const victim_search victims = Victims();
  for (int worker = 0; worker < workers_.size(); ++worker) {
    const worker_state& state = workers_[worker];
    if (!state.usable || state.rack == workers_[target].rack ||
        state.occupants.size() != 1 || !IsMovable(state.occupants.front())) {
      continue;
    }
    const int job = state.occupants.front();
    const int count = whole[static_cast<std::size_t>(state.rack)];
    const bool fills =
        jobs_[job].need.accelerators == state.capacity.accelerators;
    const bool pays = victims.Loss(job) <= kGatheredPart * compact_worth_ *
                                               state.capacity.accelerators;
    if (fills && pays && count > most &&
        workers_[target].Free().Holds(jobs_[job].need)) {
      most = count;
      moved = job;
    }
  }
  if (moved < 0) {
    return false;
  }
  Move(moved, target);
  return true;
}

}  // namespace sassafras

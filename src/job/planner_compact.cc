#include <algorithm>
#include <tuple>
#include <utility>

#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

// Minimum interval between two compactions.
constexpr duration kCompactPeriod = std::chrono::seconds(10);
// Maximum number of moves of one kind per compaction: kMinMoves, plus one for
// each kWorkersPerMove workers.
constexpr int kMinMoves = 2;
constexpr int kWorkersPerMove = 25;
// Maximum number of workers vacated per compaction.
constexpr int kMaxVacatedWorkers = 4;
// Weight of the squared gap size. It favours unequal gaps, so that a move that
// enlarges a gap counts even if the gap does not fit a further shape yet.
constexpr double kGapSizeWeight = 1.0 / 32;
// Candidates considered for vacating one worker, those with the fewest held
// accelerators first.
constexpr std::size_t kMaxSourceWorkers = 16;

constexpr std::string_view kMoves = "plan_moved_together";

int HeldAccelerators(const worker_state& state) {
  return state.held.accelerators;
}

}  // namespace

// Whether the job is a running borrowed job whose shape is limited to a rack or
// worker, and can be checkpointed.
bool planner::impl::IsMovable(int job) const {
  const job_entry& entry = jobs_[job];
  return entry.terms == hold_terms::kBorrowed && !entry.claiming &&
         entry.phase == job_phase::kRunning && entry.IsPlaceable() &&
         entry.wanted->level != shape_level::kPlace &&
         Victims().CanCheckpoint(job);
}

// Moves borrowed jobs from partly free workers into free capacity of others,
// and borrowed jobs on whole workers out of nearly free racks, where the gain
// exceeds the loss.
void planner::impl::Compact() {
  if (max_compaction_loss_seconds_ <= 0 ||
      now_ - last_compaction_ < kCompactPeriod) {
    return;
  }
  last_compaction_ = now_;
  const int max_moves = kMinMoves + workers_.size() / kWorkersPerMove;
  int steps = 0;
  while (steps < kMaxVacatedWorkers && VacateOneWorker()) {
    ++steps;
  }
  FillGaps(max_moves);
  ConsolidateRacks(max_moves);
}

void planner::impl::Move(int job, const std::vector<int>& to) {
  job_entry& entry = jobs_[job];
  counters_.Add(kMoves);
  for (const int worker : to) {
    workers_.Claim(worker, job, entry.need);
  }
  entry.move_to = to;
  entry.claim_order = next_claim_++;
  ++entry.evictions;
  MarkStopping(job, true);
  entry.stop_asked = now_;
  entry.beneficiary = entry.job.id;
  unconfirmed_stops_.insert(job);
  plan_.stops.push_back(
      {entry.job.id, entry.job.id, /*should_checkpoint=*/true});
}

// Assigns each job of `source` to another partly free worker, largest job
// first, best fit. Empty if a job cannot be moved.
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
    if (jobs_[job].need.accelerators == 0) {
      continue;
    }
    if (!IsMovable(job) || jobs_[job].workers.size() > 1) {
      return std::nullopt;
    }
    const resources& need = jobs_[job].need;
    int best = -1;
    resources best_left;
    for (int worker = 0; worker < workers_.size(); ++worker) {
      const worker_state& state = workers_[worker];
      const bool is_partly_free = state.is_usable && !state.IsFullyFree() &&
                                  state.Free().accelerators > 0;
      if (!is_partly_free || worker == source ||
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
    const bool is_partly_free = state.is_usable &&
                                state.Free().accelerators > 0 &&
                                HeldAccelerators(state) > 0;
    if (is_partly_free && state.immovable_accelerators == 0) {
      sources.push_back(worker);
    }
  }
  std::sort(sources.begin(), sources.end(), [this](int a, int b) {
    return std::make_tuple(HeldAccelerators(workers_[a]), a) <
           std::make_tuple(HeldAccelerators(workers_[b]), b);
  });
  sources.resize(std::min(sources.size(), kMaxSourceWorkers));
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
    if (cost >
        max_compaction_loss_seconds_ * workers_[source].capacity.accelerators) {
      continue;
    }
    for (const auto& [job, to] : *moves) {
      Move(job, {to});
    }
    return true;
  }
  return false;
}

// Returns the accelerators of a gap of `free` that jobs can use, weighted by
// the demand for each size, plus a term that favours large gaps.
double planner::impl::GapUtility(int free) const {
  double useful = 0;
  double total_demand = 0;
  for (const auto& [size, seconds] : demand_by_size_) {
    const int used = free / size * size;
    useful += seconds * used;
    total_demand += seconds;
  }
  return (total_demand > 0 ? useful / total_demand : 0) +
         kGapSizeWeight * free * free;
}

// Returns the partly free, unreserved workers by free accelerators.
std::map<int, std::vector<int>> planner::impl::FindGaps() const {
  std::map<int, std::vector<int>> gaps;
  for (int worker = 0; worker < workers_.size(); ++worker) {
    const worker_state& state = workers_[worker];
    const int free = state.Free().accelerators;
    if (state.is_usable && free > 0 && !state.IsFullyFree() &&
        reserved_on_[static_cast<std::size_t>(worker)] == 0) {
      gaps[free].push_back(worker);
    }
  }
  return gaps;
}

// Returns the gain in accelerator seconds of moving `job` from `source` to
// `target`, less its loss.
double planner::impl::MoveGain(int job, int source, int target) const {
  const int from = workers_[source].Free().accelerators;
  const int to = workers_[target].Free().accelerators;
  const int size = jobs_[job].need.accelerators;
  const double useful = GapUtility(from + size) + GapUtility(to - size) -
                        GapUtility(from) - GapUtility(to);
  return max_compaction_loss_seconds_ * useful - Victims().Loss(job);
}

// Returns the moves of borrowed jobs into other gaps that have a positive gain.
// Considers one gap of each size for each job.
std::vector<planner::impl::gap_move> planner::impl::FindGapMoves() const {
  const std::map<int, std::vector<int>> gaps = FindGaps();
  std::vector<gap_move> moves;
  for (int source = 0; source < workers_.size(); ++source) {
    const worker_state& state = workers_[source];
    if (!state.is_usable || state.Free().accelerators <= 0) {
      continue;
    }
    for (const int job : state.occupants) {
      const int size = jobs_[job].need.accelerators;
      if (size == 0 || !IsMovable(job) || jobs_[job].workers.size() > 1) {
        continue;
      }
      for (auto it = gaps.lower_bound(size); it != gaps.end(); ++it) {
        const std::size_t pick =
            static_cast<std::size_t>(source) % it->second.size();
        const int target = it->second[pick];
        const bool fits =
            target != source && workers_[target].Free().Holds(jobs_[job].need);
        const double gain = fits ? MoveGain(job, source, target) : 0;
        if (gain > 0) {
          moves.push_back({gain, job, source, target});
        }
      }
    }
  }
  return moves;
}

// Performs at most `max_moves` moves, highest gain first; each worker takes
// part in one move only. Returns the number of moves.
int planner::impl::FillGaps(int max_moves) {
  std::vector<gap_move> moves = FindGapMoves();
  std::sort(moves.begin(), moves.end(), std::greater<>());
  std::set<int> used_workers;
  int made = 0;
  for (const gap_move& move : moves) {
    if (made >= max_moves) {
      break;
    }
    if (used_workers.contains(move.source) ||
        used_workers.contains(move.target)) {
      continue;
    }
    used_workers.insert(move.source);
    used_workers.insert(move.target);
    Move(move.job, {move.target});
    ++made;
  }
  return made;
}

// Returns the fully free workers of a rack that gangs can use, weighted by the
// demand for each gang size, plus a term that favours large numbers. In
// accelerators.
double planner::impl::RackUtility(int fully_free, int accelerators) const {
  double useful = 0;
  for (const auto& [workers, seconds] : rack_demand_by_workers_) {
    const int used = fully_free / workers * workers;
    useful += seconds * used;
  }
  double total_demand = 0;
  for (const auto& [size, seconds] : demand_by_size_) {
    total_demand += seconds;
  }
  return accelerators * ((total_demand > 0 ? useful / total_demand : 0) +
                         kGapSizeWeight * fully_free * fully_free);
}

// Returns the rack of a job that uses all accelerators of its workers and is
// placed in one rack, or -1.
int planner::impl::FilledRack(int job) const {
  const job_entry& entry = jobs_[job];
  const int rack = workers_[entry.workers.front()].rack;
  const bool fills =
      std::all_of(entry.workers.begin(), entry.workers.end(), [&](int worker) {
        const worker_state& state = workers_[worker];
        return state.is_usable && state.rack == rack &&
               entry.need.accelerators == state.capacity.accelerators;
      });
  return fills ? rack : -1;
}

// Returns the fully free, unreserved workers of each rack.
std::vector<std::vector<int>> planner::impl::FullyFreeByRack() const {
  std::vector<std::vector<int>> fully_free(workers_.Racks().size());
  for (int worker = 0; worker < workers_.size(); ++worker) {
    const worker_state& state = workers_[worker];
    if (state.rack >= 0 && state.IsFullyFree() &&
        reserved_on_[static_cast<std::size_t>(worker)] == 0) {
      fully_free[static_cast<std::size_t>(state.rack)].push_back(worker);
    }
  }
  return fully_free;
}

// Returns the moves of borrowed jobs on whole workers into other racks that
// have a positive gain. Considers one rack for each number of fully free
// workers for each job.
std::vector<planner::impl::gap_move> planner::impl::FindRackMoves(
    const std::vector<std::vector<int>>& fully_free) const {
  std::map<int, std::vector<int>> by_count;
  for (std::size_t rack = 0; rack < fully_free.size(); ++rack) {
    by_count[static_cast<int>(fully_free[rack].size())].push_back(
        static_cast<int>(rack));
  }
  std::vector<gap_move> moves;
  const victim_search victims = Victims();
  for (const auto& [id, job] : jobs_.Index()) {
    const int source = IsMovable(job) ? FilledRack(job) : -1;
    if (source < 0) {
      continue;
    }
    const int size = static_cast<int>(jobs_[job].workers.size());
    const int each = jobs_[job].need.accelerators;
    const int from =
        static_cast<int>(fully_free[static_cast<std::size_t>(source)].size());
    const double loss = victims.Loss(job);
    for (auto it = by_count.lower_bound(size); it != by_count.end(); ++it) {
      const std::size_t pick =
          static_cast<std::size_t>(source) % it->second.size();
      const int target = it->second[pick];
      const double useful =
          RackUtility(from + size, each) + RackUtility(it->first - size, each) -
          RackUtility(from, each) - RackUtility(it->first, each);
      const double gain = max_compaction_loss_seconds_ * useful - loss;
      if (target != source && gain > 0) {
        moves.push_back({gain, job, source, target});
      }
    }
  }
  return moves;
}

// Performs at most `max_moves` moves, highest gain first; each rack takes part
// in one move only. Returns the number of moves.
int planner::impl::ConsolidateRacks(int max_moves) {
  const std::vector<std::vector<int>> fully_free = FullyFreeByRack();
  std::vector<gap_move> moves = FindRackMoves(fully_free);
  std::sort(moves.begin(), moves.end(), std::greater<>());
  std::set<int> used_racks;
  int made = 0;
  for (const gap_move& move : moves) {
    if (made >= max_moves) {
      break;
    }
    const std::vector<int>& free =
        fully_free[static_cast<std::size_t>(move.target)];
    std::vector<int> to;
    for (const int worker : free) {
      if (to.size() < jobs_[move.job].workers.size() &&
          workers_[worker].Free().Holds(jobs_[move.job].need)) {
        to.push_back(worker);
      }
    }
    if (to.size() < jobs_[move.job].workers.size() ||
        used_racks.contains(move.source) || used_racks.contains(move.target)) {
      continue;
    }
    used_racks.insert(move.source);
    used_racks.insert(move.target);
    Move(move.job, to);
    ++made;
  }
  return made;
}

}  // namespace sassafras

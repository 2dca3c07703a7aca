#include <algorithm>
#include <limits>
#include <queue>
#include <utility>

#include "sassafras/core/invariant.h"
#include "src/job/planner_impl.h"

// Decisions of the planner. A guarantee consists of cells, each of which is one
// promised instance of a shape. A cell is bound to workers on which it can be
// provided by evicting borrowed jobs only. Promised capacity of a worker is set
// aside for cells and for firm jobs. A job claims workers while it waits for
// the jobs that occupy them to stop.

namespace sassafras {
namespace {

// Maximum number of gangs started by one decision.
constexpr int kMaxStarts = 256;
// Interval after which an unconfirmed stop is requested again.
constexpr duration kStopRepeatInterval = std::chrono::seconds(2);

constexpr std::string_view kStartGuaranteed = "plan_start_guaranteed";
constexpr std::string_view kStartFirm = "plan_start_firm";
constexpr std::string_view kStartBorrowed = "plan_start_borrowed";
constexpr std::string_view kStopRepeated = "plan_stop_repeated";
constexpr std::string_view kCellsUnbound = "plan_guarantee_unbound";

resources Unheld(const worker_state& state) {
  resources left = state.capacity;
  left -= state.held;
  return left;
}

}  // namespace

// Only an idempotent job can borrow, because a guarantee may evict it and it is
// then restarted. Other jobs are firm: they use capacity that no guarantee
// needs.
hold_terms planner::impl::TermsOutsideGuarantee(const job_entry& entry) const {
  return entry.class_object->is_idempotent && !IsBaseline()
             ? hold_terms::kBorrowed
             : hold_terms::kFirm;
}

victim_search planner::impl::Victims() const {
  return {workers_, jobs_, share_use_, now_};
}

plan planner::impl::Decide(instant now) {
  plan_ = {};
  now_ = now;
  if (config_ == nullptr) {
    return plan_;
  }
  starts_left_ = kMaxStarts;
  RepairGuarantees();
  RepeatStops();
  FinishClaims();
  UpdateShareUse();
  IndexReservations();
  if (!IsBaseline()) {
    workers_.SumImmovable();
    PromiseReservedWorkers();
    PlaceGuaranteed(cell_match::kExact);
    StartReserved();
  }
  PlaceOutsideGuarantees();
  if (!IsBaseline()) {
    PlaceGuaranteed(cell_match::kLarger);
    Compact();
  }
  return std::move(plan_);
}

void planner::impl::RepairGuarantees() {
  if (!are_promises_stale_) {
    return;
  }
  are_promises_stale_ = false;
  are_reserved_promises_stale_ = true;
  int unbound = cells_.Repair();
  if (unbound > 0 && !reservations_.empty()) {
    while (!reservations_.empty()) {
      DropReservation(0);
    }
    unbound = cells_.Repair();
  }
  if (unbound > 0) {
    counters_.Add(kCellsUnbound, static_cast<std::uint64_t>(unbound));
  }
}

void planner::impl::RepeatStops() {
  for (const int job : unconfirmed_stops_) {
    job_entry& entry = jobs_[job];
    if (now_ - entry.stop_asked < kStopRepeatInterval) {
      continue;
    }
    entry.stop_asked = now_;
    counters_.Add(kStopRepeated);
    plan_.stops.push_back(
        {entry.job.id, entry.beneficiary, Victims().CanCheckpoint(job)});
  }
}

// Returns the resources free for the claim of `job`. Earlier claims are
// deducted, later ones are not.
resources planner::impl::FreeForClaim(int job, int worker) const {
  const worker_state& state = workers_[worker];
  resources left = state.capacity;
  left -= state.held;
  for (const int other : state.occupants) {
    const job_entry& entry = jobs_[other];
    const bool has_claim = entry.claiming || entry.MovesTo(worker);
    if (has_claim && entry.claim_order < jobs_[job].claim_order) {
      left -= entry.need;
    }
  }
  return left;
}

void planner::impl::FinishClaims() {
  const std::set<int> claiming = claiming_;
  for (const int job : claiming) {
    job_entry& entry = jobs_[job];
    const bool is_covered = std::all_of(
        entry.workers.begin(), entry.workers.end(), [&](int worker) {
          // Whether no amount is negative.
          return workers_[worker].FreeAfterStops().Holds({});
        });
    if (!is_covered) {
      DropClaim(job);  // A victim was not stopped.
      continue;
    }
    const bool free = std::all_of(
        entry.workers.begin(), entry.workers.end(), [&](int worker) {
          return workers_[worker].is_usable &&
                 FreeForClaim(job, worker).Holds(entry.need);
        });
    if (!free) {
      continue;
    }
    for (const int worker : entry.workers) {
      workers_.Unclaim(worker, job, entry.need);
    }
    entry.claiming = false;
    claiming_.erase(job);
    Start(job);
  }
}

void planner::impl::UpdateShareUse() {
  double shares = 0;
  double used = 0;
  for (const team_state& team : teams_) {
    shares += team.share;
    used += static_cast<double>(team.accelerators);
  }
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const double part = teams_[i].share / std::max(shares, 1.0);
    const double held = static_cast<double>(teams_[i].accelerators);
    share_use_[i] = used > 0 ? held / used / part : 0;
  }
}

planner::impl::queue_rank planner::impl::RankOf(const bucket_key& key,
                                                const bucket& waiting) const {
  queue_rank rank;
  rank.key = key;
  rank.order = waiting.begin()->first;
  if (!IsBaseline()) {
    const team_state& team = teams_[static_cast<std::size_t>(key.team)];
    rank.urgency = static_cast<int>(key.class_object->urgency_level);
    rank.share_use = static_cast<double>(team.accelerators) / team.share;
  }
  return rank;
}

std::vector<planner::impl::queue_rank> planner::impl::RankedBuckets() const {
  std::vector<queue_rank> ranked;
  for (const auto& [key, waiting] : jobs_.Buckets()) {
    ranked.push_back(RankOf(key, waiting));
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked;
}

const bucket* planner::impl::FindBucket(const bucket_key& key) const {
  const auto it = jobs_.Buckets().find(key);
  return it == jobs_.Buckets().end() ? nullptr : &it->second;
}

// Tries to start the first job of each bucket, lowest rank first, until none
// can start.
void planner::impl::PlaceOutsideGuarantees() {
  std::vector<queue_rank> first = RankedBuckets();
  std::priority_queue<queue_rank, std::vector<queue_rank>, std::greater<>>
      queue(std::greater<>(), std::move(first));
  std::set<failed_search> failed;
  std::vector<int> blocked;
  while (!queue.empty() && starts_left_ > 0) {
    const queue_rank rank = queue.top();
    queue.pop();
    const bucket* waiting = FindBucket(rank.key);
    if (waiting == nullptr) {
      continue;
    }
    const queue_rank current = RankOf(rank.key, *waiting);
    if (rank < current) {
      queue.push(current);
      continue;
    }
    const int job = waiting->begin()->second;
    const job_entry& entry = jobs_[job];
    const failed_search search{entry.wanted, TermsOutsideGuarantee(entry),
                               AllowedReservations(job)};
    if (!failed.contains(search) && StartOutsideGuarantee(job)) {
      waiting = FindBucket(rank.key);
      if (waiting != nullptr) {
        queue.push(RankOf(rank.key, *waiting));
      }
      continue;
    }
    failed.insert(search);
    blocked.push_back(job);
    if (policy_ == planner_policy::kFirstFit) {
      return;
    }
    if (policy_ == planner_policy::kBestFit && blocked.size() == 1) {
      UpdateReservations(blocked);
    }
  }
  if (!IsBaseline()) {
    UpdateReservations(blocked);
    EvictForReservations();
  }
}

// Whether a firm job must wait: while a guarantee cell is unbound, and while
// guarantee cells block the reservation of another gang, because the job would
// take capacity that those cells could move to.
bool planner::impl::IsFirmWorkBlocked(int job) const {
  return cells_.Unbound() > 0 ||
         std::any_of(reservations_.begin(), reservations_.end(),
                     [&](const reservation& item) {
                       return item.is_blocked_by_cells && item.job != job;
                     });
}

// Starts a job if it fits without a stop.
bool planner::impl::StartOutsideGuarantee(int job) {
  const job_entry& entry = jobs_[job];
  const resources& need = entry.wanted->per_worker;
  const hold_terms terms = TermsOutsideGuarantee(entry);
  if (terms == hold_terms::kFirm && IsFirmWorkBlocked(job)) {
    return false;
  }
  const std::uint64_t allowed = AllowedReservations(job);
  const auto is_free = [&](int worker) {
    return workers_[worker].Free().Holds(need) &&
           (reserved_on_[static_cast<std::size_t>(worker)] & ~allowed) == 0;
  };
  // Firm jobs are placed near other jobs that cannot be moved, so that the free
  // capacity elsewhere stays contiguous.
  const bool should_cluster = terms == hold_terms::kFirm && !IsBaseline();
  const auto free_cost = [&](int worker) -> std::optional<double> {
    if (!is_free(worker)) {
      return std::nullopt;
    }
    return should_cluster ? 1 - workers_.ImmovableShare(worker, need) : 0;
  };
  const group_order order = policy_ == planner_policy::kFirstFit
                                ? group_order::kFirst
                                : group_order::kTightest;
  auto group = FindGroup(workers_, entry.wanted->level, entry.wanted->workers,
                         order, free_cost);
  if (!group) {
    return false;
  }
  if (PlaceOutsideGuaranteeOn(job, group->workers, {})) {
    return true;
  }
  // The cells on the best-fit group cannot move: use only unpromised capacity.
  const auto unpromised_cost = [&](int worker) -> std::optional<double> {
    return workers_[worker].Unpromised().Holds(need) ? free_cost(worker)
                                                     : std::nullopt;
  };
  group = FindGroup(workers_, entry.wanted->level, entry.wanted->workers, order,
                    unpromised_cost);
  return group && PlaceOutsideGuaranteeOn(job, group->workers, {});
}

bool planner::impl::PlaceOutsideGuaranteeOn(int job,
                                            const std::vector<int>& workers,
                                            const eviction_rule& rule) {
  job_entry& entry = jobs_[job];
  const hold_terms terms = TermsOutsideGuarantee(entry);
  for (reservation& item : reservations_) {
    if (item.job == job) {
      RevokeReservedPromises(item);
    }
  }
  if (terms == hold_terms::kFirm &&
      !cells_.Displace(workers, entry.wanted->per_worker)) {
    return false;
  }
  jobs_.Dequeue(job);
  entry.terms = terms;
  entry.workers = workers;
  entry.need = entry.wanted->per_worker;
  StartOrClaim(job, rule);
  return true;
}

// Starts a job on its chosen workers, or claims them and stops the jobs that
// occupy them.
void planner::impl::StartOrClaim(int job, const eviction_rule& rule) {
  job_entry& entry = jobs_[job];
  const bool free = std::all_of(
      entry.workers.begin(), entry.workers.end(),
      [&](int worker) { return workers_[worker].Free().Holds(entry.need); });
  if (free) {
    Start(job);
    return;
  }
  const std::vector<int> victims =
      Victims().Choose(entry.workers, entry.need, rule);
  for (const int victim : victims) {
    StopVictim(victim, job);
  }
  for (const int worker : entry.workers) {
    workers_.Claim(worker, job, entry.need);
  }
  entry.claiming = true;
  entry.claim_order = next_claim_++;
  claiming_.insert(job);
  for (const int worker : entry.workers) {
    // No amount is negative.
    CheckInvariant(workers_[worker].FreeAfterStops().Holds({}),
                   "claims_are_covered_by_stops");
  }
}

void planner::impl::StopVictim(int victim, int beneficiary) {
  job_entry& entry = jobs_[victim];
  CheckInvariant(entry.terms == hold_terms::kBorrowed,
                 "only_borrowed_work_gives_way");
  if (entry.claiming) {
    DropClaim(victim);
    return;
  }
  if (!entry.move_to.empty()) {
    DropMove(victim);
    return;
  }
  const bool should_checkpoint = Victims().CanCheckpoint(victim);
  ++entry.evictions;
  MarkStopping(victim, true);
  entry.stop_asked = now_;
  entry.beneficiary = jobs_[beneficiary].job.id;
  unconfirmed_stops_.insert(victim);
  plan_.stops.push_back({entry.job.id, entry.beneficiary, should_checkpoint});
}

void planner::impl::Start(int job) {
  job_entry& entry = jobs_[job];
  entry.phase = job_phase::kStarting;
  entry.started = now_;
  entry.worker_names.clear();
  for (const int worker : entry.workers) {
    const worker_state& state = workers_[worker];
    CheckInvariant(state.is_usable && Unheld(state).Holds(entry.need),
                   "placement_within_free_capacity");
    entry.worker_names.push_back(state.id);
  }
  HoldWorkers(job);
  --starts_left_;
  const bool is_borrowed = entry.terms == hold_terms::kBorrowed;
  const bool is_guaranteed = entry.terms == hold_terms::kGuaranteed;
  counters_.Add(is_borrowed     ? kStartBorrowed
                : is_guaranteed ? kStartGuaranteed
                                : kStartFirm);
  plan_.starts.push_back({entry.job.id, entry.worker_names, is_borrowed});
}

}  // namespace sassafras

#include <algorithm>
#include <utility>

#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

// Maximum number of reservations at a time: one, plus one for each
// kRacksPerReservation racks, limited by the bits of a reservation mask.
constexpr int kRacksPerReservation = 2;
constexpr std::size_t kMaxReservations = 64;
// Interval between two plannings of the reservations.
constexpr duration kPlanningPeriod = std::chrono::seconds(10);
// A gang evicts others if that costs less than this share of its accelerators
// multiplied by the time for which it has waited.
constexpr double kMaxMoveCostShare = 0.05;

constexpr std::string_view kMoves = "plan_moved_for_gang";

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

duration planner::impl::ExpectedRun(const job_entry& entry) const {
  return IsBaseline()
             ? entry.job.declared_run
             : estimates_.UpperEstimate(entry.job.team, entry.job.job_class,
                                        entry.job.declared_run);
}

// A job that has exceeded its estimate by some time is expected to run for the
// same time again, plus one second.
instant planner::impl::ExpectedEnd(int job) const {
  const job_entry& entry = jobs_[job];
  const instant end = entry.started + ExpectedRun(entry);
  return end > now_ ? end : now_ + (now_ - end) + std::chrono::seconds(1);
}

void planner::impl::DropReservation(std::size_t at) {
  RevokeReservedPromises(reservations_[at]);
  reservations_.erase(reservations_.begin() + static_cast<std::ptrdiff_t>(at));
}

bool planner::impl::HasReservation(int job) const {
  return std::any_of(
      reservations_.begin(), reservations_.end(),
      [job](const reservation& item) { return item.job == job; });
}

void planner::impl::DropReservationOf(int job) {
  for (std::size_t i = reservations_.size(); i-- > 0;) {
    if (reservations_[i].job == job) {
      DropReservation(i);
    }
  }
}

// Promises reserved workers to firm gangs. When firm jobs leave these workers,
// the unused cells on them are moved elsewhere and cannot return.
void planner::impl::PromiseReservedWorkers() {
  if (!are_reserved_promises_stale_) {
    return;
  }
  are_reserved_promises_stale_ = false;
  for (reservation& item : reservations_) {
    const job_entry& entry = jobs_[item.job];
    if (IsBaseline() || TermsOutsideGuarantee(entry) != hold_terms::kFirm) {
      continue;
    }
    item.is_blocked_by_cells = false;
    for (const int worker : item.workers) {
      const bool is_promised =
          std::find(item.promised.begin(), item.promised.end(), worker) !=
          item.promised.end();
      if (is_promised) {
        continue;
      }
      if (cells_.Displace({worker}, entry.wanted->per_worker)) {
        item.promised.push_back(worker);
      } else if (workers_[worker].Free().Holds(entry.wanted->per_worker)) {
        item.is_blocked_by_cells = true;
      }
    }
  }
}

void planner::impl::RevokeReservedPromises(reservation& item) {
  for (const int worker : item.promised) {
    workers_[worker].promised -= jobs_[item.job].wanted->per_worker;
  }
  item.promised.clear();
}

// Updates the reservation mask of each worker. Drops reservations of jobs that
// hold or claim workers.
void planner::impl::IndexReservations() {
  for (std::size_t i = reservations_.size(); i-- > 0;) {
    if (jobs_[reservations_[i].job].terms != hold_terms::kNone) {
      DropReservation(i);
    }
  }
  reserved_on_.assign(static_cast<std::size_t>(workers_.size()), 0);
  for (std::size_t i = 0; i < reservations_.size(); ++i) {
    for (const int worker : reservations_[i].workers) {
      reserved_on_[static_cast<std::size_t>(worker)] |= std::uint64_t{1} << i;
    }
  }
}

// Returns the mask of reservations whose workers a job can use: its own, those
// whose gang cannot start before the job ends, and those whose larger gang can
// evict it with a checkpoint.
std::uint64_t planner::impl::AllowedReservations(int job) const {
  const job_entry& entry = jobs_[job];
  std::uint64_t allowed = 0;
  for (std::size_t i = 0; i < reservations_.size(); ++i) {
    const reservation& item = reservations_[i];
    const bool ends_in_time = now_ + ExpectedRun(entry) <= item.ready;
    const bool is_movable =
        TermsOutsideGuarantee(entry) == hold_terms::kBorrowed &&
        Victims().CanCheckpoint(job) &&
        entry.wanted->TotalAccelerators() <
            jobs_[item.job].wanted->TotalAccelerators();
    if (item.job == job || ends_in_time || is_movable) {
      allowed |= std::uint64_t{1} << i;
    }
  }
  return allowed;
}

// Starts gangs on their reserved workers before any other job is placed.
void planner::impl::StartReserved() {
  const std::vector<reservation> reserved = reservations_;
  for (const reservation& item : reserved) {
    if (jobs_[item.job].terms == hold_terms::kNone && starts_left_ > 0) {
      StartOutsideGuarantee(item.job);
    }
  }
}

void planner::impl::UpdateReservations(const std::vector<int>& blocked) {
  if (!IsBaseline() && now_ - last_reservation_planning_ < kPlanningPeriod) {
    return;
  }
  last_reservation_planning_ = now_;
  std::vector<std::pair<arrival, int>> order;
  for (const int job : blocked) {
    if (IsBaseline() || jobs_[job].wanted->workers > 1) {
      order.emplace_back(jobs_[job].order, job);
    }
  }
  std::sort(order.begin(), order.end());
  const std::size_t racks = workers_.Racks().size();
  const std::size_t max_reservations =
      IsBaseline()
          ? 1
          : std::min(kMaxReservations, 1 + racks / kRacksPerReservation);
  const victim_search victims = Victims();
  const expected_end end = [this](int job) { return ExpectedEnd(job); };
  const reservation_input input{workers_, jobs_,         victims,
                                end,      !IsBaseline(), now_};
  RefreshReservations(input);
  for (const auto& [arrived, job] : order) {
    if (reservations_.size() >= max_reservations) {
      break;
    }
    if (HasReservation(job)) {
      continue;
    }
    if (auto found = PlanReservation(input, job, reservations_)) {
      reservations_.push_back(std::move(*found));
    }
  }
  are_reserved_promises_stale_ = true;
  PromiseReservedWorkers();
  IndexReservations();
}

// Keeps the reservation of a gang while its workers are usable, so that drained
// workers are not lost. The ready time is never raised, so that a job that
// exceeds its estimate does not let other jobs use the workers.
void planner::impl::RefreshReservations(const reservation_input& input) {
  for (std::size_t i = reservations_.size(); i-- > 0;) {
    const std::optional<instant> ready = ReadyTime(input, reservations_[i]);
    if (ready && !IsBaseline()) {
      reservations_[i].ready = std::min(reservations_[i].ready, *ready);
    } else {
      DropReservation(i);
    }
  }
}

void planner::impl::EvictForReservations() {
  for (const reservation& item : reservations_) {
    if (jobs_[item.job].terms == hold_terms::kNone && starts_left_ > 0) {
      EvictForGang(item.job);
    }
  }
}

// Evicts smaller borrowed jobs for a gang if the cost is within its budget,
// which grows with the time that it has waited.
bool planner::impl::EvictForGang(int job) {
  const job_entry& entry = jobs_[job];
  const shape& wanted = *entry.wanted;
  const hold_terms terms = TermsOutsideGuarantee(entry);
  if (terms == hold_terms::kFirm && IsFirmWorkBlocked(job)) {
    return false;
  }
  const eviction_rule rule{false, job, wanted.TotalAccelerators()};
  const victim_search victims = Victims();
  const auto cost = [&](int worker) {
    return victims.Cost(worker, wanted.per_worker, rule);
  };
  const auto group = FindGroup(workers_, wanted.level, wanted.workers,
                               group_order::kTightest, cost);
  const double budget = kMaxMoveCostShare *
                        Seconds(now_ - entry.job.submitted) *
                        wanted.TotalAccelerators();
  if (!group || group->cost > budget) {
    return false;
  }
  counters_.Add(kMoves);
  return PlaceOutsideGuaranteeOn(job, group->workers, rule);
}

}  // namespace sassafras

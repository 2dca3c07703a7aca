#include <algorithm>
#include <utility>

#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

// Gangs that may drain workers at the same time: one, and one more for each of
// this many racks. At most as many as a reservation mask has bits.
constexpr int kRacksPerReservation = 2;
constexpr std::size_t kMaxReservations = 64;
// Reservations are planned anew after this time.
constexpr duration kPlanningPeriod = std::chrono::seconds(10);
// A gang moves others when that costs less than this part of the accelerator
// time for which it has waited.
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

// A job that outran its estimate is expected to run for as long again as it is
// late.
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

// Keeps room for firm gangs: as firm work leaves their workers, the unused
// cells move elsewhere and do not come back.
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

// Notes on each worker which reservations it is part of.
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

// A job may use workers that drain for another if it ends before that one can
// start, or can be moved out of its way.
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

// The gangs for which workers drain get them before anyone else.
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

// A gang keeps its workers while they are usable, so that what was drained is
// not given up again. Jobs that outrun their estimates do not let others in.
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

// Moves smaller borrowed work out of a gang's way if that costs less than it
// frees.
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

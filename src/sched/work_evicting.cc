#include <algorithm>
#include <chrono>
#include <optional>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// A claim whose evicted runs do not end is given up after it.
constexpr duration kClaimTimeout = std::chrono::milliseconds(1500);
// A pause before a given-up claim is placed anew.
constexpr duration kClaimPause = std::chrono::milliseconds(100);
// From the decision to stop borrowers until all tasks have begun, beside the
// stop itself: two answers of a slow store, the orders and a look.
constexpr duration kReclaimSlack = std::chrono::milliseconds(1100);
// Accelerators weigh in lost work like so many cores, as the users price them.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMillicores = 1000;
// Work after the last checkpoint, at most, when a step saves progress.
constexpr duration kCheckpointLoss = std::chrono::seconds(1);
constexpr std::size_t kMaxEvictionsPerMinion = 64;
// A persistent task that has started up states this progress.
constexpr int kAtWorkPercent = 100;

}  // namespace

// Work in core-seconds that stopping the unit now would throw away.
double work_core::impl::LossOf(instant now,
                               const job_entry& job,
                               const work_unit& unit) const {
  const step_spec& step = job.job.spec.steps.at(unit.step);
  duration ran{0};
  for (const unit_member& member : unit.members) {
    if (member.phase == member_phase::kRunning) {
      ran = std::max(ran, now - member.confirmed_at);
    }
  }
  if (step.saves_progress) {
    ran = std::min(ran, kCheckpointLoss);
  }
  const double cores =
      static_cast<double>(step.needs.millicores) / kMillicores +
      static_cast<double>(step.needs.accelerators) * kCoresPerAccelerator;
  return std::chrono::duration<double>(ran).count() * cores * unit.width;
}

// Accelerators that each team's urgent units hold.
void work_core::impl::CountUrgentUse() {
  urgent_use_.clear();
  for (const auto& [id, job] : open_jobs_) {
    if (job->job.priority != 0 || !job->HoldsRoom()) {
      continue;
    }
    for (const work_unit& unit : job->units) {
      const bool holds = unit.phase == unit_phase::kClaimed ||
                         unit.phase == unit_phase::kRecorded ||
                         unit.phase == unit_phase::kActive;
      urgent_use_[job->job.team] += holds ? AcceleratorsOf(*job, unit) : 0;
    }
  }
}

std::int64_t work_core::impl::AcceleratorsOf(const job_entry& job,
                                             const work_unit& unit) {
  return job.job.spec.steps.at(unit.step).needs.accelerators * unit.width;
}

std::int64_t work_core::impl::GuaranteeOf(const std::string& team) const {
  if (!config_) {
    return 0;
  }
  const auto it = config_->teams.find(team);
  return it == config_->teams.end() ? 0 : it->second.guaranteed_accelerators;
}

// Whether the unit's team may claim room for it from teams that hold more than
// they were promised.
bool work_core::impl::IsWithinGuarantee(const job_entry& job,
                                        const work_unit& unit) const {
  const auto used = urgent_use_.find(job.job.team);
  return job.job.priority == 0 &&
         (used == urgent_use_.end() ? 0 : used->second) +
                 AcceleratorsOf(job, unit) <=
             GuaranteeOf(job.job.team);
}

// Stopping urgent runs makes their callers late: room may become free without
// it for as long as the bound on guaranteed jobs allows.
bool work_core::impl::MayTakeBorrowed(instant now,
                                      const job_entry& job,
                                      const work_unit& unit) const {
  const duration patience =
      options_.reclaim_time - options_.stop_time - kReclaimSlack;
  return now - job.seen_at >= patience && IsWithinGuarantee(job, unit);
}

// Less urgent runs give way to urgent ones; urgent runs of a team that holds
// more than it was promised give way to a team that claims its guarantee.
bool work_core::impl::GivesWay(instant now,
                               const eviction_claim& claim,
                               const job_entry& job,
                               const work_unit& unit) const {
  if (unit.phase == unit_phase::kWaiting || unit.phase == unit_phase::kDone) {
    return false;
  }
  bool is_borrowed = false;
  if (claim.takes_borrowed && job.job.priority == claim.priority &&
      job.job.team != claim.team) {
    const auto used = urgent_use_.find(job.job.team);
    is_borrowed =
        used != urgent_use_.end() && used->second > GuaranteeOf(job.job.team);
  }
  return (job.job.priority > claim.priority || is_borrowed) &&
         MayStop(now, job, unit);
}

// Room of runs that give way may be taken; room of runs that stop already
// costs nothing more.
void work_core::impl::AddEvictable(instant now,
                                   const eviction_claim& claim,
                                   std::vector<minion_view>& views) {
  std::map<std::string, minion_view*> by_id;
  for (minion_view& view : views) {
    view.evictable = {};
    view.evict_cost = 0;
    by_id[view.id] = &view;
  }
  for (auto& [id, job] : open_jobs_) {
    if (!job->HoldsRoom()) {
      continue;
    }
    for (work_unit& unit : job->units) {
      const bool is_closing = unit.phase == unit_phase::kClosing;
      if (!is_closing && !GivesWay(now, claim, *job, unit)) {
        continue;
      }
      const double loss = is_closing ? 0 : LossOf(now, *job, unit);
      const room needs = job->job.spec.steps.at(unit.step).Reserved();
      for (const unit_member& member : unit.members) {
        const auto it = by_id.find(member.life.id);
        if (member.phase != member_phase::kOver && it != by_id.end()) {
          it->second->evictable += needs;
          it->second->evict_cost += loss;
        }
      }
    }
  }
}

// Whether an order of ours may end the unit's run: of a persistent step only
// so many tasks may be away at once.
bool work_core::impl::MayStop(instant /*now*/,
                              const job_entry& job,
                              const work_unit& unit) const {
  const step_spec& step = job.job.spec.steps.at(unit.step);
  if (!step.is_persistent) {
    return true;
  }
  int away = 0;
  for (const work_unit& other : job.units) {
    if (&other == &unit || other.step != unit.step ||
        other.occurrence != unit.occurrence) {
      continue;
    }
    const bool is_at_work =
        other.phase == unit_phase::kActive &&
        std::all_of(other.members.begin(), other.members.end(),
                    [](const unit_member& member) {
                      return member.phase == member_phase::kRunning &&
                             member.percent == kAtWorkPercent;
                    });
    away += is_at_work ? 0 : other.width;
  }
  return away + unit.width <= step.may_miss;
}

// Stops the least urgent runs with the least loss until the claimed room will
// be free.
void work_core::impl::Evict(instant now,
                            const eviction_claim& claim,
                            const job_entry& job,
                            const work_unit& unit) {
  struct victim {
    member_ref ref;
    double loss = 0;
  };
  for (const unit_member& member : unit.members) {
    minion_entry& minion = MinionOf(member.life.id);
    for (std::size_t round = 0; round < kMaxEvictionsPerMinion; ++round) {
      room staying = minion.used;
      std::optional<victim> best;
      for (const auto& [run, ref] : minion.members) {
        if (ref.unit->phase == unit_phase::kClosing) {
          staying -= ref.Step().Reserved();
          continue;
        }
        if (!GivesWay(now, claim, *ref.job, *ref.unit)) {
          continue;
        }
        const victim candidate{ref, LossOf(now, *ref.job, *ref.unit)};
        const auto rank = [](const victim& item) {
          return std::pair(-item.ref.job->job.priority, item.loss);
        };
        if (!best || rank(candidate) < rank(*best)) {
          best = candidate;
        }
      }
      if (minion.report.capacity.Holds(staying) || !best) {
        break;
      }
      counters_.Add("sched_evictions");
      if (best->ref.job->job.priority == 0) {
        counters_.Add("sched_guarantees_reclaimed");
        urgent_use_[best->ref.job->job.team] -=
            AcceleratorsOf(*best->ref.job, *best->ref.unit);
      }
      CloseUnit(now, *best->ref.job, *best->ref.unit,
                "evicted for " + job.job.id);
    }
  }
}

// A claim becomes a run once what it was given has become free.
void work_core::impl::CheckClaims(instant now) {
  for (auto& [id, job] : open_jobs_) {
    if (job->IsEnded() || job->CountOf(unit_phase::kClaimed) == 0) {
      continue;
    }
    for (work_unit& unit : job->units) {
      if (unit.phase != unit_phase::kClaimed) {
        continue;
      }
      const bool is_free =
          std::all_of(unit.members.begin(), unit.members.end(),
                      [&](const unit_member& member) {
                        const minion_entry& minion = MinionOf(member.life.id);
                        return minion.report.capacity.Holds(minion.used);
                      });
      if (is_free) {
        Record(*job, unit);
      } else if (now - unit.claimed_at > kClaimTimeout) {
        counters_.Add("sched_claims_given_up");
        unit.not_before = now + kClaimPause;
        CloseUnit(now, *job, unit, "claimed room did not become free");
      }
    }
  }
}

}  // namespace sassafras::sched

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Time after which a claim is released if its evicted runs have not ended.
constexpr duration kClaimTimeout = std::chrono::milliseconds(1500);
// Delay before the unit of a released claim is placed again.
constexpr duration kClaimRetryDelay = std::chrono::milliseconds(100);
// Time from the decision to evict borrowers until all tasks have started,
// beside the stop itself: two answers of a slow store, the orders and a poll.
constexpr duration kReclaimMargin = std::chrono::milliseconds(1100);
// Weight of an accelerator in lost work, in cores, as the users price it.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMillicores = 1000;
constexpr std::size_t kMaxEvictionsPerMinion = 64;
// Progress that a persistent task reports once it has started up.
constexpr int kReadyPercent = 100;
// Time for which an evicted gang waits again, in which the capacity that is
// gathered for it does nothing.
constexpr duration kGangStandstill = std::chrono::milliseconds(500);

// Cores of one task, with its accelerators as the cores that they count for.
double CoresOf(const step_spec& step) {
  return static_cast<double>(step.needs.millicores) / kMillicores +
         static_cast<double>(step.needs.accelerators) * kCoresPerAccelerator;
}

}  // namespace

// Returns the work in core-seconds that is lost if the unit is stopped now. For
// a step that writes checkpoints, the loss is bounded by the work since the
// last checkpoint plus the time to resume from it.
double work_core::impl::LossOf(instant now,
                               const job_entry& job,
                               work_unit& unit) const {
  if (unit.loss_at == now) {
    return unit.loss;
  }
  const step_spec& step = job.accepted.spec.steps.at(unit.step);
  duration run_time{0};
  for (const unit_member& member : unit.members) {
    if (member.phase == member_phase::kRunning) {
      run_time = std::max(run_time, now - member.confirmed_at);
    }
  }
  if (step.saves_progress) {
    run_time = std::min(run_time,
                        options_.checkpoint_interval + options_.restore_time);
  }
  unit.loss = std::chrono::duration<double>(run_time).count() * CoresOf(step) *
              unit.width;
  unit.loss_at = now;
  return unit.loss;
}

std::int64_t work_core::impl::AcceleratorsOf(const job_entry& job,
                                             const work_unit& unit) {
  return job.accepted.spec.steps.at(unit.step).needs.accelerators * unit.width;
}

std::int64_t work_core::impl::GuaranteeOf(const std::string& team) const {
  if (!config_) {
    return 0;
  }
  const auto it = config_->teams.find(team);
  return it == config_->teams.end() ? 0 : it->second.guaranteed_accelerators;
}

// Returns whether the unit fits in its team's guarantee, so that the team may
// claim capacity from teams that exceed theirs.
bool work_core::impl::IsWithinGuarantee(const job_entry& job,
                                        const work_unit& unit) const {
  const auto used = urgent_accelerators_.find(job.accepted.team);
  return job.accepted.priority == 0 &&
         (used == urgent_accelerators_.end() ? 0 : used->second) +
                 AcceleratorsOf(job, unit) <=
             GuaranteeOf(job.accepted.team);
}

// Evicting urgent runs delays their callers. A claim therefore waits for free
// capacity as long as the bound on the start of guaranteed jobs allows.
bool work_core::impl::CanTakeBorrowed(instant now,
                                      const job_entry& job,
                                      const work_unit& unit) const {
  const duration claim_delay =
      options_.reclaim_time - options_.stop_time - kReclaimMargin;
  return now - job.first_seen_at >= claim_delay && IsWithinGuarantee(job, unit);
}

// Less urgent runs may be evicted for more urgent ones. Urgent runs of a team
// that exceeds its guarantee may be evicted for a team that claims its own.
bool work_core::impl::IsEvictableFor(instant now,
                                     const eviction_claim& claim,
                                     const job_entry& job,
                                     const work_unit& unit) const {
  if (unit.phase == unit_phase::kWaiting || unit.phase == unit_phase::kDone) {
    return false;
  }
  bool is_borrowed = false;
  if (claim.can_take_borrowed && job.accepted.priority == claim.priority &&
      job.accepted.team != claim.team) {
    const auto used = urgent_accelerators_.find(job.accepted.team);
    is_borrowed = used != urgent_accelerators_.end() &&
                  used->second > GuaranteeOf(job.accepted.team);
  }
  return (job.accepted.priority > claim.priority || is_borrowed) &&
         CanStop(now, job, unit);
}

// Returns the work lost by the eviction of a run, and for a gang also the time
// that its tasks stand still until room for all of them is free at once.
// Without this a gang that has just started costs next to nothing, and is
// evicted again as soon as it has room.
double work_core::impl::EvictionCostOf(instant now,
                                       const job_entry& job,
                                       work_unit& unit) const {
  const double loss = LossOf(now, job, unit);
  if (!options_.policy.weigh_evictions || unit.width <= 1) {
    return loss;
  }
  const duration standstill =
      unit.was_gang_evicted ? 2 * kGangStandstill : kGangStandstill;
  return loss + std::chrono::duration<double>(standstill).count() *
                    CoresOf(job.accepted.spec.steps.at(unit.step)) * unit.width;
}

// Collects the runs that may be evicted for `claim`. Results for an equal claim
// at the same time are reused on minions that have not changed since.
void work_core::impl::CollectEvictable(instant now,
                                       const eviction_claim& claim,
                                       fleet_view& fleet) {
  eviction_claim comparable_claim = claim;
  if (!claim.can_take_borrowed) {
    comparable_claim.team.clear();  // Matters for borrowed accelerators only.
  }
  const auto key = std::tuple(now, &std::as_const(fleet), comparable_claim);
  const bool is_same = evictable_key_ == key;
  evictable_key_ = key;
  for (std::size_t index = 0; index < fleet.Minions().size(); ++index) {
    if (!is_same || !fleet.Minions()[index].is_evictable_current) {
      CollectEvictableOn(now, claim, fleet.MutableMinion(index));
    }
  }
}

// Collects the evictable runs of one minion in eviction order: by urgency, the
// least urgent first, then by loss. Runs that are already closing come first,
// at no loss.
void work_core::impl::CollectEvictableOn(instant now,
                                         const eviction_claim& claim,
                                         minion_view& view) {
  struct candidate {
    int rank = 0;
    evictable_run run;
  };
  view.evictable.clear();
  view.is_evictable_current = true;
  if (!view.is_usable) {
    return;
  }
  std::vector<candidate> candidates;
  for (const auto& [run, ref] : minions_.at(view.id).members) {
    const resource_amounts held = ref.Step().Reserved();
    if (ref.unit->phase == unit_phase::kClosing) {
      candidates.push_back({std::numeric_limits<int>::min(), {held, 0}});
    } else if (IsEvictableFor(now, claim, *ref.job, *ref.unit)) {
      candidates.push_back({-ref.job->accepted.priority,
                            {held, EvictionCostOf(now, *ref.job, *ref.unit)}});
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& left, const candidate& right) {
                     return std::pair(left.rank, left.run.loss) <
                            std::pair(right.rank, right.run.loss);
                   });
  for (const candidate& item : candidates) {
    view.evictable.push_back(item.run);
  }
}

// Returns whether the unit's run may be stopped: only `max_unavailable` tasks
// of a persistent step may be unavailable at the same time.
bool work_core::impl::CanStop(instant /*now*/,
                              const job_entry& job,
                              const work_unit& unit) const {
  const step_spec& step = job.accepted.spec.steps.at(unit.step);
  if (!step.is_persistent) {
    return true;
  }
  const std::size_t first = job.layout.FirstOf(unit.occurrence, unit.step);
  const std::size_t count = job.layout.UnitsOf(unit.step);
  // Units without an object do not run.
  int unavailable = static_cast<int>(count - 1) * unit.width;
  for (auto it = job.units.lower_bound(first);
       it != job.units.end() && it->first < first + count; ++it) {
    const work_unit& other = it->second;
    if (&other == &unit) {
      continue;
    }
    const bool is_ready =
        other.phase == unit_phase::kActive &&
        std::all_of(other.members.begin(), other.members.end(),
                    [](const unit_member& member) {
                      return member.phase == member_phase::kRunning &&
                             member.percent == kReadyPercent;
                    });
    unavailable -= is_ready ? other.width : 0;
  }
  return unavailable + unit.width <= step.max_unavailable;
}

// Stops runs, the least urgent first and of these the one with the least loss,
// until enough capacity for the claim will become free.
void work_core::impl::Evict(instant now,
                            const eviction_claim& claim,
                            const job_entry& job,
                            const work_unit& unit) {
  struct victim {
    member_ref ref;
    double loss = 0;
  };
  for (const unit_member& member : unit.members) {
    minion_entry& minion = MinionOf(member.incarnation.id);
    for (std::size_t round = 0; round < kMaxEvictionsPerMinion; ++round) {
      resource_amounts remaining_use = minion.used;
      std::optional<victim> best;
      for (const auto& [run, ref] : minion.members) {
        if (ref.unit->phase == unit_phase::kClosing) {
          remaining_use -= ref.Step().Reserved();
          continue;
        }
        if (!IsEvictableFor(now, claim, *ref.job, *ref.unit)) {
          continue;
        }
        const victim candidate{ref, EvictionCostOf(now, *ref.job, *ref.unit)};
        const auto rank = [](const victim& item) {
          return std::pair(-item.ref.job->accepted.priority, item.loss);
        };
        if (!best || rank(candidate) < rank(*best)) {
          best = candidate;
        }
      }
      if (minion.report.capacity.Holds(remaining_use) || !best) {
        break;
      }
      counters_.Add("sched_evictions");
      if (best->ref.unit->width > 1) {
        best->ref.unit->was_gang_evicted = true;
      }
      if (best->ref.job->accepted.priority == 0) {
        counters_.Add("sched_guarantees_reclaimed");
      }
      CloseRun(now, *best->ref.job, *best->ref.unit, close_cause::kEvicted,
               "for " + job.accepted.id);
    }
  }
}

void work_core::impl::ProcessClaims(instant now) {
  const std::vector<unit_ref> claimed(claimed_units_.begin(),
                                      claimed_units_.end());
  for (const unit_ref& ref : claimed) {
    const bool is_late = now - ref.unit->claimed_at > kClaimTimeout;
    if (ref.unit->phase != unit_phase::kClaimed || ref.job->IsEnded() ||
        RecordIfFree(ref) || !is_late) {
      continue;
    }
    counters_.Add("sched_claims_given_up");
    ref.unit->not_before = now + kClaimRetryDelay;
    CloseRun(now, *ref.job, *ref.unit, close_cause::kClaimExpired);
  }
}

// Records the run of a claimed unit if its capacity is free, and returns
// whether it is.
bool work_core::impl::RecordIfFree(const unit_ref& claimed) {
  const bool is_free = std::all_of(
      claimed.unit->members.begin(), claimed.unit->members.end(),
      [&](const unit_member& member) {
        const minion_entry& minion = MinionOf(member.incarnation.id);
        return minion.report.capacity.Holds(minion.used);
      });
  if (is_free) {
    RecordRun(*claimed.job, *claimed.unit);
  }
  return is_free;
}

}  // namespace sassafras::sched

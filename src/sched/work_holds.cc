#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Age up to which the expected releases of a minion are used again. Computing
// them goes through all of its runs.
constexpr duration kMaxReleasesAge = std::chrono::milliseconds(300);
// Age up to which it is taken for known whether room for large tasks is scarce.
constexpr duration kMaxScarcityAge = std::chrono::milliseconds(100);

hold_key KeyOfHold(const unit_ref& unit) {
  return {unit.job->accepted.id, unit.unit->occurrence, unit.unit->step};
}

}  // namespace

// Resets what is valid for one placement pass or a short time.
void work_core::impl::BeginPass(instant now) {
  if (now - scarce_large_tasks_at_ > kMaxScarcityAge) {
    scarce_large_tasks_.clear();
    scarce_large_tasks_at_ = now;
  }
  if (!options_.policy.hold_room_for_gangs) {
    return;
  }
  for (auto& [service, fleet] : fleets_) {
    holds_[service].BeginPass(now, fleet);
  }
}

// Reserves room for a gang that could not be placed. Units that come later in
// this pass leave it free. Urgent gangs evict what is in their way instead.
// Minions that a queue's policy names are not known in advance, so that its
// gangs get no reservation.
void work_core::impl::HoldRoomFor(instant now, const unit_ref& waiting) {
  const auto fleet = fleets_.find(ServiceOf(*waiting.job));
  if (!options_.policy.hold_room_for_gangs || fleet == fleets_.end() ||
      waiting.job->accepted.priority == 0 || waiting.unit->width <= 1 ||
      waiting.unit->is_suspect || NeedsAdvice(*waiting.job)) {
    return;
  }
  const step_spec& step = waiting.Step();
  const bool is_rack_bound = step.wants_one_rack || !step.data_rack.empty();
  const bool may_leave_rack =
      !is_rack_bound || CanSpreadOverRacks(now, waiting) ||
      !CouldFitInOneRack(fleet->first, fleet->second, waiting);
  const room_holds::outcome outcome = holds_[fleet->first].Hold(
      KeyOfHold(waiting), step, waiting.unit->width, may_leave_rack,
      [&](std::size_t index) -> const std::vector<expected_release>& {
        return ReleasesOn(now, fleet->second.Minions()[index].id);
      },
      fleet->second);
  if (outcome.minions > 0 && outcome.is_new) {
    counters_.Add("sched_room_holds");
    LogEvent("room_held", waiting.job->accepted.id,
             std::to_string(waiting.unit->step), "",
             "tasks " + std::to_string(waiting.unit->width) + " minions " +
                 std::to_string(outcome.minions) + " complete_in_ms " +
                 std::to_string((outcome.complete_at - now).count() / 1000));
  }
}

// Returns when resources of the minion are expected to become free, by the
// progress of its runs. Runs of persistent steps never end by themselves.
const std::vector<expected_release>& work_core::impl::ReleasesOn(
    instant now,
    const std::string& minion) {
  minion_entry& entry = minions_.at(minion);
  if (entry.releases_at != instant() &&
      now - entry.releases_at <= kMaxReleasesAge) {
    return entry.releases;
  }
  entry.releases_at = now;
  entry.releases.clear();
  for (const auto& [run, ref] : entry.members) {
    const bool is_ending =
        ref.unit->phase == unit_phase::kClosing || ref.unit->is_done;
    if (ref.Step().is_persistent && !is_ending) {
      continue;
    }
    const duration rest = is_ending ? options_.stop_time
                                    : RemainingTimeOf(now, *ref.job, *ref.unit);
    entry.releases.push_back({now + rest, ref.Step().Reserved()});
  }
  std::sort(entry.releases.begin(), entry.releases.end(),
            [](const expected_release& left, const expected_release& right) {
              return left.at < right.at;
            });
  return entry.releases;
}

// Returns when a task of the step that starts now will have ended, by its
// caller's estimate.
instant work_core::impl::ExpectedEnd(instant now, const step_spec& step) {
  const bool is_known = step.estimate > duration(0) && !step.is_persistent;
  return is_known ? now + step.estimate : instant::max();
}

// Whether the unit is expected to end before some gang needs its reservation.
bool work_core::impl::MayUseHeldRoom(instant now, const unit_ref& unit) const {
  if (!options_.policy.hold_room_for_gangs) {
    return false;
  }
  const auto fleet = fleets_.find(ServiceOf(*unit.job));
  return fleet != fleets_.end() && fleet->second.HeldCount() > 0 &&
         ExpectedEnd(now, unit.Step()) <= fleet->second.LatestHeldUntil();
}

// Returns the needs of the large tasks whose room a task of `step` should not
// take; nothing if room for them is not scarce, or if it is as large as they
// are.
std::optional<resource_amounts> work_core::impl::LargeTaskBeside(
    const std::string& service,
    const step_spec& step) {
  if (!options_.policy.keep_minions_whole) {
    return std::nullopt;
  }
  const auto [it, is_new] = scarce_large_tasks_.try_emplace(service);
  if (is_new) {
    it->second = large_tasks_[service].FindScarce(fleets_.at(service),
                                                  mean_capacities_[service]);
  }
  const bool is_smaller = it->second &&
                          it->second->Holds({step.Reserved().millicores,
                                             step.Reserved().memory_mb, 0}) &&
                          !step.Reserved().Holds({it->second->millicores,
                                                  it->second->memory_mb, 0});
  return is_smaller ? it->second : std::nullopt;
}

// Number of minions on which room is reserved for waiting gangs of the job.
int work_core::impl::CountHeldMinions(const job_entry& job) const {
  const auto holds = holds_.find(ServiceOf(job));
  if (holds == holds_.end()) {
    return 0;
  }
  int count = 0;
  for (auto position = job.waiting_units.NextFrom(0); position;
       position = job.waiting_units.NextFrom(*position + 1)) {
    const unit_place place = job.layout.PlaceOf(*position);
    const step_spec& step =
        job.accepted.spec.steps.at(static_cast<std::size_t>(place.step));
    count += step.is_gang && step.count > 1
                 ? holds->second.CountMinions(
                       {job.accepted.id, place.occurrence, place.step})
                 : 0;
  }
  return count;
}

}  // namespace sassafras::sched

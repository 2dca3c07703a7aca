#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

#include "sassafras/core/invariant.h"
#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Delay before an unanswered start is sent again: twice the duration of a usual
// call.
constexpr duration kStartResendInterval = std::chrono::milliseconds(50);
// Number of times one start is sent before its run is closed.
constexpr int kMaxStartAttempts = 3;
// Members of a gang that is done end by themselves. They are stopped only if
// their end is not listed within this time, which spans two regular polls.
constexpr duration kDoneStopDelay = std::chrono::seconds(3);
// Delay before a unit whose start was refused is placed again.
constexpr duration kRefusedStartDelay = std::chrono::milliseconds(200);

bool MayStillRun(const unit_member& member) {
  return member.phase != member_phase::kTerminated &&
         member.phase != member_phase::kPlanned;
}

close_cause CauseOf(run_end outcome) {
  switch (outcome) {
    case run_end::kDone:
      return close_cause::kDone;
    case run_end::kFailed:
      return close_cause::kFailed;
    default:
      return close_cause::kEndedOtherwise;
  }
}

std::string Describe(close_cause cause, std::string_view detail) {
  std::string text(GetInfo(cause).description);
  if (!detail.empty() && detail != text) {
    text += " ";
    text += detail;
  }
  return text;
}

// Formats how far the member's run is known to have come, for the log.
std::string DescribeMember(instant now, const unit_member& member) {
  const auto milliseconds_since = [now](instant at) {
    return std::to_string((now - at).count() / 1000);
  };
  std::string text = " starts_sent " + std::to_string(member.starts_sent);
  if (member.confirmed_at != instant()) {
    text += " confirmed_ms_ago " + milliseconds_since(member.confirmed_at);
  }
  if (member.was_listed) {
    text += " listed_ms_ago " + milliseconds_since(member.listed_at);
  }
  return text;
}

// Stops are sent to the member from `due` on.
void BeginStopping(unit_member& member, instant due) {
  member.phase = member_phase::kStopping;
  member.next_send = due;
  member.stopping_since = due;
}

// Keeps the newer of two checkpoints of one unit. The platform's checkpoints
// begin with the amount of work in fixed width, so that they compare as
// strings. Either is valid to resume from.
void KeepNewer(std::string& newest, const std::string& other) {
  if (other > newest) {
    newest = other;
  }
}

}  // namespace

run_key work_core::impl::KeyOf(const job_entry& job,
                               const work_unit& unit,
                               const unit_member& member) {
  return {{job.accepted.id, unit.occurrence, unit.step, member.index},
          unit.run};
}

member_ref work_core::impl::FindMember(const run_key& run,
                                       const std::string& minion) const {
  const auto owner = minions_.find(minion);
  if (owner == minions_.end()) {
    return {};
  }
  const auto it = owner->second.members.find(run);
  return it == owner->second.members.end() ? member_ref() : it->second;
}

void work_core::impl::AddToCounts(minion_entry& minion,
                                  const member_ref& ref,
                                  int delta) {
  const step_spec& step = ref.Step();
  minion.counts.urgent += ref.job->accepted.priority == 0 ? delta : 0;
  minion.counts.serving += step.tail_latency_target > duration(0) ? delta : 0;
  minion.counts.fillers += step.is_filler ? delta : 0;
  minion.counts.stop_acknowledged +=
      ref.member->is_stop_acknowledged ? delta : 0;
  AddToIsolated(minion, ref.unit->is_isolated ? delta : 0);
}

// Reserves capacity for the member until it is terminated.
void work_core::impl::AddMember(minion_entry& minion, const member_ref& ref) {
  minion.used += ref.Step().Reserved();
  AddToCounts(minion, ref, 1);
  minion.members.emplace(KeyOf(*ref.job, *ref.unit, *ref.member), ref);
  minion.releases_at = instant();
  MarkDirty(minion);
}

void work_core::impl::RemoveMember(minion_entry& minion,
                                   const member_ref& ref) {
  minion.used -= ref.Step().Reserved();
  AddToCounts(minion, ref, -1);
  minion.members.erase(KeyOf(*ref.job, *ref.unit, *ref.member));
  minion.releases_at = instant();
  MarkDirty(minion);
}

// Starts are sent only after the record that names the minions is durable.
void work_core::impl::EmitStarts(instant now) {
  const std::vector<unit_ref> recorded(recorded_units_.begin(),
                                       recorded_units_.end());
  for (const unit_ref& ref : recorded) {
    if (!ref.job->IsEnded() && ref.unit->phase == unit_phase::kRecorded &&
        ref.job->last_durable_change >= ref.unit->record_change) {
      StartUnit(now, *ref.job, *ref.unit);
    }
  }
  const std::vector<unit_ref> unconfirmed(unconfirmed_units_.begin(),
                                          unconfirmed_units_.end());
  for (const unit_ref& ref : unconfirmed) {
    if (!ResendStarts(now, ref)) {
      unconfirmed_units_.erase(ref);
    }
  }
}

// Returns whether a start may be sent to the minion again. It may have been
// executed already, so that only what forbids a start at all counts.
bool work_core::impl::MayStartOn(instant now,
                                 const minion_entry& minion) const {
  return MayStartAnything(now) && !minion.report.is_draining &&
         !evacuations_.Places().contains(minion.report.zone) &&
         minion.report.capacity.Holds(minion.used);
}

// Sends unanswered starts again, up to kMaxStartAttempts times in all; then the
// run is closed. Returns whether some starts are still unanswered.
bool work_core::impl::ResendStarts(instant now, const unit_ref& ref) {
  bool has_unanswered = false;
  if (ref.unit->phase != unit_phase::kActive) {
    return false;
  }
  for (unit_member& member : ref.unit->members) {
    if (member.phase != member_phase::kUnconfirmed) {
      continue;
    }
    if (member.is_order_in_flight || now < member.next_send) {
      has_unanswered = true;
    } else if (!MayStartOn(now, MinionOf(member.incarnation.id))) {
      counters_.Add("sched_start_dropped_minion_unfit");
      CloseRun(now, *ref.job, *ref.unit, close_cause::kMinionUnusable);
      return false;
    } else if (member.starts_sent < kMaxStartAttempts) {
      SendStart(now, *ref.job, *ref.unit, member);
    } else {
      AvoidMinion(now, MinionOf(member.incarnation.id),
                  "its starts were not answered");
      CloseRun(now, *ref.job, *ref.unit, close_cause::kUnanswered);
      return false;
    }
  }
  return has_unanswered;
}

// Starts all members or none: if one minion has become unusable since the
// placement, or has shrunk so that not all runs placed there fit, no start is
// sent.
void work_core::impl::StartUnit(instant now, job_entry& job, work_unit& unit) {
  for (const unit_member& member : unit.members) {
    const minion_entry& minion = MinionOf(member.incarnation.id);
    const bool is_same = minion.report.incarnation_unix_ms ==
                         member.incarnation.incarnation_unix_ms;
    const bool is_ticket_missing =
        NeedsAdvice(job) &&
        TicketOf(now, job, unit, member.incarnation).empty();
    const std::string_view health = HealthOf(now, minion);
    const bool is_fit =
        health == kUsable ||
        (health == kAvoided && unit_ref{&job, &unit}.Step().is_persistent) ||
        (health == kIsolating && unit.is_isolated);
    const bool has_room = minion.report.capacity.Holds(minion.used);
    if (!has_room) {
      counters_.Add("sched_start_dropped_capacity_shrunk");
    }
    if (!is_same || is_ticket_missing || !is_fit || !has_room ||
        !MayStartAnything(now)) {
      counters_.Add("sched_start_dropped_minion_unfit");
      CloseRun(now, job, unit, close_cause::kMinionUnusable);
      return;
    }
  }
  SetPhase(job, unit, unit_phase::kActive);
  for (unit_member& member : unit.members) {
    SendStart(now, job, unit, member);
  }
}

void work_core::impl::SendStart(instant now,
                                job_entry& job,
                                work_unit& unit,
                                unit_member& member) {
  minion_entry& minion = MinionOf(member.incarnation.id);
  ++member.starts_sent;
  member.phase = member_phase::kStarting;
  member.is_order_in_flight = true;
  actions_.starts.push_back({member.incarnation, KeyOf(job, unit, member),
                             job.accepted.spec.payload, unit.checkpoint,
                             GrantLease(now, minion), fence_,
                             TicketOf(now, job, unit, member.incarnation)});
}

void work_core::impl::HandleStartAnswer(instant now,
                                        const start_order& order,
                                        order_outcome outcome) {
  counters_.Add("sched_start_" + std::string(GetName(outcome)));
  const member_ref ref = FindMember(order.run, order.minion.id);
  if (outcome != order_outcome::kDone) {
    LogEvent("start_not_done", order.run.task.job, FormatRun(order.run),
             order.minion.id, std::string(GetName(outcome)));
  }
  if (outcome == order_outcome::kUnknown) {
    ExpectLateStart(now, order);
  }
  if (ref.member == nullptr ||
      !ref.member->incarnation.IsSameIncarnation(order.minion)) {
    return;
  }
  ref.member->is_order_in_flight = false;
  if (ref.member->phase != member_phase::kStarting) {
    return;  // It is being stopped; the answer no longer matters.
  }
  switch (outcome) {
    case order_outcome::kDone:
      ConfirmMember(now, ref);
      return;
    case order_outcome::kUnknown:
      ref.member->phase = member_phase::kUnconfirmed;
      unconfirmed_units_.insert({ref.job, ref.unit});
      ref.member->next_send = now + kStartResendInterval;
      return;
    case order_outcome::kInvalidTicket:
      advice_[{order.run.task.job, order.run.task.occurrence,
               order.run.task.step}]
          .tickets.erase(order.minion.id);
      break;
    case order_outcome::kNotSent:
    case order_outcome::kUnavailable:
    case order_outcome::kInsufficientResources:
      AvoidMinion(now, MinionOf(order.minion.id), GetName(outcome));
      break;
    default:
      break;
  }
  // An earlier copy of this start may still be executed.
  if (ref.member->starts_sent > 1) {
    BeginStopping(*ref.member, now);
    CloseRun(now, *ref.job, *ref.unit, close_cause::kRefused, GetName(outcome));
    return;
  }
  ref.unit->not_before = now + kRefusedStartDelay;
  HandleTerminatedMember(now, ref, close_cause::kRefused, GetName(outcome));
}

void work_core::impl::ConfirmMember(instant now, const member_ref& ref) {
  ref.member->phase = member_phase::kRunning;
  ref.member->confirmed_at = now;
  ref.member->progressed_at = now;
  if (!ref.unit->has_started) {
    ref.unit->has_started = true;
    UpdateState(now, *ref.job);
  }
}

// Ends the current run of the unit, which then is done or waits for its next
// run. Members whose start was not sent are terminated at once; stops are sent
// to the others until they are terminated.
void work_core::impl::CloseRun(instant now,
                               job_entry& job,
                               work_unit& unit,
                               close_cause cause,
                               std::string_view detail) {
  if (unit.phase == unit_phase::kWaiting || unit.phase == unit_phase::kDone) {
    return;
  }
  if (unit.phase != unit_phase::kClosing) {
    const double lost =
        cause == close_cause::kDone ? 0 : LossOf(now, job, unit);
    SetPhase(job, unit, unit_phase::kClosing);
    ReturnPlacedWork(now, job, unit, cause);
    const std::string name(GetInfo(cause).name);
    counters_.Add("sched_closed_" + name);
    counters_.Add("sched_lost_core_seconds_" + name,
                  static_cast<std::uint64_t>(std::llround(lost)));
    LogEvent("run_closed", job.accepted.id,
             std::to_string(unit.occurrence) + "." + std::to_string(unit.step) +
                 "." + std::to_string(unit.index) + "#" +
                 std::to_string(unit.run),
             "",
             Describe(cause, detail) + " priority " +
                 std::to_string(job.accepted.priority) + " width " +
                 std::to_string(unit.width) + " lost_core_s " +
                 std::to_string(std::llround(lost)),
             cause == close_cause::kDone && unit.width == 1);
  }
  const bool ends_by_itself = unit.is_done && unit.width > 1 &&
                              cause != close_cause::kCancelled &&
                              cause != close_cause::kDoneEarlier;
  const instant due = ends_by_itself ? now + kDoneStopDelay : now;
  for (unit_member& member : unit.members) {
    if (member.phase == member_phase::kPlanned) {
      ReleaseMember(job, unit, member);
    } else if (MayStillRun(member) &&
               (member.phase != member_phase::kStopping ||
                due < member.stopping_since)) {
      BeginStopping(member, due);
      MarkDirty(MinionOf(member.incarnation.id));
    }
  }
  FinishClosing(now, job, unit);
}

// Returns why the unit must have no run, or nothing if it may have one.
std::optional<close_cause> work_core::impl::CauseNotToRun(
    const job_entry& job,
    const work_unit& unit) {
  if (job.is_cancelled) {
    return close_cause::kCancelled;
  }
  if (unit.is_done || job.state == job_state::kComplete) {
    return close_cause::kDone;
  }
  if (job.state == job_state::kFailed) {
    return close_cause::kJobFailed;
  }
  return std::nullopt;
}

// Closes the runs of units that must have none. A job may have such runs when
// it ends, and when it is restored: its record names the members whose end the
// former owner did not know of.
void work_core::impl::CloseNeedlessRuns(instant now, job_entry& job) {
  for (auto& [position, unit] : job.units) {
    if (const auto cause = CauseNotToRun(job, unit)) {
      CloseRun(now, job, unit, *cause);
    }
  }
}

// Marks a member as terminated and releases its capacity.
void work_core::impl::ReleaseMember(job_entry& job,
                                    work_unit& unit,
                                    unit_member& member) {
  CheckInvariant(member.phase != member_phase::kTerminated, "member_ends_once");
  member.phase = member_phase::kTerminated;
  minion_entry& minion = MinionOf(member.incarnation.id);
  RemoveMember(minion, {&job, &unit, &member});
  CheckInvariant(minion.used.accelerators >= 0, "room_in_use_is_not_negative");
  should_place_ = true;
}

// Once all members of a closing run are terminated, the unit is done or waits
// for its next placement.
void work_core::impl::FinishClosing(instant now,
                                    job_entry& job,
                                    work_unit& unit) {
  if (unit.phase != unit_phase::kClosing) {
    return;
  }
  const bool is_terminated = std::all_of(
      unit.members.begin(), unit.members.end(), [](const unit_member& member) {
        return member.phase == member_phase::kTerminated;
      });
  if (!is_terminated) {
    return;
  }
  unit.members.clear();
  unit.is_isolated = false;
  unit.has_run_failed = false;
  SetPhase(job, unit, unit.is_done ? unit_phase::kDone : unit_phase::kWaiting);
  unit.waiting_since = now;
  should_place_ = true;
  MarkChanged(job);
}

// Terminates a member whose run is over without a listed end, and closes the
// run: its start was refused, its minion restarted or no longer lists the run,
// or its lease expired.
void work_core::impl::HandleTerminatedMember(instant now,
                                             const member_ref& ref,
                                             close_cause cause,
                                             std::string_view detail) {
  counters_.Add("sched_members_lost");
  counters_.Add("sched_members_lost_" + std::string(GetInfo(cause).name));
  LogEvent("member_over", ref.job->accepted.id,
           FormatRun(KeyOf(*ref.job, *ref.unit, *ref.member)),
           ref.member->incarnation.id,
           Describe(cause, detail) + DescribeMember(now, *ref.member));
  ReleaseMember(*ref.job, *ref.unit, *ref.member);
  CloseRun(now, *ref.job, *ref.unit, cause, detail);
}

// Returns whether an end of a run of the unit makes it done. It must be asked
// of every end: one that is not acknowledged yet is told to the next owner
// again, when its run may no longer be known. Tasks of a persistent step are
// started again however they end.
bool work_core::impl::CompletesUnit(const job_entry& job,
                                    const work_unit& unit,
                                    run_end how) {
  return how == run_end::kDone && !unit.is_done &&
         !job.accepted.spec.steps.at(unit.step).is_persistent;
}

void work_core::impl::HandleEnd(instant now,
                                minion_entry& minion,
                                const member_ref& ref,
                                const listed_end& end) {
  job_entry& job = *ref.job;
  work_unit& unit = *ref.unit;
  if (minion.trust.OnEnd(now, job.accepted.id, end.how) &&
      options_.policy.avoid_failing_minions) {
    AvoidMinion(now, minion,
                "runs of several jobs failed on it without a success");
  }
  KeepNewer(unit.checkpoint, end.checkpoint);
  unit.has_started = true;
  ReleaseMember(job, unit, *ref.member);
  if (CompletesUnit(job, unit, end.how)) {
    job.SetDone(unit);
    MarkChanged(job);
  } else if (end.how == run_end::kFailed) {
    unit.failed_on.insert(minion.report.id);
    CountFailure(now, job, unit);
  }
  CloseRun(now, job, unit, CauseOf(end.how), GetName(end.how));
  MarkChanged(job);
  UpdateState(now, job);
}

// Handles an end of a run that was considered terminated, by this owner or an
// earlier one. If it makes the unit done, a newer run of the unit is closed.
void work_core::impl::HandleLateEnd(instant now, const listed_end& end) {
  const auto it = jobs_.find(end.run.task.job);
  if (it == jobs_.end()) {
    return;
  }
  job_entry& job = it->second;
  work_unit* unit = FindUnit(job, end.run.task);
  if (unit == nullptr || unit->run < end.run.run ||
      !CompletesUnit(job, *unit, end.how)) {
    return;
  }
  counters_.Add("sched_late_done");
  LogEvent("late_done", job.accepted.id, FormatRun(end.run), "", "");
  job.SetDone(*unit);
  if (unit->phase == unit_phase::kWaiting) {
    SetPhase(job, *unit, unit_phase::kDone);
  }
  CloseRun(now, job, *unit,
           unit->run == end.run.run ? close_cause::kDone
                                    : close_cause::kDoneEarlier);
  MarkChanged(job);
  UpdateState(now, job);
}

// Returns the unit that the task belongs to; null if it has no object.
work_unit* work_core::impl::FindUnit(job_entry& job, const task_key& task) {
  const std::vector<step_spec>& steps = job.accepted.spec.steps;
  const auto step = static_cast<std::size_t>(task.step);
  const bool is_gang = step < steps.size() && steps[step].is_gang;
  const auto position =
      job.layout.Find({task.occurrence, task.step, is_gang ? 0 : task.index});
  return position ? job.FindUnit(*position) : nullptr;
}

// Counts a failed run of a unit once, also if several members of a gang are
// listed as failed.
void work_core::impl::CountFailure(instant now,
                                   job_entry& job,
                                   work_unit& unit) {
  if (unit.has_run_failed || unit.is_done) {
    return;
  }
  unit.has_run_failed = true;
  ++unit.failed_runs;
  MarkChanged(job);
  if (unit.failed_runs < job.accepted.max_attempts ||
      job.accepted.spec.steps.at(unit.step).is_persistent || job.IsEnded()) {
    return;
  }
  FailJob(now, job, unit, "failed runs: " + std::to_string(unit.failed_runs));
}

// Ends a job because one of its units has failed for good.
void work_core::impl::FailJob(instant now,
                              job_entry& job,
                              const work_unit& unit,
                              const std::string& reason) {
  job.state = job_state::kFailed;
  job.ended_at = now;
  MarkChanged(job);
  LogEvent("job_failed", job.accepted.id, std::to_string(unit.step), "",
           reason);
  CloseNeedlessRuns(now, job);
}

void work_core::impl::UpdateState(instant now, job_entry& job) {
  const job_state before = job.state;
  if (job.IsEnded()) {
    return;
  }
  const auto has_started = [](const auto& item) {
    return item.second.has_started;
  };
  if (job.done_units.Size() == job.layout.Size()) {
    job.state = job_state::kComplete;
  } else if (job.is_cancelled) {
    job.state = job_state::kCancelled;
  } else if (job.state == job_state::kQueued &&
             (!job.done_units.IsEmpty() ||
              std::any_of(job.units.begin(), job.units.end(), has_started))) {
    job.state = job_state::kRunning;
  }
  if (job.state == before) {
    return;
  }
  if (job.IsEnded()) {
    job.ended_at = now;
  }
  LogEvent("job_state", job.accepted.id, "", "",
           std::string(GetName(job.state)));
  MarkChanged(job);
}

// Stops are sent until they are acknowledged. After that, the run is terminated
// once the minion no longer lists it.
void work_core::impl::EmitStops(instant now) {
  for (const unit_ref& ref : closing_units_) {
    for (unit_member& member : ref.unit->members) {
      LogIfStopOverdue(now, {ref.job, ref.unit, &member});
      const bool is_due = member.phase == member_phase::kStopping &&
                          !member.is_stop_acknowledged &&
                          !member.incarnation.address.empty() &&
                          now >= member.next_send;
      if (!is_due) {
        continue;
      }
      member.next_send = now + kStopResendInterval;
      actions_.stops.push_back(
          {member.incarnation, KeyOf(*ref.job, *ref.unit, member), fence_});
    }
  }
  StopStrays(now);
}

// Logs, once, a run that outlives its stop.
void work_core::impl::LogIfStopOverdue(instant now, const member_ref& ref) {
  unit_member& member = *ref.member;
  if (member.phase != member_phase::kStopping || member.is_stop_overdue ||
      now < member.stopping_since + kOverdueStopTime) {
    return;
  }
  member.is_stop_overdue = true;
  counters_.Add("sched_stops_overdue");
  const minion_entry& minion = MinionOf(member.incarnation.id);
  LogEvent("stop_overdue", ref.job->accepted.id,
           FormatRun(KeyOf(*ref.job, *ref.unit, member)), minion.report.id,
           std::string(GetName(ref.job->state)) +
               (member.is_stop_acknowledged ? ", stop acknowledged"
                                            : ", stop not acknowledged") +
               (minion.is_responsive ? ", minion answers" : ", minion silent") +
               DescribeMember(now, member));
}

void work_core::impl::HandleStopAnswer(instant now,
                                       const stop_order& order,
                                       order_outcome outcome) {
  counters_.Add("sched_stop_" + std::string(GetName(outcome)));
  const bool is_acknowledged =
      outcome == order_outcome::kDone || outcome == order_outcome::kStaleRun;
  if (is_acknowledged) {
    HandleStrayStopped(now, order);
  }
  const member_ref ref = FindMember(order.run, order.minion.id);
  if (ref.member == nullptr || ref.member->phase != member_phase::kStopping ||
      !ref.member->incarnation.IsSameIncarnation(order.minion)) {
    return;
  }
  if (is_acknowledged) {
    if (!ref.member->is_stop_acknowledged) {
      ref.member->is_stop_acknowledged = true;
      minion_entry& minion = MinionOf(order.minion.id);
      ++minion.counts.stop_acknowledged;
      MarkDirty(minion);
    }
    ref.member->stop_acknowledged_at = now;
  }
}

}  // namespace sassafras::sched

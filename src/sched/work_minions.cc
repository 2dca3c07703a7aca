#include <algorithm>
#include <chrono>

#include "sassafras/core/invariant.h"
#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Wait of a long poll: a third of the shortest lease in use.
constexpr duration kPollWait = std::chrono::milliseconds(1500);
// Wait where fillers run beside serving tasks: the serving tasks' tail latency
// is read from the answers to polls and must be recent. The minion measures it
// over half a second.
constexpr duration kServingPollWait = std::chrono::milliseconds(400);
// Wait where urgent or isolated runs are present: urgent runs take seconds, so
// that a stalled one must be detected sooner, and an isolated run keeps others
// from its minion until it is known to have settled.
constexpr duration kUrgentPollWait = std::chrono::milliseconds(400);
// Wait where urgent runs are present while several minions hang.
constexpr duration kAlertPollWait = std::chrono::milliseconds(250);
// Delay before an unresponsive minion is polled again.
constexpr duration kUnresponsivePollInterval = std::chrono::milliseconds(300);
// Delay of the next poll while ends are not durable yet.
constexpr duration kPendingEndsPollInterval = std::chrono::milliseconds(500);
// Interval of extra polls for runs whose stop was acknowledged.
constexpr duration kExtraPollInterval = std::chrono::milliseconds(100);
// Part by which minions' clocks may be slow.
constexpr double kMaxClockLag = 0.02;
// Minions' clocks may be 2% slow; one more percent covers this process's clock
// and rounding.
constexpr double kClockRateTolerance = 1.03;
// Network and queueing delay, added to the longest lease.
constexpr duration kLeaseExpiryMargin = std::chrono::milliseconds(500);
// Longest time by which an answer can be overtaken: polls time out sooner.
constexpr std::int64_t kMaxOvertakenMs = 5000;
// An answer that lists this number of ends may be incomplete.
constexpr std::size_t kMaxListedEnds = 500;

// Whether a list of runs that the minion made later was handled already. A
// larger difference means that its clock began anew in a restart.
bool IsOvertaken(const minion_entry& minion, const poll_answer& answer) {
  const std::int64_t lead_ms = minion.list_clock_ms - answer.clock_ms;
  return lead_ms > 0 && lead_ms <= kMaxOvertakenMs;
}

}  // namespace

minion_entry& work_core::impl::MinionOf(const std::string& id) {
  minion_entry& minion = minions_[id];
  if (minion.report.id.empty()) {
    minion.report.id = id;
  }
  return minion;
}

minion_entry* work_core::impl::FindMinion(const std::string& id) {
  const auto it = minions_.find(id);
  return it == minions_.end() ? nullptr : &it->second;
}

void work_core::impl::HandleMinionList(
    instant now,
    const std::vector<minion_report>& minions) {
  for (auto& [id, minion] : minions_) {
    minion.is_listed = false;
    MarkDirty(minion);
  }
  for (const minion_report& report : minions) {
    minion_entry& minion = MinionOf(report.id);
    const std::int64_t known_incarnation = minion.report.incarnation_unix_ms;
    if (report.incarnation_unix_ms < known_incarnation) {
      counters_.Add("sched_report_of_earlier_life");
      continue;  // The list lags behind the minion's own answer.
    }
    const bool was_draining = minion.report.is_draining;
    const bool has_moved = minion.report.address != report.address;
    minion.report = report;
    minion.is_listed = true;
    if (report.incarnation_unix_ms != known_incarnation) {
      minion.report.incarnation_unix_ms = known_incarnation;
      BeginIncarnation(now, minion, report.incarnation_unix_ms,
                       was_draining || minion.is_cordoned);
    }
    if (report.is_draining && !was_draining) {
      minion.drain_deadline = now + report.drain_remaining;
      LogEvent("minion_draining", "", "", report.id, "");
    }
    for (auto& [run, ref] : minion.members) {
      if (has_moved) {
        ref.member->incarnation.address = report.address;
      }
    }
  }
  has_new_answers_ = true;
  RemoveDepartedMinions(now);
  RebuildViews(now);
  minion_list_read_at_ = now;
  should_place_ = true;
}

void work_core::impl::RemoveDepartedMinions(instant now) {
  for (auto it = minions_.begin(); it != minions_.end();) {
    minion_entry& minion = it->second;
    const bool is_gone = !minion.is_listed && !minion.is_responsive &&
                         minion.members.empty() && !minion.MayStartLate(now) &&
                         !minion.is_poll_in_flight &&
                         !minion.is_extra_poll_in_flight;
    if (is_gone) {
      LogEvent("minion_gone", "", "", it->first, "");
      ForgetMinion(minion);
      it = minions_.erase(it);
    } else {
      ++it;
    }
  }
}

// Handles a restart of the minion; `has_left` if it was to leave anyway, so
// that it has not crashed. Runs that the previous incarnation listed and whose
// start was sent once ended with it, and planned ones were never sent: both are
// terminated. A start of the other runs may have reached the new incarnation,
// which has the same id, or may reach it still, so these runs are moved to it.
// If none of a run's starts can still be executed, the next poll shows whether
// it runs. Otherwise the run is closed, and the new incarnation acknowledges a
// stop before the run is terminated.
void work_core::impl::BeginIncarnation(instant now,
                                       minion_entry& minion,
                                       std::int64_t incarnation,
                                       bool has_left) {
  LogEvent(
      "minion_life", "", "", minion.report.id,
      "born " + std::to_string(incarnation) + " at " + minion.report.address);
  minion.report.incarnation_unix_ms = incarnation;
  minion.has_answered = false;
  minion.is_responsive = false;
  minion.last_durable_end = 0;
  minion.last_processed_end = 0;
  minion.last_acknowledged_end = 0;
  minion.list_clock_ms = 0;
  minion.pending_ends.clear();
  minions_with_pending_ends_.erase(minion.report.id);
  minion.strays.clear();
  StopLateStarts(now, minion);
  MarkDirty(minion);
  minion.next_poll = now;
  minion.trust = minion_trust();
  const std::map<run_key, crash_role> roles =
      has_left ? std::map<run_key, crash_role>() : RolesInCrash(minion);
  const auto role_of = [&roles](const run_key& run) {
    const auto role = roles.find(run);
    return role == roles.end() ? std::nullopt : std::optional(role->second);
  };
  const auto is_of_earlier_incarnation = [&](const run_key&,
                                             const member_ref& ref) {
    return ref.member->incarnation.incarnation_unix_ms != incarnation;
  };
  for (const run_key& run : RunsWhere(minion, is_of_earlier_incarnation)) {
    const member_ref ref = FindMember(run, minion.report.id);
    if (ref.member == nullptr) {
      continue;
    }
    const bool is_over =
        ref.member->phase == member_phase::kPlanned ||
        (ref.member->was_listed && ref.member->starts_sent == 1);
    if (is_over) {
      CountCrash(now, ref, role_of(run));
      HandleTerminatedMember(now, ref, close_cause::kRestarted);
      continue;
    }
    MoveToIncarnation(minion, *ref.member);
    if (const auto role = role_of(run)) {
      ref.member->lost_in_restart = EvidenceOf(now, ref, *role);
    }
    ref.member->was_listed = false;
    const bool can_be_resolved_by_poll =
        ref.member->phase == member_phase::kInherited ||
        (ref.member->phase == member_phase::kRunning &&
         ref.member->starts_sent <= 1);
    if (!can_be_resolved_by_poll) {
      CloseRun(now, *ref.job, *ref.unit, close_cause::kRestarted);
    }
  }
}

void work_core::impl::MoveToIncarnation(minion_entry& minion,
                                        unit_member& member) {
  member.incarnation.incarnation_unix_ms = minion.report.incarnation_unix_ms;
  member.incarnation.address = minion.report.address;
  if (member.is_stop_acknowledged) {
    member.is_stop_acknowledged = false;
    --minion.counts.stop_acknowledged;
  }
}

void work_core::impl::HandlePollAnswer(instant now,
                                       instant sent,
                                       const poll_order& order,
                                       const poll_answer& answer) {
  counters_.Add("sched_look_" + std::string(GetName(answer.outcome)));
  long_polls_in_flight_ -= order.wait > duration(0) ? 1 : 0;
  minion_entry* minion = FindMinion(order.minion.id);
  if (minion == nullptr) {
    return;
  }
  MarkDirty(*minion);
  (order.is_extra ? minion->is_extra_poll_in_flight
                  : minion->is_poll_in_flight) = false;
  if (answer.outcome != order_outcome::kDone) {
    if (sent >= minion->last_answered_poll_sent && minion->is_responsive) {
      minion->is_responsive = false;
      RecordSilence(now, *minion);
      LogEvent("minion_silent", "", "", order.minion.id,
               std::string(GetName(answer.outcome)));
    }
    minion->next_poll = now + kUnresponsivePollInterval;
    return;
  }
  if (answer.incarnation_unix_ms != 0 &&
      answer.incarnation_unix_ms < minion->report.incarnation_unix_ms) {
    counters_.Add("sched_look_of_earlier_life");
    return;
  }
  if (answer.incarnation_unix_ms > minion->report.incarnation_unix_ms) {
    BeginIncarnation(now, *minion, answer.incarnation_unix_ms,
                     minion->report.is_draining || minion->is_cordoned);
    // It may have another capacity and other labels than its entry says, until
    // its own entry is read.
    minion->is_listed = false;
  }
  if (!minion->is_responsive || !minion->has_answered) {
    should_place_ = true;
    has_new_answers_ = true;
    LogEvent("minion_answers", "", "", order.minion.id, "");
  }
  minion->has_answered = true;
  minion->is_responsive = true;
  minion->silent_since = instant();
  minion->last_answered_poll_sent =
      std::max(minion->last_answered_poll_sent, sent);
  minion->last_acknowledged_end =
      std::max(minion->last_acknowledged_end, order.acknowledged);
  if (answer.clock_ms >= minion->clock_ms || minion->clock_at < sent) {
    minion->clock_ms = answer.clock_ms;
    minion->clock_at = now;
  }
  if (answer.skipped_rows > 0) {
    counters_.Add("sched_look_rows_skipped", answer.skipped_rows);
  }
  polled_minions_.insert(order.minion.id);
  HandleEnds(now, *minion, answer);
  if (IsOvertaken(*minion, answer)) {
    counters_.Add("sched_look_overtaken");
  } else {
    minion->list_clock_ms = answer.clock_ms;
    HandleRunningList(now, sent, *minion, answer);
  }
  AcknowledgeDurableEnds(*minion);
}

// Formats the run time and the submitter's estimate for the log.
std::string work_core::impl::DescribeRunTime(instant now,
                                             const member_ref& ref) {
  if (ref.member == nullptr) {
    return {};
  }
  const auto milliseconds = [](duration value) {
    return std::to_string(value.count() / 1000);
  };
  return " after_ms " + milliseconds(now - ref.member->confirmed_at) +
         " estimate_ms " +
         milliseconds(ref.job->accepted.spec.steps.at(ref.unit->step).estimate);
}

void work_core::impl::HandleEnds(instant now,
                                 minion_entry& minion,
                                 const poll_answer& answer) {
  for (const listed_end& end : answer.ended) {
    if (end.number <= minion.last_processed_end) {
      continue;
    }
    minion.last_processed_end = end.number;
    const member_ref ref = FindMember(end.run, minion.report.id);
    LogEvent("run_ended", end.run.task.job, FormatRun(end.run),
             minion.report.id,
             std::string(GetName(end.how)) + DescribeRunTime(now, ref),
             end.how == run_end::kDone);
    if (ref.member != nullptr) {
      HandleEnd(now, minion, ref, end);
    } else {
      HandleLateEnd(now, end);
    }
    const auto job = jobs_.find(end.run.task.job);
    minion.pending_ends.push_back(
        {end.number, end.run.task.job,
         job == jobs_.end() ? 0 : job->second.change});
  }
}

void work_core::impl::HandleRunningList(instant now,
                                        instant sent,
                                        minion_entry& minion,
                                        const poll_answer& answer) {
  std::set<run_key> listed;
  for (const listed_run& run : answer.running) {
    listed.insert(run.run);
    const member_ref ref = FindMember(run.run, minion.report.id);
    if (ref.member == nullptr) {
      KeepStray(now, sent, minion, run.run);
      continue;
    }
    const member_phase phase = ref.member->phase;
    if (phase == member_phase::kInherited ||
        phase == member_phase::kUnconfirmed ||
        phase == member_phase::kStarting) {
      ref.member->incarnation.address = minion.report.address;
      ConfirmMember(now, ref);
    }
    ref.member->was_listed = true;
    ref.member->listed_at = now;
    ref.member->lost_in_restart.reset();
    EndIsolationIfSettled(*ref.unit);
    ForgiveCrashes(ref);
    ref.member->load = run.load;
    ref.member->load_at = now;
    if (ref.member->percent != run.progress_percent) {
      ref.member->percent = run.progress_percent;
      ref.member->progressed_at = now;
      minion.trust.OnProgress(now);
    }
    UpdateSpeed(now, minion, ref);
    if (run.checkpoint > ref.unit->checkpoint) {
      ref.unit->checkpoint = run.checkpoint;
    }
  }
  DropStraysNotListed(now, sent, listed, minion);
  if (answer.ended.size() >= kMaxListedEnds) {
    return;
  }
  const auto is_gone = [&](const run_key& run, const member_ref& ref) {
    const unit_member& member = *ref.member;
    return !listed.contains(run) && (member.phase == member_phase::kInherited ||
                                     (member.phase == member_phase::kRunning &&
                                      member.confirmed_at < sent) ||
                                     (member.phase == member_phase::kStopping &&
                                      member.is_stop_acknowledged &&
                                      member.stop_acknowledged_at <= sent));
  };
  for (const run_key& run : RunsWhere(minion, is_gone)) {
    const member_ref ref = FindMember(run, minion.report.id);
    if (ref.member != nullptr) {
      if (ref.member->lost_in_restart) {
        CountCrash(now, *ref.job, *ref.unit, *ref.member->lost_in_restart);
      }
      HandleTerminatedMember(now, ref, close_cause::kNotListed);
    }
  }
}

// Ends are acknowledged in order, once their effects are durable.
void work_core::impl::AcknowledgeDurableEnds(minion_entry& minion) {
  if (minion.pending_ends.empty()) {
    return;
  }
  std::size_t count = 0;
  for (const unacknowledged_end& end : minion.pending_ends) {
    const auto job = jobs_.find(end.job);
    if (job != jobs_.end() && job->second.last_durable_change < end.change) {
      break;
    }
    minion.last_durable_end = end.number;
    ++count;
  }
  minion.pending_ends.erase(
      minion.pending_ends.begin(),
      minion.pending_ends.begin() + static_cast<long>(count));
  if (minion.pending_ends.empty()) {
    minions_with_pending_ends_.erase(minion.report.id);
  } else {
    minions_with_pending_ends_.insert(minion.report.id);
  }
  if (count > 0) {
    MarkDirty(minion);
  }
}

// Returns the time at which all leases of the minion's runs have expired.
instant work_core::impl::LeaseExpiry(const minion_entry& minion) const {
  const auto longest = std::chrono::duration_cast<duration>(
      options_.max_lease * kClockRateTolerance);
  return minion.last_lease_grant + longest + kLeaseExpiryMargin;
}

bool work_core::impl::HasLeaseExpired(instant now,
                                      const minion_entry& minion) const {
  return !minion.is_responsive && now > LeaseExpiry(minion);
}

// Terminates the runs of a minion that has not answered for longer than any
// lease.
void work_core::impl::TerminateIfLeaseExpired(instant now,
                                              minion_entry& minion) {
  if (minion.members.empty() || !HasLeaseExpired(now, minion)) {
    return;
  }
  const auto select_all = [](const run_key&, const member_ref&) {
    return true;
  };
  const bool has_left = minion.report.is_draining || minion.is_cordoned;
  const std::map<run_key, crash_role> roles = RolesInCrash(minion);
  for (const run_key& run : RunsWhere(minion, select_all)) {
    const member_ref ref = FindMember(run, minion.report.id);
    if (ref.member != nullptr) {
      const auto role = roles.find(run);
      if (!has_left && role != roles.end()) {
        KeepUnresolved(now, ref, role->second);
      }
      HandleTerminatedMember(now, ref, close_cause::kLeaseExpired);
    }
  }
  // The leases of an earlier incarnation do not bound what this one may start.
  StopLateStarts(now, minion);
}

// Extends the leases of the minion's runs by an order that is sent at `now`.
// Returns their end on the minion's clock, in milliseconds. That clock may lag
// behind its estimate, the more the longer ago it was read; a lease is
// shortened for that by up to its half, and the owner waits for the rest.
std::int64_t work_core::impl::GrantLease(instant now, minion_entry& minion) {
  const duration elapsed = now - minion.clock_at;
  const auto lag = std::chrono::duration_cast<duration>(elapsed * kMaxClockLag);
  const duration shortening = std::min(lag, options_.max_lease / 2);
  minion.last_lease_grant =
      std::max(minion.last_lease_grant, now + lag - shortening);
  const auto until_end = std::chrono::duration_cast<std::chrono::milliseconds>(
      elapsed - shortening + options_.max_lease);
  return minion.clock_ms + until_end.count();
}

// Returns how long the next poll may wait for an end. Beyond the limit of long
// polls, a poll does not wait and is repeated after the same time.
duration work_core::impl::PollWait(instant now,
                                   const minion_entry& minion) const {
  if (!minion.pending_ends.empty() || minion.members.empty() ||
      !minion.strays.empty()) {
    return duration(0);
  }
  if (minion.HasServingAndFillers()) {
    return kServingPollWait;
  }
  if (stall_alert_.IsRaised(now)) {
    return minion.counts.urgent > 0 ? kAlertPollWait : kUrgentPollWait;
  }
  return minion.counts.urgent > 0 || minion.counts.isolated > 0
             ? kUrgentPollWait
             : kPollWait;
}

void work_core::impl::EmitPolls(instant now, minion_entry& minion) {
  if (minion.report.address.empty()) {
    return;
  }
  if (!minion.has_answered || !minion.is_responsive) {
    const bool should_poll = minion.is_listed || !minion.members.empty();
    if (should_poll && !minion.is_poll_in_flight && now >= minion.next_poll) {
      EmitPoll(now, minion, duration(0), false);
    }
    return;
  }
  if (minion.NeedsPolling() && !minion.is_poll_in_flight &&
      now >= minion.next_poll) {
    const duration wait = PollWait(now, minion);
    if (!minion.strays.empty()) {
      minion.next_poll = now + kExtraPollInterval;
    } else if (!minion.pending_ends.empty()) {
      minion.next_poll = now + kPendingEndsPollInterval;
    }
    if (wait > duration(0) &&
        long_polls_in_flight_ >= options_.max_long_polls) {
      counters_.Add("sched_look_without_wait");
      minion.next_poll = now + wait;
      EmitPoll(now, minion, duration(0), false);
    } else {
      EmitPoll(now, minion, wait, false);
    }
  }
  if (!minion.is_extra_poll_in_flight && minion.counts.stop_acknowledged > 0 &&
      now >= minion.next_extra_poll) {
    minion.next_extra_poll = now + kExtraPollInterval;
    EmitPoll(now, minion, duration(0), true);
  }
}

// A poll extends the leases of all runs on its minion. If none of them has to
// go on, their leases bound them although their stops fail. A planned run
// brings its lease with its start.
bool work_core::impl::HasRunToKeep(const minion_entry& minion) {
  return std::any_of(minion.members.begin(), minion.members.end(),
                     [](const auto& item) {
                       const member_phase phase = item.second.member->phase;
                       return phase != member_phase::kPlanned &&
                              phase != member_phase::kStopping;
                     });
}

// A lease is extended only if the last poll was answered, so that the time at
// which an unreachable minion's leases expire is known.
void work_core::impl::EmitPoll(instant now,
                               minion_entry& minion,
                               duration wait,
                               bool is_extra) {
  poll_order order;
  order.minion = {minion.report.id, minion.report.incarnation_unix_ms,
                  minion.report.address};
  order.fence = fence_;
  // Ends are not acknowledged twice: after an undetected restart the minion
  // numbers its ends from 1, and would drop new ends up to a repeated number.
  if (minion.is_responsive &&
      minion.last_durable_end > minion.last_acknowledged_end) {
    order.acknowledged = minion.last_durable_end;
  }
  order.wait = wait;
  order.is_extra = is_extra;
  if (minion.has_answered && minion.is_responsive && HasRunToKeep(minion)) {
    order.lease_expiry_clock_ms = GrantLease(now, minion);
  }
  (is_extra ? minion.is_extra_poll_in_flight : minion.is_poll_in_flight) = true;
  long_polls_in_flight_ += wait > duration(0) ? 1 : 0;
  actions_.polls.push_back(std::move(order));
}

std::string_view work_core::impl::HealthOf(instant now,
                                           const minion_entry& minion) const {
  if (!minion.is_listed) {
    return "not listed";
  }
  if (minion.report.is_draining) {
    return "draining";
  }
  if (minion.is_cordoned) {
    return "awaits upkeep";
  }
  if (evacuations_.Places().contains(minion.report.zone)) {
    return "evacuated";
  }
  if (!minion.has_answered) {
    return "not looked at yet";
  }
  if (!minion.is_responsive) {
    return "silent";
  }
  if (!minion.strays.empty()) {
    return "has a stray run";
  }
  if (minion.counts.isolated > 0) {
    return kIsolating;
  }
  return minion.trust.IsAvoided(now) ? kAvoided : kUsable;
}

// Reasons that occur while the minion is avoided have no further effect.
void work_core::impl::AvoidMinion(instant now,
                                  minion_entry& minion,
                                  std::string_view reason,
                                  duration base_pause) {
  if (!minion.trust.Avoid(now, base_pause)) {
    return;
  }
  counters_.Add("sched_minions_avoided");
  MarkDirty(minion);
  LogEvent("minion_avoided", "", "", minion.report.id, std::string(reason));
}

std::vector<minion_status> work_core::impl::Minions() const {
  std::vector<minion_status> rows;
  for (const auto& [id, minion] : minions_) {
    rows.push_back({id, minion.report.service, "", minion.report.capacity,
                    minion.used, static_cast<int>(minion.members.size())});
    // Whether the minion is avoided is judged at the time of the last answer
    // that set its clock sample, as there is no current time here.
    rows.back().health = HealthOf(minion.clock_at, minion);
  }
  return rows;
}

}  // namespace sassafras::sched

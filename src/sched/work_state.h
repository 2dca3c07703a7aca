#ifndef SASSAFRAS_SRC_SCHED_WORK_STATE_H_
#define SASSAFRAS_SRC_SCHED_WORK_STATE_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/sched/job_codec.h"
#include "sassafras/sched/job_model.h"
#include "sassafras/sched/minion_orders.h"
#include "sassafras/sched/placement.h"
#include "src/sched/minion_trust.h"
#include "src/sched/position_set.h"
#include "src/sched/room_holds.h"
#include "src/sched/unit_layout.h"

namespace sassafras::sched {

/// State of one member of a run.
enum class member_phase : std::uint8_t {
  kPlanned,      ///< Capacity is reserved; no start was sent.
  kStarting,     ///< A start is in flight.
  kUnconfirmed,  ///< A start timed out; it is sent again.
  kRunning,      ///< The minion has confirmed the start.
  kInherited,    ///< Recorded by an earlier owner; not listed yet.
  kStopping,     ///< Stops are sent until it is terminated.
  kTerminated,   ///< It is not running and can never start.
};

/// Part that a run may have had in the crash of its minion.
enum class crash_role : std::uint8_t {
  kNone,         ///< Many minions crashed together, for a cause outside.
  kBystander,    ///< It had been at work; another run had just been started.
  kSuspect,      ///< It or another run may have caused the crash.
  kSoleSuspect,  ///< No other run can have caused it.
};

/// Name of `role` in logs.
std::string_view GetName(crash_role role);

/// What is known of a run whose minion is lost.
struct crash_evidence {
  int index = 0;  ///< Index of the task in its step.
  minion_incarnation minion;
  crash_role role = crash_role::kSuspect;
  duration time_at_work{0};   ///< As far as the minion listed the run.
  bool is_inherited = false;  ///< An earlier owner started it.
  instant lost_at;            ///< When its minion was known to be lost.
};

/// One task of a unit's current run.
struct unit_member {
  int index = 0;  ///< Index of the task in its step.
  minion_incarnation incarnation;
  member_phase phase = member_phase::kPlanned;
  int starts_sent = 0;              ///< Number of starts sent.
  bool is_order_in_flight = false;  ///< A start is not answered yet.
  instant next_send;             ///< Earliest time of the next start or stop.
  instant confirmed_at;          ///< Time of the confirmation, if kRunning.
  bool was_listed = false;       ///< Listed as running by the `incarnation`.
  instant listed_at;             ///< When it was last listed, if it was.
  instant stopping_since;        ///< When it became due to stop, if kStopping.
  bool is_stop_overdue = false;  ///< Logged as such.
  bool is_stop_acknowledged = false;
  instant stop_acknowledged_at;  ///< Time of the last answer to a stop.
  int percent = 0;               ///< Progress in the last answered poll.
  std::int64_t load = 0;         ///< See listed_run::load; last value.
  instant load_at;               ///< Time at which `load` was reported.
  int speed_sample_percent = 0;  ///< `percent` at `speed_sample_at`.
  instant speed_sample_at;       ///< Start of the current speed sample.
  /// Speed limit that the minion confirmed to this owner. That of an inherited
  /// member is not known.
  std::optional<int> pace_percent = 100;
  bool is_pace_in_flight = false;
  instant progressed_at;  ///< Time of the last change of `percent`.
  /// Set if its minion has restarted under the same id and it is not known yet
  /// in which incarnation the run was started.
  std::optional<crash_evidence> lost_in_restart;
};

/// Minions on which a suspect may be placed.
enum class isolation_place : std::uint8_t {
  kIdle,     ///< Those without runs.
  kSettled,  ///< Those on which all runs have settled.
  kAny,
};

/// State of a unit.
enum class unit_phase : std::uint8_t {
  kWaiting,   ///< Not placed.
  kClaimed,   ///< Placed; evicted runs still hold its capacity.
  kRecorded,  ///< Placed; its record is not durable yet.
  kActive,    ///< Starts were sent.
  kClosing,   ///< Its run ends; members are not all terminated.
  kDone,
};
inline constexpr std::size_t kUnitPhases = 6;

/// Tasks that are placed and run together: a whole gang, or one task of a step
/// that is not a gang.
struct work_unit {
  std::size_t position = 0;  ///< In the job's layout.
  int occurrence = 0;
  int step = 0;
  int index = 0;  ///< 0 for a gang.
  int width = 1;  ///< Number of tasks.
  unit_phase phase = unit_phase::kWaiting;
  std::int64_t run = 0;  ///< Number of the current or last run; 0: none.
  int failed_runs = 0;   ///< Counted against the attempts of the queue.
  bool is_done = false;
  bool has_run_failed = false;        ///< The current run is in `failed_runs`.
  std::vector<task_crashes> crashes;  ///< Of its tasks that met any.
  /// Runs whose lease has expired and whose minion may have crashed or is cut
  /// off.
  std::vector<crash_evidence> unresolved;
  /// It may crash the minions of its next run, which has to be isolated:
  /// nothing else is started beside it until it has settled.
  bool is_suspect = false;
  bool is_isolated = false;  ///< The current run is isolated and not settled.
  bool has_started = false;  ///< Some run of it had a confirmed member.
  bool was_gang_evicted = false;  ///< A gang, stopped for other work.
  std::string checkpoint;         ///< The newest known; empty: none.
  /// Minions on which a run of it failed or stalled.
  std::set<std::string> failed_on;
  std::vector<unit_member> members;
  instant waiting_since;
  instant not_before;               ///< Earliest time of the next placement.
  instant claimed_at;               ///< When the current run was placed.
  std::uint64_t record_change = 0;  ///< Change of the job that names the run.
  double loss = 0;  ///< Core-seconds lost by a stop at `loss_at`.
  instant loss_at;
};

/// Greatest number of crashes under one task of `unit`.
inline int MostCrashes(const work_unit& unit) {
  int most = 0;
  for (const task_crashes& task : unit.crashes) {
    most = std::max(most, task.crashes);
  }
  return most;
}

/// A job with the state of its units. A unit has an object of its own from its
/// first placement until it is done, so that a job costs memory by what runs,
/// not by what is still to come or already over.
struct job_entry {
  accepted_job accepted;
  std::uint64_t accepted_version = 0;  ///< Order of acceptance.
  instant first_seen_at;               ///< When the core received it.
  bool is_cancelled = false;
  job_state state = job_state::kQueued;
  unit_layout layout;
  std::map<std::size_t, work_unit> units;  ///< Those with an object.
  position_set waiting_units;              ///< Positions of units in kWaiting.
  position_set done_units;                 ///< Ranks of units that are done.
  int task_count = 0;                      ///< Tasks in all units.
  /// Longest chain of estimated run times from each step to the end.
  std::vector<duration> chains;
  duration objective{0};                   ///< See ObjectiveOf().
  std::vector<int> waiting_units_of_step;  ///< Units in kWaiting by step.
  std::array<int, kUnitPhases> units_per_phase{};  ///< Units in each phase.
  std::uint64_t change = 0;               ///< Number of its last change.
  std::uint64_t last_durable_change = 0;  ///< Last change in a durable record.
  /// Earliest time of the next write of its record. Urgent jobs and ended jobs
  /// are written at once.
  instant next_write;
  /// Limit of its tasks in progress; lowered when its record is too large.
  int max_tasks_in_progress = kMaxTasksInProgress;
  /// Earliest time of the next write after its record was too large, and the
  /// change that the store has refused; 0: none.
  instant record_not_before;
  std::uint64_t refused_change = 0;
  std::uint64_t record_version = 0;
  std::uint64_t cancel_version = 0;
  instant ended_at;
  bool is_erasing = false;  ///< The caller is erasing its rows.

  bool IsEnded() const {
    return state == job_state::kComplete || state == job_state::kFailed ||
           state == job_state::kCancelled;
  }

  int& CountOf(unit_phase phase) {
    return units_per_phase.at(static_cast<std::size_t>(phase));
  }
  int CountOf(unit_phase phase) const {
    return units_per_phase.at(static_cast<std::size_t>(phase));
  }

  void SetPhase(work_unit& unit, unit_phase phase) {
    --CountOf(unit.phase);
    unit.phase = phase;
    ++CountOf(phase);
  }

  /// Returns a unit of which nothing has run yet.
  work_unit MakeUnit(std::size_t position) const {
    const unit_place place = layout.PlaceOf(position);
    const step_spec& step =
        accepted.spec.steps.at(static_cast<std::size_t>(place.step));
    work_unit unit;
    unit.position = position;
    unit.occurrence = place.occurrence;
    unit.step = place.step;
    unit.index = place.index;
    unit.width = step.is_gang ? step.count : 1;
    unit.waiting_since = first_seen_at;
    return unit;
  }

  /// Returns the unit with an object; null if it has none.
  work_unit* FindUnit(std::size_t position) {
    const auto it = units.find(position);
    return it == units.end() ? nullptr : &it->second;
  }
  const work_unit* FindUnit(std::size_t position) const {
    const auto it = units.find(position);
    return it == units.end() ? nullptr : &it->second;
  }

  /// Returns the unit, which must not be done, with an object of its own.
  work_unit& HoldUnit(std::size_t position) {
    work_unit* known = FindUnit(position);
    return known != nullptr
               ? *known
               : units.emplace(position, MakeUnit(position)).first->second;
  }

  std::size_t RankOf(const work_unit& unit) const {
    return layout.RankOf({unit.occurrence, unit.step, unit.index});
  }

  /// Number of units of one step of one occurrence that are not done.
  std::size_t UnfinishedUnitsOf(int occurrence, int step) const {
    const std::size_t units_of_step = layout.UnitsOf(step);
    const std::size_t first = layout.RankOf({occurrence, step, 0});
    return units_of_step -
           done_units.CountBetween(first, first + units_of_step);
  }

  /// Marks a unit as done; no effect if it already is.
  void SetDone(work_unit& unit) {
    unit.is_done = true;
    done_units.Insert(RankOf(unit));
  }

  /// Number of tasks that have their own entry in the record.
  int TasksInProgress() const {
    int tasks = 0;
    for (const auto& [position, unit] : units) {
      const bool is_over = unit.is_done && unit.members.empty();
      tasks += unit.run > 0 && !is_over ? unit.width : 0;
    }
    return tasks;
  }

  /// Whether some unit has reserved capacity.
  bool HoldsRoom() const {
    return CountOf(unit_phase::kClaimed) + CountOf(unit_phase::kRecorded) +
               CountOf(unit_phase::kActive) + CountOf(unit_phase::kClosing) >
           0;
  }
};

/// A member of a unit's run with its unit and job. Valid until the member is
/// terminated.
struct member_ref {
  job_entry* job = nullptr;
  work_unit* unit = nullptr;
  unit_member* member = nullptr;

  const step_spec& Step() const {
    return job->accepted.spec.steps.at(static_cast<std::size_t>(unit->step));
  }
};

/// A unit with its job. Ordered by acceptance, then by position in the job.
struct unit_ref {
  job_entry* job = nullptr;
  work_unit* unit = nullptr;

  const step_spec& Step() const {
    return job->accepted.spec.steps.at(static_cast<std::size_t>(unit->step));
  }

  bool operator<(const unit_ref& other) const {
    return std::tie(job->accepted_version, job->accepted.id, unit->position) <
           std::tie(other.job->accepted_version, other.job->accepted.id,
                    other.unit->position);
  }
};

/// Numbers of members of a minion by kind, maintained so that decisions need
/// not iterate over all members.
struct member_counts {
  int urgent = 0;             ///< Members of jobs of priority 0.
  int serving = 0;            ///< Members with a target for tail latency.
  int fillers = 0;            ///< Members that use leftover cores.
  int stop_acknowledged = 0;  ///< Members whose stop was acknowledged.
  int isolated = 0;           ///< Members of isolated runs.
};

/// An end that may be acknowledged to its minion once `change` of `job` is
/// durable.
struct unacknowledged_end {
  std::int64_t number = 0;
  std::string job;
  std::uint64_t change = 0;
};

/// Answers of a queue's policy about one step.
struct step_advice {
  struct ticket {
    std::string text;
    std::int64_t incarnation_unix_ms = 0;
    instant valid_until;
  };
  std::map<std::string, ticket> tickets;  ///< By minion.
  std::set<std::string> denied_minions;   ///< Must not run the step.
};

/// A run that no unit stands for and that its minion lists or may start: its
/// start is executed late, or an earlier owner sent it.
struct stray_run {
  instant since;      ///< When it became known.
  instant listed_by;  ///< When the poll was sent whose answer lists it.
  instant next_stop;  ///< Earliest time of the next stop.
  int stops_sent = 0;
  bool is_stop_acknowledged = false;
  instant stop_acknowledged_at;  ///< Time of the last answer to a stop.
  /// Until when its minion may start it, unless a stop is acknowledged.
  instant may_start_until;
  bool is_overdue = false;  ///< Logged as such.
};

/// State of one minion as the core knows it.
struct minion_entry {
  minion_report report;
  bool is_listed = false;  ///< In the last minion list.
  /// Whether this incarnation has answered a poll of this tenure.
  bool has_answered = false;
  bool is_responsive = false;  ///< Its last poll was answered.
  instant silent_since;        ///< When a poll was first not answered.
  std::int64_t clock_ms = 0;   ///< Minion's clock, read at `clock_at`.
  /// Minion's clock at the latest list of its runs that was handled.
  std::int64_t list_clock_ms = 0;
  instant clock_at;
  /// When an order that extends the leases on the minion was last sent, or
  /// later by what these may be too long.
  instant last_lease_grant;
  instant last_answered_poll_sent;  ///< Send time of the latest answered poll.
  resource_amounts used;            ///< Reserved by all members.
  std::map<run_key, member_ref> members;  ///< Runs that are not terminated.
  member_counts counts;                   ///< Of `members`.
  std::map<run_key, stray_run> strays;
  /// Highest number of an end whose effects are durable.
  std::int64_t last_durable_end = 0;
  std::int64_t last_processed_end = 0;           ///< Highest processed number.
  std::vector<unacknowledged_end> pending_ends;  ///< Not durable yet.
  std::int64_t last_acknowledged_end = 0;        ///< Sent in an answered poll.
  bool is_poll_in_flight = false;
  bool is_extra_poll_in_flight = false;
  instant next_poll;        ///< Earliest time of the next regular poll.
  instant next_extra_poll;  ///< Earliest time of the next extra poll.
  /// Runs whose start was not answered, with the time until which it may be
  /// executed: by a later incarnation under the same id as well, which knows of
  /// no stop.
  std::map<run_key, instant> unanswered_starts;
  instant drain_deadline;  ///< Earliest time at which a draining minion leaves.
  bool is_cordoned = false;  ///< Receives no tasks: its upkeep is due.
  int filler_percent = 100;  ///< Speed limit of its fillers.
  instant paced_at;          ///< When `filler_percent` last changed.
  minion_trust trust;        ///< Of this incarnation.
  std::vector<expected_release> releases;  ///< As of `releases_at`.
  instant releases_at;          ///< Default value: `members` has changed.
  fleet_view* fleet = nullptr;  ///< Of its service; null if not listed.
  std::size_t view_index = 0;   ///< Its index in `fleet`.
  bool is_dirty = false;        ///< Is in dirty_minions_.
  /// When the minion must be handled if no event occurs.
  instant wakeup_at = instant::max();

  /// Whether it needs polls: it has runs, may start some late, or has ends to
  /// acknowledge.
  bool NeedsPolling() const {
    return !members.empty() || !strays.empty() ||
           last_acknowledged_end < last_processed_end;
  }

  /// Whether an unanswered start may still be executed.
  bool MayStartLate(instant now) const {
    return std::any_of(unanswered_starts.begin(), unanswered_starts.end(),
                       [now](const auto& item) { return now < item.second; });
  }

  bool HasServingAndFillers() const {
    return counts.serving > 0 && counts.fillers > 0;
  }
};

/// Returns the runs on `minion` for which `is_selected` holds. Callers must
/// look up each run again, because handling one member may terminate others.
template <class Predicate>
std::vector<run_key> RunsWhere(const minion_entry& minion,
                               Predicate is_selected) {
  std::vector<run_key> runs;
  for (const auto& [run, ref] : minion.members) {
    if (is_selected(run, ref)) {
      runs.push_back(run);
    }
  }
  return runs;
}

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_WORK_STATE_H_

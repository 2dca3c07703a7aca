#ifndef SASSAFRAS_SRC_SCHED_WORK_STATE_H_
#define SASSAFRAS_SRC_SCHED_WORK_STATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"
#include "sassafras/sched/minion_orders.h"
#include "sassafras/sched/placement.h"

namespace sassafras::sched {

/// Where one member of a run stands.
enum class member_phase : std::uint8_t {
  kPlanned,      ///< Room is reserved; no start has left.
  kStarting,     ///< A start has left and is not answered.
  kUnconfirmed,  ///< A start was not answered in time; it is sent again.
  kRunning,      ///< The minion has confirmed it.
  kInherited,    ///< Recorded by an earlier owner; not yet looked for.
  kStopping,     ///< It must end; stops are sent until it is certainly over.
  kTerminated,   ///< It is certainly over and can never start.
};

/// One task of a unit's current run.
struct unit_member {
  int index = 0;  ///< Of the task in its step.
  minion_life life;
  member_phase phase = member_phase::kPlanned;
  int starts_sent = 0;              ///< Starts that left.
  bool is_order_in_flight = false;  ///< An order is under way.
  instant next_send;                ///< Earliest time of the next order.
  instant confirmed_at;             ///< The start was answered, if kRunning.
  bool was_listed = false;          ///< Its minion has listed it, in `life`.
  bool is_stop_acknowledged = false;
  instant stop_acknowledged_at;
  int percent = 0;               ///< Progress that the minion stated last.
  std::int64_t load = 0;         ///< Tail in ms, or cores; as stated last.
  instant load_at;               ///< When that was stated.
  int speed_sample_percent = 0;  ///< Progress at `rate_at`; measures its speed.
  instant speed_sample_at;
  int pace_percent = 100;  ///< Share of its speed that it was given.
  bool is_pace_in_flight = false;
  instant progressed_at;  ///< When that changed last.
};

enum class unit_phase : std::uint8_t {
  kWaiting,   ///< Not placed.
  kClaimed,   ///< Placed; evicted runs still hold some of its room.
  kRecorded,  ///< Placed; its record is being made durable.
  kActive,    ///< Starts have left.
  kClosing,   ///< Its run ends; some members are not certainly over.
  kDone,
};
inline constexpr std::size_t kUnitPhases = 6;

/// What is placed and run together: a gang, or one task of another step.
struct work_unit {
  int occurrence = 0;
  int step = 0;
  int index = 0;  ///< 0 for a gang.
  int width = 1;  ///< Tasks in it.
  unit_phase phase = unit_phase::kWaiting;
  std::int64_t run = 0;  ///< Of the current or last run.
  int failed_runs = 0;
  bool is_done = false;
  bool has_run_failed = false;  ///< The current run counts as failed.
  bool has_started = false;     ///< A member was confirmed at least once.
  std::string checkpoint;
  std::set<std::string> failed_on;  ///< Minions on which a run of it failed.
  std::vector<unit_member> members;
  instant waiting_since;
  instant not_before;  ///< Not placed again until then.
  instant claimed_at;
  std::uint64_t record_change = 0;  ///< Change that names the current run.
  double loss = 0;                  ///< Of stopping it at `loss_at`.
  instant loss_at;
};

struct job_entry {
  accepted_job job;
  std::uint64_t accepted_version = 0;  ///< Order of acceptance.
  instant first_seen_at;
  bool is_cancelled = false;
  job_state state = job_state::kQueued;
  /// By occurrence, step and index. Fixed once the job was taken in.
  std::vector<work_unit> units;
  std::set<std::size_t> waiting_units;  ///< Positions of units that wait.
  std::vector<int>
      unfinished_units;  ///< Units not done, by occurrence and step.
  int task_count = 0;    ///< Of all units.
  std::array<int, kUnitPhases> units_per_phase{};  ///< Units by phase.
  std::uint64_t change = 0;               ///< Number of its last change.
  std::uint64_t last_durable_change = 0;  ///< Last change that is durable.
  instant next_write;  ///< Of its record, unless it is urgent.
  std::uint64_t record_version = 0;
  std::uint64_t cancel_version = 0;
  instant ended_at;

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

  std::size_t PositionOf(const work_unit& unit) const {
    return static_cast<std::size_t>(&unit - units.data());
  }

  /// Units of one step of one occurrence that are not done.
  int& UnfinishedUnitsOf(int occurrence, int step) {
    return unfinished_units.at(IndexOfStep(occurrence, step));
  }
  int UnfinishedUnitsOf(int occurrence, int step) const {
    return unfinished_units.at(IndexOfStep(occurrence, step));
  }
  std::size_t IndexOfStep(int occurrence, int step) const {
    return static_cast<std::size_t>(occurrence) * job.spec.steps.size() +
           static_cast<std::size_t>(step);
  }

  /// Marks a unit as done, once.
  void SetDone(work_unit& unit) {
    if (!unit.is_done) {
      unit.is_done = true;
      --UnfinishedUnitsOf(unit.occurrence, unit.step);
    }
  }

  /// Whether some unit holds room, or may hold it.
  bool HoldsRoom() const {
    return CountOf(unit_phase::kClaimed) + CountOf(unit_phase::kRecorded) +
               CountOf(unit_phase::kActive) + CountOf(unit_phase::kClosing) >
           0;
  }
};

/// A member of a unit's run, with what it belongs to. Valid while the member is
/// not over.
struct member_ref {
  job_entry* job = nullptr;
  work_unit* unit = nullptr;
  unit_member* member = nullptr;

  const step_spec& Step() const {
    return job->job.spec.steps.at(static_cast<std::size_t>(unit->step));
  }
};

/// A unit of a job. Ordered by acceptance, then by place in its job.
struct unit_ref {
  job_entry* job = nullptr;
  work_unit* unit = nullptr;

  const step_spec& Step() const {
    return job->job.spec.steps.at(static_cast<std::size_t>(unit->step));
  }

  bool operator<(const unit_ref& other) const {
    return std::tie(job->accepted_version, job->job.id, unit) <
           std::tie(other.job->accepted_version, other.job->job.id, other.unit);
  }
};

/// Kinds of members that a minion has, counted so that no decision has to go
/// through all of them.
struct member_counts {
  int urgent = 0;             ///< Of jobs of priority 0.
  int serving = 0;            ///< With a target for their tail.
  int fillers = 0;            ///< That use leftover cores.
  int stop_acknowledged = 0;  ///< Whose stop was answered.
};

/// An end that may be acknowledged once `change` of `job` is durable.
struct unacknowledged_end {
  std::int64_t number = 0;
  std::string job;
  std::uint64_t change = 0;
};

/// What the policy of a queue has said about one step.
struct step_advice {
  struct ticket {
    std::string text;
    std::int64_t born_unix_ms = 0;
    instant valid_until;
  };
  std::map<std::string, ticket> tickets;  ///< By minion.
  std::set<std::string> denied_minions;   ///< May never run the step.
};

struct minion_entry {
  minion_report report;
  bool is_listed = false;      ///< In the last list that was read.
  bool has_answered = false;   ///< This life has answered under our fence.
  bool is_responsive = false;  ///< Its last look was answered.
  std::int64_t clock_ms = 0;   ///< Its clock at `clock_at`.
  instant clock_at;
  instant last_lease_grant;  ///< Last order that extended its lease left.
  instant
      last_answered_poll_sent;  ///< Latest look that was answered left then.
  room used;                    ///< Of all members that are not over.
  std::map<run_key, member_ref> members;  ///< Runs that are not over here.
  member_counts counts;                   ///< Of `members`.
  std::int64_t last_durable_end = 0;      ///< Ends up to it may be forgotten.
  std::int64_t last_processed_end = 0;    ///< Ends up to it were taken in.
  std::vector<unacknowledged_end> pending_ends;
  std::int64_t last_acknowledged_end =
      0;  ///< Acknowledged in an answered look.
  bool is_poll_in_flight = false;
  bool is_extra_poll_in_flight = false;
  instant next_poll;
  instant next_extra_poll;
  instant drain_deadline;    ///< Earliest end, if it drains.
  bool is_cordoned = false;  ///< Gets no tasks: its upkeep is due.
  double speed = 1;          ///< Of its runs against their estimates, lately.
  int filler_percent = 100;  ///< Share that its fillers should work at.
  instant paced_at;          ///< When that changed last.
  instant avoid_until;       ///< Gets no tasks until then.
  std::set<std::string> failed_jobs;  ///< Of failures since its last success.
  int penalties = 0;
  fleet_view* fleet = nullptr;  ///< Of its service; null if it is not listed.
  std::size_t view_index = 0;   ///< Its index in `fleet`.
  bool is_dirty = false;        ///< Something changed since it was attended to.
  instant wakeup_at =
      instant::max();  ///< Needs attention then without an event.

  /// Whether looks at it are of use: it has runs, or ends to acknowledge.
  bool NeedsPolling() const {
    return !members.empty() || last_acknowledged_end < last_processed_end;
  }

  bool HasServingAndFillers() const {
    return counts.serving > 0 && counts.fillers > 0;
  }
};

/// The runs on `minion` for which `is_selected` holds. Acting on one member may
/// end others, so that callers look each of them up again.
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

#ifndef SASSAFRAS_SCHED_POLICY_SWITCHES_H_
#define SASSAFRAS_SCHED_POLICY_SWITCHES_H_

#include <array>
#include <string_view>

namespace sassafras::sched {

/// Mechanisms that can be switched on and off one by one, to measure what each
/// is worth. No promise to callers depends on any of them. Those that answer
/// overload are off unless the settings ask for them.
struct policy_switches {
  // Decisions of work_core.
  bool move_stalled_runs = true;    ///< Runs without progress start elsewhere.
  bool detect_stalls_early = true;  ///< Sooner where a second sign is seen.
  bool prefer_proven_minions = true;  ///< For urgent units while minions hang.
  bool avoid_slow_minions = true;
  bool avoid_failing_minions = true;
  bool leave_draining_minions = true;  ///< Runs that cannot end there in time.
  bool separate_urgent_racks = true;  ///< Urgent units fill racks from the end.
  bool wait_for_one_rack = true;      ///< Steps that are slower when spread.
  bool batch_records = true;          ///< Of jobs that are not urgent.
  // Decisions of work_core about overload.
  bool hold_room_for_gangs = false;  ///< Less urgent units leave it to them.
  bool order_by_objective = false;   ///< Within a priority.
  bool share_between_teams = false;  ///< Within a priority.
  bool weigh_evictions = false;  ///< Count the time that a gang stands still.
  bool protect_last_attempt = false;  ///< On minions where runs succeed.
  bool keep_minions_whole = false;    ///< For the largest gang tasks.
  // Behaviour of the entry process.
  bool pace_decisions = true;       ///< A pause after each decision.
  bool adapt_lease_term = true;     ///< Longer terms while the store is slow.
  bool hand_over_ownership = true;  ///< To processes with more processor time.
  bool suspend_tenure = true;       ///< Rather than end it, on a late renewal.
  bool relay_calls = true;          ///< While the store turns this one away.
  bool weigh_owner_link = false;   ///< A slow link limits the owner's capacity.
  bool admission_control = false;  ///< Refuse jobs that would wait too long.
};

struct policy_switch_info {
  std::string_view name;  ///< Key in the settings, under "policy".
  bool policy_switches::*value;
};

inline constexpr std::array<policy_switch_info, 22> kPolicySwitches = {{
    {"move_stalled_runs", &policy_switches::move_stalled_runs},
    {"detect_stalls_early", &policy_switches::detect_stalls_early},
    {"prefer_proven_minions", &policy_switches::prefer_proven_minions},
    {"avoid_slow_minions", &policy_switches::avoid_slow_minions},
    {"avoid_failing_minions", &policy_switches::avoid_failing_minions},
    {"leave_draining_minions", &policy_switches::leave_draining_minions},
    {"separate_urgent_racks", &policy_switches::separate_urgent_racks},
    {"wait_for_one_rack", &policy_switches::wait_for_one_rack},
    {"batch_records", &policy_switches::batch_records},
    {"hold_room_for_gangs", &policy_switches::hold_room_for_gangs},
    {"order_by_objective", &policy_switches::order_by_objective},
    {"share_between_teams", &policy_switches::share_between_teams},
    {"weigh_evictions", &policy_switches::weigh_evictions},
    {"protect_last_attempt", &policy_switches::protect_last_attempt},
    {"keep_minions_whole", &policy_switches::keep_minions_whole},
    {"pace_decisions", &policy_switches::pace_decisions},
    {"adapt_lease_term", &policy_switches::adapt_lease_term},
    {"hand_over_ownership", &policy_switches::hand_over_ownership},
    {"suspend_tenure", &policy_switches::suspend_tenure},
    {"relay_calls", &policy_switches::relay_calls},
    {"weigh_owner_link", &policy_switches::weigh_owner_link},
    {"admission_control", &policy_switches::admission_control},
}};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_POLICY_SWITCHES_H_

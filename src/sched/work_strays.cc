#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Longest time after an unanswered order at which minions execute it.
constexpr duration kMaxOrderDelay = std::chrono::seconds(12);

}  // namespace

// Stops are sent to a stray run, and its minion is polled and takes nothing
// else, until the minion neither lists it nor may start it.
void work_core::impl::AddStray(instant now,
                               minion_entry& minion,
                               const run_key& run,
                               instant may_start_until) {
  const auto [stray, is_new] = minion.strays.try_emplace(run);
  stray->second.may_start_until =
      std::max(stray->second.may_start_until, may_start_until);
  if (is_new) {
    stray->second.since = now;
    minions_with_strays_.insert(minion.report.id);
    MarkDirty(minion);
  }
}

void work_core::impl::KeepStray(instant now,
                                instant sent,
                                minion_entry& minion,
                                const run_key& run) {
  AddStray(now, minion, run, instant());
  stray_run& stray = minion.strays.at(run);
  if (stray.listed_by == instant()) {
    counters_.Add("sched_orphans_stopped");
    const auto job = jobs_.find(run.task.job);
    LogEvent("orphan_stopped", run.task.job, FormatRun(run), minion.report.id,
             std::string(job == jobs_.end() ? "unknown job"
                                            : GetName(job->second.state)));
  }
  stray.listed_by = std::max(stray.listed_by, sent);
}

// An unanswered start may be executed late. The incarnation that it was sent to
// refuses it once its run was stopped or has ended there; a later one under the
// same id knows of neither, and has to be told.
void work_core::impl::ExpectLateStart(instant now, const start_order& order) {
  minion_entry* minion = FindMinion(order.minion.id);
  if (minion == nullptr) {
    return;
  }
  std::erase_if(minion->unanswered_starts,
                [now](const auto& item) { return item.second <= now; });
  minion->unanswered_starts[order.run] = now + kMaxOrderDelay;
  if (minion->report.incarnation_unix_ms != order.minion.incarnation_unix_ms &&
      !minion->members.contains(order.run)) {
    AddStray(now, *minion, order.run, now + kMaxOrderDelay);
  }
}

// Tells a restarted minion to refuse late starts to its earlier incarnation.
// Runs with a unit are looked for, or stopped, by themselves.
void work_core::impl::StopLateStarts(instant now, minion_entry& minion) {
  for (const auto& [run, end] : minion.unanswered_starts) {
    if (now < end && !minion.members.contains(run)) {
      AddStray(now, minion, run, end);
    }
  }
}

// Only a poll that was sent after the one that listed a run, and after the
// answer to its stop, shows that it is over.
void work_core::impl::DropStraysNotListed(instant now,
                                          instant sent,
                                          const std::set<run_key>& listed,
                                          minion_entry& minion) {
  std::erase_if(minion.strays, [&](const auto& item) {
    const auto& [run, stray] = item;
    const bool can_start = stray.is_stop_acknowledged
                               ? stray.stop_acknowledged_at > sent
                               : stray.may_start_until > now;
    return !listed.contains(run) && stray.listed_by < sent && !can_start;
  });
}

void work_core::impl::StopStrays(instant now) {
  std::erase_if(minions_with_strays_, [&](const std::string& id) {
    minion_entry& minion = MinionOf(id);
    std::erase_if(minion.strays, [now](const auto& item) {
      const stray_run& stray = item.second;
      return stray.listed_by == instant() && !stray.is_stop_acknowledged &&
             stray.may_start_until <= now;
    });
    for (auto& [run, stray] : minion.strays) {
      LogIfStrayOverdue(now, minion, run, stray);
      if (now >= stray.next_stop &&
          (minion.is_listed || minion.is_responsive)) {
        stray.next_stop = now + kStopResendInterval;
        ++stray.stops_sent;
        actions_.stops.push_back(
            {{id, minion.report.incarnation_unix_ms, minion.report.address},
             run,
             fence_});
      }
    }
    if (minion.strays.empty()) {
      MarkDirty(minion);
      should_place_ = true;
    }
    return minion.strays.empty();
  });
}

void work_core::impl::LogIfStrayOverdue(instant now,
                                        const minion_entry& minion,
                                        const run_key& run,
                                        stray_run& stray) {
  if (stray.is_overdue || stray.stops_sent == 0 ||
      now < stray.since + kOverdueStopTime) {
    return;
  }
  stray.is_overdue = true;
  counters_.Add("sched_stops_overdue");
  LogEvent("stop_overdue", run.task.job, FormatRun(run), minion.report.id,
           std::string(stray.listed_by == instant() ? "may start late"
                                                    : "listed without a unit") +
               (minion.is_responsive ? ", minion answers" : ", minion silent"));
}

// The minion refuses later starts of the run.
void work_core::impl::HandleStrayStopped(instant now, const stop_order& order) {
  minion_entry* minion = FindMinion(order.minion.id);
  if (minion == nullptr ||
      minion->report.incarnation_unix_ms != order.minion.incarnation_unix_ms) {
    return;
  }
  const auto stray = minion->strays.find(order.run);
  if (stray != minion->strays.end() && !stray->second.is_stop_acknowledged) {
    stray->second.is_stop_acknowledged = true;
    stray->second.stop_acknowledged_at = now;
  }
}

}  // namespace sassafras::sched

#include "src/sched/work_impl.h"

namespace sassafras::sched {

work_summary work_core::impl::Summary(instant now) const {
  work_summary summary;
  summary.minion_list_age = minion_list_read_at_ == instant()
                                ? duration(0)
                                : now - minion_list_read_at_;
  if (config_) {
    for (const auto& [name, team] : config_->teams) {
      summary.teams[name].guaranteed = team.guaranteed_accelerators;
    }
  }
  for (const auto& [id, job] : open_jobs_) {
    if (job->IsEnded()) {
      continue;
    }
    summary.waiting[job->accepted.priority] +=
        job->CountOf(unit_phase::kWaiting);
    summary.running += job->CountOf(unit_phase::kActive);
    summary.closing += job->CountOf(unit_phase::kClosing);
    team_usage& use = summary.teams[job->accepted.team];
    std::int64_t& held = job->accepted.priority == 0 ? use.urgent : use.other;
    for (const auto& [position, unit] : job->units) {
      held += unit.members.empty() ? 0 : AcceleratorsOf(*job, unit);
    }
  }
  for (const auto& [id, minion] : minions_) {
    if (HealthOf(now, minion) != kUsable) {
      ++summary.minions_unusable;
      continue;
    }
    ++summary.minions_usable;
    const std::int64_t free =
        (minion.report.capacity - minion.used).accelerators;
    summary.free_accelerators += free;
    summary.free_on_idle_minions += minion.members.empty() ? free : 0;
  }
  return summary;
}

}  // namespace sassafras::sched

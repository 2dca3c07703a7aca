#include <algorithm>
#include <map>
#include <utility>

#include "src/job/planner_impl.h"

namespace sassafras {

void planner::impl::SetConfig(const config_ptr& config) {
  std::vector<guarantee_cell> former_cells;
  former_cells.reserve(static_cast<std::size_t>(cells_.size()));
  for (int cell = 0; cell < cells_.size(); ++cell) {
    former_cells.push_back(cells_[cell]);
  }
  std::vector<worker_id> former_workers;
  former_workers.reserve(static_cast<std::size_t>(workers_.size()));
  for (int i = 0; i < workers_.size(); ++i) {
    former_workers.push_back(workers_[i].id);
  }
  const std::vector<team_state> former_teams = teams_;
  while (!claiming_.empty()) {
    DropClaim(*claiming_.begin());
  }
  for (const auto& [id, job] : jobs_.Index()) {
    DropMove(job);
  }
  jobs_.ClearBuckets();
  reservations_.clear();
  fit_cache_.clear();
  config_ = config;
  workers_.Load(config_->objects, unusable_);
  LoadTeams();
  cells_.Load(config_->objects, !IsBaseline());
  RestoreHeldWorkers();
  RestoreCells(former_cells, former_teams, former_workers);
  are_promises_stale_ = true;
  workers_.SumImmovable();
  RepairGuarantees();
}

void planner::impl::LoadTeams() {
  teams_.clear();
  for (const auto& [id, item] : config_->objects.teams) {
    teams_.push_back({id, std::max(item.share, 1), 0});
  }
  share_use_.assign(teams_.size(), 0);
}

void planner::impl::Resolve(job_entry& entry) const {
  const config_set& objects = config_->objects;
  const auto wanted = objects.shapes.find(entry.job.shape);
  entry.wanted = wanted == objects.shapes.end() ? nullptr : &wanted->second;
  const auto found = objects.classes.find(entry.job.job_class);
  const bool is_job =
      found != objects.classes.end() && found->second.kind == class_kind::kJob;
  entry.class_object = is_job ? &found->second : nullptr;
  const auto team = std::lower_bound(
      teams_.begin(), teams_.end(), entry.job.team,
      [](const team_state& item, const team_id& id) { return item.id < id; });
  const bool known = team != teams_.end() && team->id == entry.job.team;
  entry.team = known ? static_cast<int>(team - teams_.begin()) : -1;
}

// Reassigns to every job the workers that it holds. Cells are restored
// afterwards.
void planner::impl::RestoreHeldWorkers() {
  for (const auto& [id, job] : jobs_.Index()) {
    job_entry& entry = jobs_[job];
    Resolve(entry);
    if (entry.terms == hold_terms::kNone) {
      jobs_.Enqueue(job);
      continue;
    }
    entry.workers.clear();
    for (const worker_id& name : entry.worker_names) {
      entry.workers.push_back(workers_.IndexOf(name));
    }
    HoldWorkers(job);
    if (entry.terms == hold_terms::kFirm) {
      PromiseFirm(job);
    }
  }
}

// Binds the used cells to their former workers. A job becomes firm if its cell
// was removed or does not fit there any more.
void planner::impl::RestoreCells(const std::vector<guarantee_cell>& former,
                                 const std::vector<team_state>& former_teams,
                                 const std::vector<worker_id>& former_workers) {
  std::map<int, std::vector<int>> inside;
  for (const auto& [id, job] : jobs_.Index()) {
    if (jobs_[job].terms == hold_terms::kGuaranteed) {
      inside[jobs_[job].cell].push_back(job);
    }
  }
  for (const auto& [former_cell, members] : inside) {
    const guarantee_cell& old = former[static_cast<std::size_t>(former_cell)];
    std::vector<int> workers;
    for (const int worker : old.workers) {
      workers.push_back(
          workers_.IndexOf(former_workers[static_cast<std::size_t>(worker)]));
    }
    int found = -1;
    for (int cell = 0; cell < cells_.size() && found < 0; ++cell) {
      const guarantee_cell& item = cells_[cell];
      const team_id& team = teams_[static_cast<std::size_t>(item.team)].id;
      const bool same =
          team == former_teams[static_cast<std::size_t>(old.team)].id &&
          item.promised.id == old.promised.id &&
          item.promised.per_worker == old.promised.per_worker &&
          item.promised.workers == old.promised.workers;
      found = same && !item.IsBound() ? cell : -1;
    }
    const bool fits =
        found >= 0 &&
        std::all_of(workers.begin(), workers.end(), [&](int worker) {
          return workers_[worker].is_usable &&
                 workers_[worker].Unpromised().Holds(old.promised.per_worker);
        });
    if (fits) {
      cells_.Bind(found, workers);
    }
    for (const int job : members) {
      job_entry& entry = jobs_[job];
      if (fits) {
        entry.cell = found;
        cells_.Enter(found, entry.workers, entry.need);
      } else {
        entry.cell = -1;
        entry.terms = hold_terms::kFirm;
        PromiseFirm(job);
      }
    }
  }
}

}  // namespace sassafras

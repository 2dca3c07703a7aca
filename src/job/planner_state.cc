#include <algorithm>
#include <utility>

#include "sassafras/core/result.h"
#include "sassafras/world/packing.h"
#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

// Returns the capacities of the configured workers, as input for a packing.
std::vector<worker_free_capacity> EmptySpaces(const inventory& workers) {
  std::vector<worker_free_capacity> spaces;
  for (int i = 0; i < workers.size(); ++i) {
    const worker_state& state = workers[i];
    if (state.rack >= 0) {
      spaces.push_back({state.rack, state.place, state.capacity});
    }
  }
  return spaces;
}

shape_demand DemandOf(const shape& wanted) {
  return {wanted.level, wanted.workers, wanted.per_worker, /*count=*/1};
}

bool IsInside(const std::vector<int>& outer, const std::vector<int>& inner) {
  return std::all_of(inner.begin(), inner.end(), [&](int worker) {
    return std::find(outer.begin(), outer.end(), worker) != outer.end();
  });
}

}  // namespace

planner::impl::impl(planner_options options, counter_table& counters)
    : policy_(options.policy),
      max_compaction_loss_seconds_(
          std::chrono::duration<double>(options.max_compaction_loss).count()),
      counters_(counters),
      cells_(workers_) {}

void planner::impl::SetUsable(const worker_id& worker, bool is_usable) {
  if (is_usable) {
    unusable_.erase(worker);
  } else {
    unusable_.insert(worker);
  }
  const int index = workers_.Find(worker);
  if (config_ == nullptr || index < 0) {
    return;
  }
  const auto item = config_->objects.workers.find(worker);
  const bool known = item != config_->objects.workers.end();
  worker_state& state = workers_[index];
  state.is_usable = is_usable && known && !item->second.is_leaving;
  are_promises_stale_ = true;
  if (state.is_usable) {
    return;
  }
  const std::vector<int> occupants = state.occupants;
  for (const int job : occupants) {
    if (jobs_[job].claiming) {
      DropClaim(job);
    } else if (jobs_[job].MovesTo(index)) {
      DropMove(job);
    }
  }
  for (int cell = 0; cell < cells_.size(); ++cell) {
    if (cells_[cell].IsUsed() && IsInside(cells_[cell].workers, {index})) {
      DetachJobsFromCell(cell);
    }
  }
}

// Makes the jobs of a cell firm, so that the cell can move.
void planner::impl::DetachJobsFromCell(int cell) {
  std::vector<int> members;
  for (const auto& [id, job] : jobs_.Index()) {
    if (jobs_[job].cell == cell) {
      members.push_back(job);
    }
  }
  for (const int job : members) {
    if (jobs_[job].claiming) {
      DropClaim(job);
    } else {
      DetachFromCell(job);
    }
  }
}

bool planner::impl::FitsInventory(const shape& wanted,
                                  bool beyond_guarantees) const {
  std::vector<shape_demand> demands = {DemandOf(wanted)};
  for (int cell = 0; beyond_guarantees && cell < cells_.size(); ++cell) {
    demands.push_back(DemandOf(cells_[cell].promised));
  }
  return PackShapes(EmptySpaces(workers_), demands).has_value();
}

std::optional<error> planner::impl::CheckFits(const job_entry& entry) {
  const auto& own = cells_.OfTeam(entry.team);
  const bool has_cell = std::any_of(own.begin(), own.end(), [&](int cell) {
    return CanUse(cells_[cell], entry);
  });
  const bool is_outside_guarantees =
      !has_cell && TermsOutsideGuarantee(entry) == hold_terms::kFirm;
  const auto [it, added] =
      fit_cache_.try_emplace({entry.wanted, is_outside_guarantees}, false);
  if (added) {
    it->second = FitsInventory(*entry.wanted, is_outside_guarantees);
  }
  if (it->second) {
    return std::nullopt;
  }
  counters_.AddError(error_kind::kNeverFits);
  return Fail(error_kind::kNeverFits,
              "shape " + entry.wanted->id.value +
                  (is_outside_guarantees
                       ? " does not fit beside the guarantees of all teams"
                       : " does not fit any group of workers"));
}

std::optional<error> planner::impl::Add(const planned_job& job) {
  if (config_ == nullptr) {
    return Fail(error_kind::kNoConfiguration);
  }
  if (jobs_.Find(job.id) >= 0) {
    return std::nullopt;
  }
  job_entry entry;
  entry.job = job;
  Resolve(entry);
  if (!entry.IsPlaceable()) {
    return Fail(error_kind::kNotFound, "no such shape, team or job class");
  }
  if (std::optional<error> refusal = CheckFits(entry)) {
    return refusal;
  }
  entry.order = {job.submitted, next_sequence_++};
  if (entry.wanted->TotalAccelerators() > 1) {
    demand_by_size_[entry.wanted->per_worker.accelerators] +=
        static_cast<double>(job.declared_run.count()) *
        entry.wanted->TotalAccelerators();
  }
  if (entry.wanted->level == shape_level::kRack) {
    rack_demand_by_workers_[entry.wanted->workers] +=
        static_cast<double>(job.declared_run.count()) *
        entry.wanted->TotalAccelerators();
  }
  jobs_.Enqueue(jobs_.Insert(std::move(entry)));
  return std::nullopt;
}

void planner::impl::AddPlaced(const planned_job& job,
                              const std::vector<worker_id>& workers,
                              bool is_borrowed,
                              job_phase phase,
                              instant started) {
  if (config_ == nullptr || jobs_.Find(job.id) >= 0) {
    return;
  }
  job_entry entry;
  entry.job = job;
  entry.order = {job.submitted, next_sequence_++};
  entry.started = started;
  entry.phase = phase == job_phase::kStopping ? job_phase::kRunning : phase;
  entry.worker_names = workers;
  Resolve(entry);
  for (const worker_id& name : workers) {
    entry.workers.push_back(workers_.IndexOf(name));
  }
  if (entry.wanted != nullptr) {
    entry.need = entry.wanted->per_worker;
  } else if (!workers.empty()) {
    // The shape was removed and the need is unknown: use the full capacity, so
    // that no other job is placed beside it.
    entry.need = workers_[entry.workers.front()].capacity;
  }
  const int index = jobs_.Insert(std::move(entry));
  if (phase == job_phase::kWaiting) {
    jobs_[index].workers.clear();
    jobs_[index].worker_names.clear();
    jobs_.Enqueue(index);
    return;
  }
  jobs_[index].terms = is_borrowed ? hold_terms::kBorrowed : hold_terms::kFirm;
  HoldWorkers(index);
  if (!is_borrowed && !AdoptCell(index)) {
    PromiseFirm(index);
  }
  if (phase == job_phase::kStopping) {
    MarkStopping(index, true);
  }
}

// Binds an unused cell of the team to the workers that the job holds. Returns
// false if no cell fits.
bool planner::impl::AdoptCell(int job) {
  job_entry& entry = jobs_[job];
  if (!entry.IsPlaceable() || IsBaseline()) {
    return false;
  }
  for (const int cell : cells_.OfTeam(entry.team)) {
    const shape& promised = cells_[cell].promised;
    if (cells_[cell].IsUsed() || !CanHold(promised, *entry.wanted)) {
      continue;
    }
    if (!cells_.UnbindUnusedCells(entry.workers, promised.per_worker)) {
      continue;
    }
    if (cells_[cell].IsBound()) {
      cells_.Unbind(cell);
    }
    are_promises_stale_ = true;
    const auto cost = [&](int worker) -> std::optional<double> {
      if (!workers_[worker].Unpromised().Holds(promised.per_worker)) {
        return std::nullopt;
      }
      return IsInside(entry.workers, {worker}) ? 0 : 1;
    };
    const auto group = FindGroup(workers_, promised.level, promised.workers,
                                 group_order::kTightest, cost);
    if (group && IsInside(group->workers, entry.workers)) {
      cells_.Bind(cell, group->workers);
      cells_.Enter(cell, entry.workers, entry.need);
      entry.cell = cell;
      entry.terms = hold_terms::kGuaranteed;
      return true;
    }
  }
  return false;
}

// Promises the workers of a firm job to it, even if the guarantees then no
// longer fit.
void planner::impl::PromiseFirm(int job) {
  const job_entry& entry = jobs_[job];
  cells_.UnbindUnusedCells(entry.workers, entry.need);
  for (const int worker : entry.workers) {
    workers_[worker].promised += entry.need;
  }
  are_promises_stale_ = true;
}

void planner::impl::DetachFromCell(int job) {
  job_entry& entry = jobs_[job];
  cells_.Leave(entry.cell, entry.workers, entry.need);
  if (!cells_[entry.cell].IsUsed()) {
    cells_.Unbind(entry.cell);
  }
  entry.cell = -1;
  entry.terms = hold_terms::kFirm;
  PromiseFirm(job);
}

void planner::impl::HoldWorkers(int job) {
  const job_entry& entry = jobs_[job];
  for (const int worker : entry.workers) {
    workers_.Hold(worker, job, entry.need);
    if (entry.terms != hold_terms::kBorrowed) {
      workers_[worker].immovable_accelerators += entry.need.accelerators;
    }
    if (entry.phase == job_phase::kStopping) {
      workers_[worker].stopping += entry.need;
    }
  }
  if (entry.team >= 0) {
    teams_[static_cast<std::size_t>(entry.team)].accelerators +=
        entry.Accelerators();
  }
}

void planner::impl::ReleaseWorkers(int job) {
  job_entry& entry = jobs_[job];
  if (entry.terms == hold_terms::kNone) {
    return;
  }
  MarkStopping(job, false);
  for (const int worker : entry.workers) {
    workers_.Release(worker, job, entry.need);
    if (entry.terms != hold_terms::kBorrowed) {
      workers_[worker].immovable_accelerators -= entry.need.accelerators;
    }
  }
  if (entry.team >= 0) {
    teams_[static_cast<std::size_t>(entry.team)].accelerators -=
        entry.Accelerators();
  }
  RevokePromise(job);
}

// Revokes the promise to a job and clears its workers.
void planner::impl::RevokePromise(int job) {
  job_entry& entry = jobs_[job];
  if (entry.terms == hold_terms::kGuaranteed) {
    cells_.Leave(entry.cell, entry.workers, entry.need);
    are_promises_stale_ = true;
  }
  if (entry.terms == hold_terms::kFirm) {
    for (const int worker : entry.workers) {
      workers_[worker].promised -= entry.need;
    }
    are_promises_stale_ = true;
  }
  entry.cell = -1;
  entry.terms = hold_terms::kNone;
  entry.workers.clear();
  entry.worker_names.clear();
}

void planner::impl::DropClaim(int job) {
  job_entry& entry = jobs_[job];
  for (const int worker : entry.workers) {
    workers_.Unclaim(worker, job, entry.need);
  }
  entry.claiming = false;
  claiming_.erase(job);
  RevokePromise(job);
  jobs_.Enqueue(job);
}

// Called when a moved job has stopped: its claim continues on the target
// workers of the move.
void planner::impl::ClaimMoveTarget(int job) {
  job_entry& entry = jobs_[job];
  entry.workers = std::move(entry.move_to);
  entry.move_to.clear();
  entry.terms = hold_terms::kBorrowed;
  entry.claiming = true;
  claiming_.insert(job);
}

void planner::impl::DropMove(int job) {
  job_entry& entry = jobs_[job];
  for (const int worker : entry.move_to) {
    workers_.Unclaim(worker, job, entry.need);
  }
  entry.move_to.clear();
}

void planner::impl::MarkStopping(int job, bool stopping) {
  job_entry& entry = jobs_[job];
  const bool marked = entry.phase == job_phase::kStopping;
  unconfirmed_stops_.erase(job);
  if (marked == stopping) {
    return;
  }
  for (const int worker : entry.workers) {
    if (stopping) {
      workers_[worker].stopping += entry.need;
    } else {
      workers_[worker].stopping -= entry.need;
    }
  }
  entry.phase = stopping ? job_phase::kStopping : job_phase::kRunning;
}

void planner::impl::SetPhase(const job_id& job, job_phase phase, instant now) {
  const int index = jobs_.Find(job);
  if (index < 0 || jobs_[index].terms == hold_terms::kNone ||
      jobs_[index].claiming) {
    return;
  }
  job_entry& entry = jobs_[index];
  switch (phase) {
    case job_phase::kWaiting:
      ReleaseWorkers(index);
      entry.phase = job_phase::kWaiting;
      if (entry.move_to.empty()) {
        jobs_.Enqueue(index);
      } else {
        ClaimMoveTarget(index);
      }
      return;
    case job_phase::kStopping:
      MarkStopping(index, true);
      return;
    case job_phase::kRunning:
      entry.started = entry.phase == job_phase::kStarting ? now : entry.started;
      [[fallthrough]];
    case job_phase::kStarting:
      DropMove(index);
      MarkStopping(index, false);
      entry.phase = phase;
      return;
  }
}

void planner::impl::SetCheckpointed(const job_id& job, instant now) {
  const int index = jobs_.Find(job);
  if (index >= 0) {
    jobs_[index].checkpointed = now;
  }
}

void planner::impl::Remove(const job_id& job, std::optional<duration> run) {
  const int index = jobs_.Find(job);
  if (index < 0) {
    return;
  }
  const job_entry& entry = jobs_[index];
  if (run) {
    estimates_.Add(entry.job.team, entry.job.job_class, entry.job.declared_run,
                   *run);
  }
  if (entry.claiming) {
    DropClaim(index);
  }
  DropMove(index);
  if (entry.terms == hold_terms::kNone) {
    jobs_.Dequeue(index);
  } else {
    ReleaseWorkers(index);
  }
  DropReservationOf(index);
  jobs_.Erase(index);
}

std::vector<team_id> planner::impl::BrokenGuarantees() const {
  std::set<team_id> broken;
  for (int cell = 0; cell < cells_.size(); ++cell) {
    if (!cells_[cell].IsBound()) {
      broken.insert(teams_[static_cast<std::size_t>(cells_[cell].team)].id);
    }
  }
  return {broken.begin(), broken.end()};
}

}  // namespace sassafras

#include "sassafras/job/planner.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include "sassafras/core/result.h"
#include "sassafras/world/packing.h"

namespace sassafras {
namespace {

struct policy_row {
  planner_policy policy;
  std::string_view name;
};

constexpr std::array<policy_row, 3> kPolicies = {{
    {planner_policy::kFirstFit, "first_fit"},
    {planner_policy::kBestFit, "best_fit"},
    {planner_policy::kReserve, "reserve"},
}};

}  // namespace

std::string_view GetName(planner_policy policy) {
  return kPolicies.at(static_cast<std::size_t>(policy)).name;
}

/// First fit in order of arrival; every job is placed as borrowed work.
class planner::impl {
 public:
  struct entry {
    planned_job job;
    job_phase phase = job_phase::kWaiting;
    std::vector<worker_id> workers;
  };

  std::vector<worker_space> Spaces(std::vector<worker_id>& ids,
                                   bool only_free) const {
    std::vector<worker_space> spaces;
    std::map<place_id, int> places;
    std::map<rack_id, int> racks;
    for (const auto& [id, item] : config->objects.workers) {
      const rack_id& rack = item.rack;
      const place_id& place = config->objects.racks.at(rack).place;
      worker_space space;
      space.rack =
          racks.emplace(rack, static_cast<int>(racks.size())).first->second;
      space.place =
          places.emplace(place, static_cast<int>(places.size())).first->second;
      space.free = item.capacity;
      if (only_free && (item.leaving || unusable.contains(id))) {
        space.free = {};
      }
      ids.push_back(id);
      spaces.push_back(space);
    }
    return spaces;
  }

  std::vector<worker_id> Find(const shape& wanted, bool only_free) const {
    std::vector<worker_id> ids;
    std::vector<worker_space> spaces = Spaces(ids, only_free);
    if (only_free) {
      Subtract(ids, spaces);
    }
    const auto packing = PackShapes(
        std::move(spaces), {{wanted.level, wanted.workers, wanted.per_worker,
                             /*count=*/1}});
    std::vector<worker_id> chosen;
    if (packing) {
      for (const int index : packing->front().workers) {
        chosen.push_back(ids[static_cast<std::size_t>(index)]);
      }
    }
    return chosen;
  }

  void Subtract(const std::vector<worker_id>& ids,
                std::vector<worker_space>& spaces) const {
    std::map<worker_id, std::size_t> index;
    for (std::size_t i = 0; i < ids.size(); ++i) {
      index[ids[i]] = i;
    }
    for (const auto& [id, item] : jobs) {
      const auto found = config->objects.shapes.find(item.job.shape);
      for (const worker_id& holder : item.workers) {
        const auto at = index.find(holder);
        if (at != index.end() && found != config->objects.shapes.end()) {
          spaces[at->second].free -= found->second.per_worker;
        }
      }
    }
  }

  config_ptr config;
  std::set<worker_id> unusable;
  std::map<job_id, entry> jobs;
  std::vector<job_id> queue;
};

planner::planner(planner_options /*options*/, counter_table& /*counters*/)
    : impl_(std::make_unique<impl>()) {}

planner::~planner() = default;

void planner::SetConfig(const config_ptr& config) {
  impl_->config = config;
}

void planner::SetUsable(const worker_id& worker, bool usable) {
  if (usable) {
    impl_->unusable.erase(worker);
  } else {
    impl_->unusable.insert(worker);
  }
}

std::optional<error> planner::Add(const planned_job& job) {
  const config_set& objects = impl_->config->objects;
  if (!objects.shapes.contains(job.shape) ||
      !objects.teams.contains(job.team) ||
      !objects.classes.contains(job.job_class)) {
    return Fail(error_kind::kNotFound, "no such shape, team or class");
  }
  if (impl_->Find(objects.shapes.at(job.shape), /*only_free=*/false).empty()) {
    return Fail(error_kind::kNeverFits, job.shape.value);
  }
  impl_->jobs[job.id] = {job, job_phase::kWaiting, {}};
  impl_->queue.push_back(job.id);
  return std::nullopt;
}

void planner::AddPlaced(const planned_job& job,
                        const std::vector<worker_id>& workers,
                        bool /*borrowed*/,
                        job_phase phase,
                        instant /*started*/) {
  impl_->jobs[job.id] = {job, phase, workers};
}

void planner::SetPhase(const job_id& job, job_phase phase, instant /*now*/) {
  const auto it = impl_->jobs.find(job);
  if (it == impl_->jobs.end()) {
    return;
  }
  it->second.phase = phase;
  if (phase == job_phase::kWaiting) {
    it->second.workers.clear();
    impl_->queue.push_back(job);
  }
}

void planner::SetCheckpointed(const job_id& /*job*/, instant /*now*/) {}

void planner::Remove(const job_id& job, std::optional<duration> /*run*/) {
  impl_->jobs.erase(job);
  std::erase(impl_->queue, job);
}

plan planner::Decide(instant /*now*/) {
  plan decided;
  std::vector<job_id> left;
  bool blocked = false;
  for (const job_id& id : impl_->queue) {
    impl::entry& item = impl_->jobs.at(id);
    const auto found = impl_->config->objects.shapes.find(item.job.shape);
    if (!blocked && found != impl_->config->objects.shapes.end()) {
      item.workers = impl_->Find(found->second, /*only_free=*/true);
    }
    if (item.workers.empty()) {
      blocked = true;
      left.push_back(id);
      continue;
    }
    item.phase = job_phase::kStarting;
    decided.starts.push_back({id, item.workers, /*borrowed=*/true});
  }
  impl_->queue = std::move(left);
  return decided;
}

std::string planner::Explain(const job_id& job) const {
  const auto it = impl_->jobs.find(job);
  if (it == impl_->jobs.end()) {
    return "The job is not known.";
  }
  return it->second.phase == job_phase::kWaiting
             ? "Waiting for free workers of shape " +
                   it->second.job.shape.value + "."
             : "The job holds its workers.";
}

std::vector<team_id> planner::BrokenGuarantees() const {
  return {};
}

}  // namespace sassafras

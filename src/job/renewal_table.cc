#include "src/job/renewal_table.h"

#include <algorithm>

namespace sassafras::job {
namespace {

// Of many workers that are due at once, only a part is called at once.
constexpr std::size_t kLeastCalls = 64;
constexpr std::size_t kSpread = 10;

}  // namespace

void renewal_table::Add(const job_row& row) {
  for (std::size_t i = 0; i < row.placement.size(); ++i) {
    const task_place& place = row.placement[i];
    worker_tasks& known = workers_[place.worker];
    known.address = place.address;
    known.next = {};
    known.tasks.emplace(MakeTaskId(row.id, row.attempt, static_cast<int>(i)),
                        row.id);
  }
}

void renewal_table::Remove(const job_row& row) {
  for (std::size_t i = 0; i < row.placement.size(); ++i) {
    const auto it = workers_.find(row.placement[i].worker);
    if (it == workers_.end()) {
      continue;
    }
    it->second.tasks.erase(
        MakeTaskId(row.id, row.attempt, static_cast<int>(i)));
    if (it->second.tasks.empty()) {
      workers_.erase(it);
    }
  }
}

std::vector<renew_tasks> renewal_table::Due(instant now,
                                            duration interval,
                                            duration lease) {
  std::vector<renew_tasks> calls;
  const std::size_t most = std::max(kLeastCalls, workers_.size() / kSpread);
  for (auto& [worker, known] : workers_) {
    if (calls.size() == most) {
      break;
    }
    if (known.is_in_flight || now < known.next) {
      continue;
    }
    known.is_in_flight = true;
    known.next = now + interval;
    renew_tasks call{worker, known.address, now, {}, lease};
    for (const auto& [task, job] : known.tasks) {
      call.tasks.push_back(task);
    }
    calls.push_back(std::move(call));
  }
  return calls;
}

void renewal_table::OnAnswer(const worker_id& worker) {
  const auto it = workers_.find(worker);
  if (it != workers_.end()) {
    it->second.is_in_flight = false;
  }
}

std::set<job_id> renewal_table::JobsOn(const worker_id& worker) const {
  std::set<job_id> jobs;
  const auto it = workers_.find(worker);
  if (it != workers_.end()) {
    for (const auto& [task, job] : it->second.tasks) {
      jobs.insert(job);
    }
  }
  return jobs;
}

}  // namespace sassafras::job

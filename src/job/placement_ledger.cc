#include "src/job/placement_ledger.h"

#include <set>

namespace sassafras::job {

bool placement_ledger::Fits(const config_set& objects,
                            const std::vector<worker_id>& workers,
                            const resources& need) const {
  const std::set<worker_id> distinct(workers.begin(), workers.end());
  if (distinct.size() != workers.size()) {
    return false;
  }
  for (const worker_id& id : workers) {
    const auto known = objects.workers.find(id);
    if (known == objects.workers.end()) {
      return false;
    }
    resources free = known->second.capacity;
    const auto held = held_.find(id);
    if (held != held_.end()) {
      free -= held->second;
    }
    if (!free.Holds(need)) {
      return false;
    }
  }
  return true;
}

void placement_ledger::Book(const job_id& job,
                            const std::vector<worker_id>& workers,
                            const resources& need) {
  Free(job);
  for (const worker_id& worker : workers) {
    held_[worker] += need;
  }
  bookings_[job] = {workers, need};
}

void placement_ledger::Free(const job_id& job) {
  const auto it = bookings_.find(job);
  if (it == bookings_.end()) {
    return;
  }
  for (const worker_id& worker : it->second.workers) {
    held_[worker] -= it->second.need;
  }
  bookings_.erase(it);
}

}  // namespace sassafras::job

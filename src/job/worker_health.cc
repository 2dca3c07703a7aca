#include "sassafras/job/worker_health.h"

#include <algorithm>

namespace sassafras {

namespace {

// Returns `first` doubled `times` times, limited to `longest`.
duration Doubled(duration first, int times, duration longest) {
  for (int i = 0; i < times && first < longest; ++i) {
    first *= 2;
  }
  return std::min(first, longest);
}

}  // namespace

worker_health::worker_health(worker_health_options options,
                             counter_table& counters)
    : options_(options), counters_(counters) {}

void worker_health::SetWorkers(const std::set<worker_id>& workers) {
  std::erase_if(workers_, [&](const auto& entry) {
    return workers.count(entry.first) == 0;
  });
  for (const worker_id& worker : workers) {
    workers_.try_emplace(worker);
  }
}

void worker_health::ResetReachable() {
  for (auto& [id, record] : workers_) {
    record.is_reachable = false;
    record.is_clean = false;
  }
}

void worker_health::OnAnswer(const worker_id& worker, bool is_answered) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) {
    return;
  }
  worker_record& record = it->second;
  if (is_answered) {
    record.failed_calls = 0;
    record.is_reachable = true;
    return;
  }
  ++record.failed_calls;
  if (record.failed_calls >= options_.failed_calls && record.is_reachable) {
    record.is_reachable = false;
    // When it is reachable again, it may still run tasks that were abandoned in
    // the meantime.
    record.is_clean = false;
    counters_.Add("worker_unreachable");
  }
}

void worker_health::OnTasksListed(const worker_id& worker, bool is_clean) {
  const auto it = workers_.find(worker);
  if (it != workers_.end()) {
    it->second.is_clean = is_clean;
  }
}

void worker_health::OnTaskFailed(const worker_id& worker,
                                 const job_id& job,
                                 instant now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) {
    return;
  }
  worker_record& record = it->second;
  record.failed_jobs.insert(job);
  ++record.failures;
  counters_.Add("worker_task_failed");
  const bool has_enough_evidence =
      static_cast<int>(record.failed_jobs.size()) >=
      options_.quarantine_failed_jobs;
  if (!record.is_quarantined &&
      (has_enough_evidence || record.is_on_probation)) {
    Quarantine(record, now);
    return;
  }
  if (!record.is_quarantined && now >= record.excluded_until &&
      CanExcludeAnother(now)) {
    record.excluded_until =
        now + Doubled(options_.suspect_hold, record.failures - 1,
                      options_.quarantine_time);
  }
}

void worker_health::Quarantine(worker_record& record, instant now) {
  // A suspect already counts towards the cap, so only others are checked.
  if (now >= record.excluded_until && !CanExcludeAnother(now)) {
    counters_.Add("quarantine_refused_cap");
    return;
  }
  const duration time = Doubled(options_.quarantine_time, record.quarantines,
                                options_.max_quarantine_time);
  record.is_quarantined = true;
  record.is_on_probation = false;
  ++record.quarantines;
  record.excluded_until = now + time;
  counters_.Add("worker_quarantined");
}

bool worker_health::CanExcludeAnother(instant now) const {
  const auto excluded =
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.second.is_quarantined || now < entry.second.excluded_until;
      });
  const auto cap = std::max<std::size_t>(
      1, workers_.size() *
             static_cast<std::size_t>(options_.quarantine_cap_percent) / 100);
  return static_cast<std::size_t>(excluded) < cap;
}

void worker_health::OnTaskSucceeded(const worker_id& worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.is_quarantined) {
    return;
  }
  it->second.failed_jobs.clear();
  it->second.failures = 0;
  it->second.is_on_probation = false;
  it->second.quarantines = 0;
}

void worker_health::OnJobAtFault(const job_id& job) {
  for (auto& [id, record] : workers_) {
    if (record.failed_jobs.erase(job) == 0) {
      continue;
    }
    const bool has_enough_evidence =
        static_cast<int>(record.failed_jobs.size()) >=
        options_.quarantine_failed_jobs;
    if (record.is_quarantined && !has_enough_evidence &&
        record.quarantines == 1) {
      record.is_quarantined = false;
      record.quarantines = 0;
      record.excluded_until = {};
      counters_.Add("worker_exonerated");
    }
  }
}

std::vector<worker_id> worker_health::DueProbes(instant now) const {
  std::vector<worker_id> due;
  for (const auto& [id, record] : workers_) {
    if (record.is_quarantined && now >= record.excluded_until) {
      due.push_back(id);
    }
  }
  return due;
}

void worker_health::OnProbe(const worker_id& worker,
                            bool is_success,
                            instant now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || !it->second.is_quarantined) {
    return;
  }
  worker_record& record = it->second;
  record.is_quarantined = false;
  if (is_success) {
    record.is_on_probation = true;
    record.failed_jobs.clear();
    record.failures = 0;
    record.excluded_until = {};
    counters_.Add("worker_returned_on_trial");
    return;
  }
  record.excluded_until = now + options_.suspect_hold;
  Quarantine(record, now);
}

bool worker_health::IsUsable(const worker_id& worker, instant now) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.is_reachable &&
         it->second.is_clean && !it->second.is_quarantined &&
         now >= it->second.excluded_until;
}

bool worker_health::IsQuarantined(const worker_id& worker) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.is_quarantined;
}

std::vector<worker_id> worker_health::Quarantined() const {
  std::vector<worker_id> list;
  for (const auto& [id, record] : workers_) {
    if (record.is_quarantined) {
      list.push_back(id);
    }
  }
  return list;
}

}  // namespace sassafras

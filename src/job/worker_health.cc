#include "sassafras/job/worker_health.h"

#include <algorithm>

namespace sassafras {

namespace {

// `first`, doubled `times` times, at most `longest`.
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
  for (auto& [id, known] : workers_) {
    known.is_reachable = false;
    known.is_clean = false;
  }
}

void worker_health::OnAnswer(const worker_id& worker, bool is_answered) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) {
    return;
  }
  standing& known = it->second;
  if (is_answered) {
    known.lost_calls = 0;
    known.is_reachable = true;
    return;
  }
  ++known.lost_calls;
  if (known.lost_calls >= options_.lost_calls && known.is_reachable) {
    known.is_reachable = false;
    // It may come back with tasks that were given up meanwhile.
    known.is_clean = false;
    counters_.Add("worker_unreachable");
  }
}

void worker_health::OnListed(const worker_id& worker, bool is_clean) {
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
  standing& known = it->second;
  known.failed_jobs.insert(job);
  ++known.failures;
  counters_.Add("worker_task_failed");
  const bool is_proven =
      static_cast<int>(known.failed_jobs.size()) >= options_.evidence_jobs;
  if (!known.is_quarantined && (is_proven || known.is_on_trial)) {
    Quarantine(known, now);
    return;
  }
  if (!known.is_quarantined && now >= known.held_until && MayHoldAnother(now)) {
    known.held_until = now + Doubled(options_.suspect_hold, known.failures - 1,
                                     options_.quarantine_time);
  }
}

void worker_health::Quarantine(standing& known, instant now) {
  // A suspect already counts towards the cap.
  if (now >= known.held_until && !MayHoldAnother(now)) {
    counters_.Add("quarantine_refused_cap");
    return;
  }
  const duration time = Doubled(options_.quarantine_time, known.quarantines,
                                options_.longest_quarantine);
  known.is_quarantined = true;
  known.is_on_trial = false;
  ++known.quarantines;
  known.held_until = now + time;
  counters_.Add("worker_quarantined");
}

bool worker_health::MayHoldAnother(instant now) const {
  const auto held =
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.second.is_quarantined || now < entry.second.held_until;
      });
  const auto cap = std::max<std::size_t>(
      1, workers_.size() *
             static_cast<std::size_t>(options_.quarantine_cap_percent) / 100);
  return static_cast<std::size_t>(held) < cap;
}

void worker_health::OnTaskSucceeded(const worker_id& worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.is_quarantined) {
    return;
  }
  it->second.failed_jobs.clear();
  it->second.failures = 0;
  it->second.is_on_trial = false;
  it->second.quarantines = 0;
}

void worker_health::OnJobAtFault(const job_id& job) {
  for (auto& [id, known] : workers_) {
    if (known.failed_jobs.erase(job) == 0) {
      continue;
    }
    const bool is_proven =
        static_cast<int>(known.failed_jobs.size()) >= options_.evidence_jobs;
    if (known.is_quarantined && !is_proven && known.quarantines == 1) {
      known.is_quarantined = false;
      known.quarantines = 0;
      known.held_until = {};
      counters_.Add("worker_exonerated");
    }
  }
}

std::vector<worker_id> worker_health::DueProbes(instant now) const {
  std::vector<worker_id> due;
  for (const auto& [id, known] : workers_) {
    if (known.is_quarantined && now >= known.held_until) {
      due.push_back(id);
    }
  }
  return due;
}

void worker_health::OnProbe(const worker_id& worker,
                            bool is_good,
                            instant now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || !it->second.is_quarantined) {
    return;
  }
  standing& known = it->second;
  known.is_quarantined = false;
  if (is_good) {
    known.is_on_trial = true;
    known.failed_jobs.clear();
    known.failures = 0;
    known.held_until = {};
    counters_.Add("worker_returned_on_trial");
    return;
  }
  known.held_until = now + options_.suspect_hold;
  Quarantine(known, now);
}

bool worker_health::IsUsable(const worker_id& worker, instant now) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.is_reachable &&
         it->second.is_clean && !it->second.is_quarantined &&
         now >= it->second.held_until;
}

bool worker_health::IsQuarantined(const worker_id& worker) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.is_quarantined;
}

std::vector<worker_id> worker_health::Quarantined() const {
  std::vector<worker_id> list;
  for (const auto& [id, known] : workers_) {
    if (known.is_quarantined) {
      list.push_back(id);
    }
  }
  return list;
}

}  // namespace sassafras

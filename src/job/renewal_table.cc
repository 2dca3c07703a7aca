#include "src/job/renewal_table.h"

#include <algorithm>

namespace sassafras::job {
namespace {

// Due() returns at most one tenth of the workers, but at least 64 calls, so
// that renewals due at the same time are spread over several ticks.
constexpr std::size_t kMinCallsPerRound = 64;
constexpr std::size_t kRoundsPerPass = 10;

}  // namespace

void renewal_table::Add(const job_row& row) {
  for (std::size_t i = 0; i < row.placement.size(); ++i) {
    const task_place& place = row.placement[i];
    worker_tasks& known = workers_[place.worker];
    known.address = place.address;
    known.next = {};
    const task_id task = MakeTaskId(row.id, row.attempt, static_cast<int>(i));
    known.tasks.emplace(task, row.id);
    confirmed_[row.id].emplace(task, instant());
  }
}

void renewal_table::Clear() {
  workers_.clear();
  confirmed_.clear();
}

void renewal_table::Remove(const job_row& row) {
  confirmed_.erase(row.id);
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
                                            duration lease,
                                            scope selected) {
  std::vector<renew_tasks> calls;
  const std::size_t max_calls =
      std::max(kMinCallsPerRound, workers_.size() / kRoundsPerPass);
  for (auto& [worker, known] : workers_) {
    if (calls.size() == max_calls) {
      break;
    }
    if (known.is_in_flight || now < known.next) {
      continue;
    }
    known.next = now + interval;
    renew_tasks call{worker, known.address, now, {}, lease};
    for (const auto& [task, job] : known.tasks) {
      if (selected == scope::kAll || IsWhole(job, now, lease)) {
        call.tasks.push_back(task);
      }
    }
    if (!call.tasks.empty()) {
      known.is_in_flight = true;
      calls.push_back(std::move(call));
    }
  }
  return calls;
}

bool renewal_table::IsWhole(const job_id& job,
                            instant now,
                            duration lease) const {
  const auto gang = confirmed_.find(job);
  return gang != confirmed_.end() &&
         std::all_of(
             gang->second.begin(), gang->second.end(),
             [&](const auto& entry) { return now - entry.second <= lease; });
}

void renewal_table::ConfirmAll(instant now) {
  for (auto& [job, tasks] : confirmed_) {
    for (auto& [task, confirmed] : tasks) {
      confirmed = now;
    }
  }
}

void renewal_table::OnAnswer(const worker_id& worker,
                             instant sent,
                             const report_answer& answer) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) {
    return;
  }
  it->second.is_in_flight = false;
  if (answer.state != answer_state::kDone) {
    return;
  }
  for (const task_report& report : answer.tasks) {
    const auto known = it->second.tasks.find(report.task);
    if (known == it->second.tasks.end()) {
      continue;
    }
    instant& confirmed = confirmed_[known->second][report.task];
    switch (report.state) {
      case task_state::kHeld:
      case task_state::kRunning:
        confirmed = std::max(confirmed, sent);
        break;
      case task_state::kEnded:
        // An ended task needs no lease and counts as confirmed from now on.
        confirmed = instant::max();
        break;
      case task_state::kFailed:
      case task_state::kStopped:
        confirmed = instant();
        break;
    }
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

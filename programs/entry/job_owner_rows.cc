#include "programs/entry/job_owner.h"

#include <chrono>
#include <utility>

#include "sassafras/net/table_scan.h"
#include "sassafras/sched/job_codec.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

// A minion that is leaving must not get a task later than 2 s after it was
// listed so.
constexpr duration kMinionListInterval = 600ms;
constexpr duration kLongPollTimeout = 2s;
// Time for which loaded rows are applied without a break: a small part of the
// margin in which the lease must be renewed.
constexpr duration kLoadSlice = 20ms;
// The counts of waiting jobs that callers read may be at most 2 s old.
constexpr duration kWaitingCountsInterval = 700ms;
constexpr duration kExpiryInterval = 10s;
constexpr std::size_t kMaxErasedPerCommit = 30;

// Prefixes of the rows of all jobs.
std::vector<std::string> JobPrefixes() {
  std::vector<std::string> prefixes;
  prefixes.reserve(sched::kJobParts);
  for (int part = 0; part < sched::kJobParts; ++part) {
    prefixes.push_back(sched::JobPartPrefix(part));
  }
  return prefixes;
}

// Whether the transaction that erases the row under `key` has succeeded, now or
// in an earlier try whose answer was lost.
bool IsRowGone(const commit_answer& answer, const std::string& key) {
  if (answer.state == answer_state::kDone) {
    return true;
  }
  const table_row* row = FindRow(answer.rows, key);
  return answer.reason == error_kind::kConflict && row != nullptr &&
         row->version == 0;
}

}  // namespace

// A job's row without a record is taken for a job that has never run. So that
// this is true, each load reads the records before the jobs, the rows of an
// ended job are erased in the other order, and the core knows the job until
// both are gone.
void job_owner::LoadRows(std::uint64_t tenure,
                         std::function<void(const loaded_rows& rows)> done) {
  const auto rows = std::make_shared<loaded_rows>();
  const auto on_jobs = [self = shared_from_this(), tenure, rows,
                        done = std::move(done)](read_answer jobs) {
    rows->jobs = std::move(jobs.rows);
    rows->version = jobs.store_version;
    self->ApplyLoadedRows(tenure, rows, done);
  };
  LoadTable(
      tenure, {sched::kRecordTable},
      [self = shared_from_this(), tenure, rows, on_jobs](read_answer records) {
        for (table_row& row : records.rows) {
          rows->records[row.key] = std::move(row);
        }
        self->LoadTable(tenure, JobPrefixes(), on_jobs);
      });
}

void job_owner::LoadJobs(std::uint64_t tenure) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    core_->OnConfig(config_);
  }
  LoadRows(tenure,
           [self = shared_from_this(), tenure](const loaded_rows& rows) {
             self->OnJobsLoaded(tenure, rows);
           });
}

// Scans the rows under the prefixes, with retries until it succeeds or the
// tenure has ended.
void job_owner::LoadTable(std::uint64_t tenure,
                          const std::vector<std::string>& prefixes,
                          std::function<void(read_answer)> done) {
  ScanPrefixes(table_, prefixes,
               [self = shared_from_this(), tenure, prefixes,
                done = std::move(done)](read_answer answer) {
                 if (!self->IsCurrentTenure(tenure)) {
                   return;
                 }
                 if (answer.state == answer_state::kDone) {
                   done(std::move(answer));
                   return;
                 }
                 self->counters_.Add("owner_load_failed");
                 LogEvent("owner_load_failed", {{"table", prefixes.front()}});
                 self->hooks_.after(kRetryDelay,
                                    [self, tenure, prefixes, done] {
                                      self->LoadTable(tenure, prefixes, done);
                                    });
               });
}

bool job_owner::IsCurrentTenure(std::uint64_t tenure) const {
  const std::lock_guard lock(mutex_);
  return core_ != nullptr && tenure_ == tenure;
}

// Applies rows for up to kLoadSlice, and the others after what has become due
// meanwhile: the renewal of the lease above all.
void job_owner::ApplyLoadedRows(
    std::uint64_t tenure,
    const std::shared_ptr<loaded_rows>& rows,
    const std::function<void(const loaded_rows& rows)>& done) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    const instant end = hooks_.now() + kLoadSlice;
    while (rows->next < rows->jobs.size() && hooks_.now() < end) {
      ApplyJobRow(rows->jobs[rows->next++], rows->records);
    }
  }
  if (rows->next == rows->jobs.size()) {
    done(*rows);
    return;
  }
  counters_.Add("owner_load_slices");
  hooks_.after(duration(0), [self = shared_from_this(), tenure, rows, done] {
    self->ApplyLoadedRows(tenure, rows, done);
  });
}

void job_owner::OnJobsLoaded(std::uint64_t tenure, const loaded_rows& rows) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    are_jobs_loaded_ = true;
  }
  LogEvent("jobs_loaded",
           {{"jobs", std::to_string(rows.jobs.size())},
            {"records", std::to_string(rows.records.size())},
            {"since_gained_ms", std::to_string(OwnedFor().count() / 1000)},
            {"version", std::to_string(rows.version)}});
  FollowJobs(tenure, rows.version);
  ListMinions(tenure);
  PublishWaitingCounts(tenure);
  if (settings_.policy.admission_control ||
      settings_.policy.share_between_teams) {
    LoadForecast(tenure);
  }
  EraseExpiredJobs(tenure);
  if (adapter_.machines.list) {
    LoadWaves(tenure);
  }
  ScheduleDecision(kDecisionBatchDelay);
}

// Passes the row of a job or of a cancellation to the core. Called with the
// lock held.
void job_owner::ApplyJobRow(const table_row& row,
                            const std::map<std::string, table_row>& records) {
  if (row.is_erased) {
    tombstones_.erase(row.key);
    return;
  }
  const instant now = hooks_.now();
  const std::string cancelled_id = sched::CancelledId(row.key);
  if (!cancelled_id.empty()) {
    core_->OnCancel(now, cancelled_id, row.version);
    return;
  }
  const auto decoded = sched::DecodeJobRow(row.value);
  if (!decoded) {
    counters_.Add("job_row_malformed");
    LogEvent("job_row_malformed",
             {{"key", row.key}, {"detail", decoded.error().detail}});
    return;
  }
  if (!decoded.value().IsAccepted()) {
    NoteTombstone(row);
    return;
  }
  tombstones_.erase(row.key);
  const sched::accepted_job& job = decoded.value().job;
  const auto it = records.find(sched::kRecordTable + job.id);
  if (it == records.end()) {
    core_->OnJob(now, job, row.version, std::nullopt, 0);
    return;
  }
  const auto record = sched::DecodeRecord(it->second.value);
  if (!record) {
    counters_.Add("record_malformed");
    LogEvent("record_malformed",
             {{"job", job.id}, {"detail", record.error().detail}});
    return;
  }
  core_->OnJob(now, job, row.version, record.value(), it->second.version);
}

void job_owner::FollowJobs(std::uint64_t tenure, std::uint64_t after) {
  table_.follow(
      sched::kJobTable, after, kLongPollTimeout,
      [self = shared_from_this(), tenure, after](const follow_answer& answer) {
        {
          const std::lock_guard lock(self->mutex_);
          if (!self->core_ || self->tenure_ != tenure) {
            return;
          }
          for (const table_row& row : answer.rows) {
            self->ApplyJobRow(row, {});
          }
        }
        if (answer.is_history_truncated) {
          self->counters_.Add("owner_history_gone");
          LogEvent("owner_history_gone", {});
          self->ReloadJobs(tenure);
          return;
        }
        if (answer.state != answer_state::kDone) {
          self->hooks_.after(kRetryDelay, [self, tenure, after] {
            self->FollowJobs(tenure, after);
          });
          return;
        }
        if (!answer.rows.empty()) {
          self->ScheduleDecision(kDecisionBatchDelay);
        }
        self->FollowJobs(tenure, std::max(after, answer.store_version));
      });
}

// Loads the rows again after the store has discarded the history that the
// change feed needs. The core ignores jobs that it already has.
void job_owner::ReloadJobs(std::uint64_t tenure) {
  LoadRows(tenure,
           [self = shared_from_this(), tenure](const loaded_rows& rows) {
             self->ScheduleDecision(kDecisionBatchDelay);
             self->FollowJobs(tenure, rows.version);
           });
}

void job_owner::ListMinions(std::uint64_t tenure) {
  ScanAll(table_, adapter_.minion_table,
          [self = shared_from_this(), tenure](const read_answer& answer) {
            self->ApplyMinionRows(tenure, answer);
          });
}

void job_owner::ApplyMinionRows(std::uint64_t tenure,
                                const read_answer& answer) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    if (answer.state == answer_state::kDone) {
      std::vector<sched::minion_report> minions;
      for (const table_row& row : answer.rows) {
        auto report = adapter_.decode_minion(row);
        if (report) {
          minions.push_back(std::move(report.value()));
        } else {
          counters_.Add("minion_entry_skipped");
        }
      }
      core_->OnMinions(hooks_.now(), minions);
    }
  }
  ScheduleDecision(kDecisionBatchDelay);
  hooks_.after(kMinionListInterval, [self = shared_from_this(), tenure] {
    self->ListMinions(tenure);
  });
}

void job_owner::PublishWaitingCounts(std::uint64_t tenure) {
  std::string text;
  std::uint64_t expected_version = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    text = sched::EncodeWaitingCounts(core_->WaitingByQueue());
    expected_version = waiting_counts_version_;
    if (text == published_waiting_counts_) {
      text.clear();
    }
  }
  const auto schedule_next = [self = shared_from_this(), tenure] {
    self->hooks_.after(kWaitingCountsInterval,
                       [self, tenure] { self->PublishWaitingCounts(tenure); });
  };
  if (text.empty()) {
    schedule_next();
    return;
  }
  lease_->Commit({{sched::kWaitingCountsKey, expected_version, text}},
                 [self = shared_from_this(), text,
                  schedule_next](const commit_answer& answer) {
                   {
                     const std::lock_guard lock(self->mutex_);
                     const table_row* row =
                         FindRow(answer.rows, sched::kWaitingCountsKey);
                     if (row != nullptr) {
                       self->waiting_counts_version_ = row->version;
                     }
                     if (answer.state == answer_state::kDone) {
                       self->published_waiting_counts_ = text;
                     }
                   }
                   schedule_next();
                 });
}

// Erases the rows of jobs that ended longer ago than the retention time. Those
// that could not be erased are tried again at the next interval.
void job_owner::EraseExpiredJobs(std::uint64_t tenure) {
  std::vector<sched::expired_job> expired;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    expired = core_->BeginErasing(hooks_.now(), kMaxErasedPerCommit);
  }
  for (const sched::expired_job& job : expired) {
    EraseJob(tenure, job);
  }
  EraseOldTombstones(tenure);
  hooks_.after(kExpiryInterval, [self = shared_from_this(), tenure] {
    self->EraseExpiredJobs(tenure);
  });
}

void job_owner::EraseJob(std::uint64_t tenure, const sched::expired_job& job) {
  table_transaction erased;
  erased.push_back({sched::JobKey(job.id), job.accepted_version, "", true});
  if (job.cancel_version != 0) {
    erased.push_back({sched::CancelKey(job.id), job.cancel_version, "", true});
  }
  table_.commit(std::move(erased), [self = shared_from_this(), tenure,
                                    job](const commit_answer& answer) {
    self->OnJobRowErased(tenure, job, answer);
  });
}

void job_owner::OnJobRowErased(std::uint64_t tenure,
                               const sched::expired_job& job,
                               const commit_answer& answer) {
  if (!IsRowGone(answer, sched::JobKey(job.id))) {
    FinishErasing(tenure, job.id, false);
    return;
  }
  const std::string record = sched::kRecordTable + job.id;
  if (job.record_version == 0) {
    FinishErasing(tenure, job.id, true);
    return;
  }
  lease_->Commit({{record, job.record_version, "", true}},
                 [self = shared_from_this(), tenure, id = job.id,
                  record](const commit_answer& erased) {
                   self->FinishErasing(tenure, id, IsRowGone(erased, record));
                 });
}

void job_owner::FinishErasing(std::uint64_t tenure,
                              const std::string& id,
                              bool are_rows_gone) {
  counters_.Add(are_rows_gone ? "expired_jobs_erased"
                              : "expired_jobs_not_erased");
  if (!are_rows_gone) {
    LogEvent("expired_job_not_erased", {{"job", id}});
  }
  const std::lock_guard lock(mutex_);
  if (core_ && tenure_ == tenure) {
    core_->OnErased(id, are_rows_gone);
  }
}

// Called with the lock held.
void job_owner::NoteTombstone(const table_row& row) {
  known_tombstone& tombstone = tombstones_[row.key];
  if (tombstone.version != row.version) {
    tombstone = {row.version, hooks_.now()};
  }
}

// Erases the tombstones that no late copy of their submission can meet any
// more. Those that could not be erased are tried again at the next interval.
void job_owner::EraseOldTombstones(std::uint64_t tenure) {
  table_transaction old;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    for (const auto& [key, tombstone] : tombstones_) {
      if (old.size() >= kMaxErasedPerCommit) {
        break;
      }
      if (hooks_.now() - tombstone.first_seen > settings_.tombstone_time) {
        old.push_back({key, tombstone.version, "", true});
      }
    }
  }
  for (const table_write& erased : old) {
    table_.commit({erased}, [self = shared_from_this(),
                             erased](const commit_answer& answer) {
      self->OnTombstoneErased(erased, answer);
    });
  }
}

void job_owner::OnTombstoneErased(const table_write& erased,
                                  const commit_answer& answer) {
  const bool has_changed = answer.state == answer_state::kNotDone &&
                           answer.reason == error_kind::kConflict;
  if (answer.state != answer_state::kDone && !has_changed) {
    counters_.Add("tombstones_not_erased");
    LogEvent("tombstone_not_erased", {{"key", erased.key}});
    return;
  }
  counters_.Add(has_changed ? "tombstones_changed" : "tombstones_erased");
  const std::lock_guard lock(mutex_);
  const auto it = tombstones_.find(erased.key);
  if (it != tombstones_.end() &&
      it->second.version == erased.expected_version) {
    tombstones_.erase(it);
  }
}

}  // namespace sassafras

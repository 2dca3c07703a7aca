#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Bytes of the records in one transaction, which encoding for the platform
// makes a third longer.
constexpr std::size_t kMaxBytesPerCommit = 600'000;
// Delay after which a record that was too large is tried again, if it has
// changed.
constexpr duration kLargeRecordDelay = std::chrono::seconds(1);
// Delay after a failed commit; doubles up to the maximum.
constexpr duration kInitialBackoff = std::chrono::milliseconds(20);
constexpr duration kMaxBackoff = std::chrono::milliseconds(320);
// Minimum interval between two writes of the record of a job that is not
// urgent. A record names all tasks in progress, and wide jobs start and end
// tasks continually. The interval is a small part of the shortest task of such
// jobs.
constexpr duration kRecordInterval = std::chrono::milliseconds(80);

recorded_member ToRecorded(int index, const minion_incarnation& minion) {
  return {index, minion.id, minion.incarnation_unix_ms, minion.address};
}

// Adds the units of `range`, which are ranks, step by step.
void AddDone(const unit_layout& layout,
             const position_range& range,
             std::vector<done_units>& done) {
  for (std::size_t rank = range.first; rank <= range.last;) {
    const unit_place first = layout.PlaceOfRank(rank);
    const std::size_t end = std::min<std::size_t>(
        std::size_t{range.last} + 1, layout.FirstRankOf(first.step + 1));
    const unit_place last = layout.PlaceOfRank(end - 1);
    done.push_back({first.step, first.occurrence, first.index, last.occurrence,
                    last.index});
    rank = end;
  }
}

job_record RecordOf(const job_entry& job) {
  job_record record;
  record.state = job.state;
  position_set done = job.done_units;
  std::size_t unresolved = 0;
  for (const auto& [position, unit] : job.units) {
    if (unit.run == 0 || (unit.is_done && unit.members.empty())) {
      continue;
    }
    done.Erase(job.RankOf(unit));
    recorded_unit recorded{unit.occurrence,
                           unit.step,
                           unit.index,
                           unit.run,
                           unit.failed_runs,
                           unit.is_done,
                           unit.checkpoint,
                           {},
                           unit.has_run_failed,
                           unit.crashes,
                           {}};
    for (const crash_evidence& lost : unit.unresolved) {
      if (++unresolved <= kMaxUnresolvedMembers) {
        recorded.unresolved.push_back(ToRecorded(lost.index, lost.minion));
      }
    }
    for (const unit_member& member : unit.members) {
      if (member.phase != member_phase::kTerminated) {
        recorded.members.push_back(
            ToRecorded(member.index, member.incarnation));
      }
    }
    record.units.push_back(std::move(recorded));
  }
  for (const position_range& range : done.Ranges()) {
    AddDone(job.layout, range, record.done);
  }
  return record;
}

// Whether the store will never accept what it has refused for this reason.
bool IsRefusedForGood(error_kind reason) {
  return reason == error_kind::kTooLarge || reason == error_kind::kMalformed;
}

// Whether the run may still be taken back: none of its starts was sent.
bool IsPlanned(const work_unit& unit) {
  return unit.phase == unit_phase::kClaimed ||
         unit.phase == unit_phase::kRecorded;
}

}  // namespace

void work_core::impl::MarkChanged(job_entry& job) {
  job.change = ++last_change_;
  open_jobs_[job.accepted.id] = &job;
  changed_jobs_[job.accepted.id] = &job;
}

// Returns the jobs whose record is due, the most urgent and oldest changes
// first.
std::vector<job_entry*> work_core::impl::JobsToRecord(instant now) {
  std::vector<job_entry*> due;
  due.reserve(changed_jobs_.size());
  for (const auto& [id, job] : changed_jobs_) {
    const bool is_urgent = job->accepted.priority == 0 || job->IsEnded() ||
                           !options_.policy.batch_records;
    const bool is_held =
        now < job->record_not_before || job->change == job->refused_change;
    if (!is_held && (is_urgent || now >= job->next_write)) {
      due.push_back(job);
    }
  }
  std::sort(due.begin(), due.end(),
            [](const job_entry* left, const job_entry* right) {
              return std::pair(left->accepted.priority, left->change) <
                     std::pair(right->accepted.priority, right->change);
            });
  return due;
}

// Only one commit is in flight; later changes go into the next one. Each
// row expects the version that this owner wrote last, so that a write whose
// answer was lost cannot take effect after a newer one.
void work_core::impl::EmitCommit(instant now) {
  if (is_commit_in_flight_ || now < next_commit_) {
    return;
  }
  table_transaction transaction;
  std::size_t bytes = 0;
  sent_records_.clear();
  for (job_entry* job : JobsToRecord(now)) {
    if (transaction.size() >= max_records_per_commit_) {
      break;
    }
    std::optional<std::string> record = EncodeFittingRecord(now, *job);
    if (!record) {
      continue;
    }
    bytes += record->size();
    if (bytes > kMaxBytesPerCommit && !transaction.empty()) {
      break;
    }
    job->next_write = now + kRecordInterval;
    transaction.push_back({kRecordTable + job->accepted.id, job->record_version,
                           std::move(*record)});
    sent_records_.push_back({job->accepted.id, job->change});
  }
  if (transaction.empty()) {
    return;
  }
  is_commit_in_flight_ = true;
  actions_.commit = std::move(transaction);
}

// Returns the record of the job; nothing if no row of the store holds it.
std::optional<std::string> work_core::impl::EncodeFittingRecord(
    instant now,
    job_entry& job) {
  std::string record = EncodeRecord(RecordOf(job));
  if (record.size() > kMaxRowBytes) {
    counters_.Add("sched_records_too_large");
    LowerRecord(now, job, std::to_string(record.size()) + " bytes");
    record = EncodeRecord(RecordOf(job));
  }
  if (record.size() > kMaxRowBytes) {
    job.record_not_before = now + kLargeRecordDelay;
    return std::nullopt;
  }
  return record;
}

// Makes the record of the job smaller: takes back what was placed and not
// started, and lets fewer of its tasks be in progress. A unit that alone takes
// more than a row can never start, so that its job is given up.
void work_core::impl::LowerRecord(instant now,
                                  job_entry& job,
                                  std::string_view reason) {
  std::vector<work_unit*> planned;
  for (auto& [position, unit] : job.units) {
    if (IsPlanned(unit)) {
      planned.push_back(&unit);
    }
  }
  const int in_progress = job.TasksInProgress();
  job.max_tasks_in_progress =
      std::clamp(in_progress / 2, 1, job.max_tasks_in_progress);
  LogEvent("record_too_large", job.accepted.id, "", "",
           std::string(reason) + " for " + std::to_string(in_progress) +
               " tasks in progress, " + std::to_string(planned.size()) +
               " units not started");
  if (planned.size() == 1 && planned.front()->width == in_progress &&
      !job.IsEnded()) {
    FailJob(now, job, *planned.front(),
            "its record does not fit in a row of the store: " +
                std::string(reason));
    return;
  }
  for (work_unit* unit : planned) {
    WithdrawPlacement(now, job, *unit);
  }
}

// Undoes a placement of which no start was sent, so that the unit needs no
// entry in the record that it did not need before.
void work_core::impl::WithdrawPlacement(instant now,
                                        job_entry& job,
                                        work_unit& unit) {
  CloseRun(now, job, unit, close_cause::kRecordTooLarge);
  if (--unit.run == 0) {
    job.units.erase(unit.position);
  }
}

void work_core::impl::HandleCommitAnswer(instant now,
                                         const commit_answer& answer) {
  is_commit_in_flight_ = false;
  for (const sent_record& sent : sent_records_) {
    const auto it = jobs_.find(sent.job);
    const table_row* row = FindRow(answer.rows, kRecordTable + sent.job);
    if (it == jobs_.end() || row == nullptr) {
      continue;
    }
    it->second.record_version = row->version;
    if (answer.state == answer_state::kDone) {
      it->second.last_durable_change =
          std::max(it->second.last_durable_change, sent.change);
      if (it->second.last_durable_change == it->second.change) {
        changed_jobs_.erase(sent.job);
      }
    }
  }
  if (answer.state == answer_state::kDone) {
    commit_backoff_ = duration(0);
    max_records_per_commit_ =
        std::min(max_records_per_commit_ * 2, kMaxRecordsPerCommit);
    // Copied, because acknowledging modifies the set.
    const std::vector<std::string> minions_with_ends(
        minions_with_pending_ends_.begin(), minions_with_pending_ends_.end());
    for (const std::string& id : minions_with_ends) {
      AcknowledgeDurableEnds(MinionOf(id));
    }
    return;
  }
  counters_.Add("sched_commit_failed");
  LogEvent("record_not_written", "", "", "",
           std::string(GetName(answer.state)) + " " +
               std::string(GetErrorInfo(answer.reason).name));
  if (answer.state == answer_state::kNotDone &&
      IsRefusedForGood(answer.reason)) {
    HandleRefusedRecords(now);
  }
  commit_backoff_ =
      std::clamp(commit_backoff_ * 2, kInitialBackoff, kMaxBackoff);
  next_commit_ = now + commit_backoff_;
}

// Sends fewer records at a time until the one that the store refuses is alone.
// That one is not sent again before it has changed, and no longer holds up the
// others.
void work_core::impl::HandleRefusedRecords(instant now) {
  if (sent_records_.size() > 1) {
    max_records_per_commit_ = sent_records_.size() / 2;
    return;
  }
  for (const sent_record& sent : sent_records_) {
    const auto it = jobs_.find(sent.job);
    if (it != jobs_.end()) {
      counters_.Add("sched_records_refused");
      it->second.refused_change = sent.change;
      it->second.record_not_before = now + kLargeRecordDelay;
      LowerRecord(now, it->second, "the store refuses it");
    }
  }
}

}  // namespace sassafras::sched

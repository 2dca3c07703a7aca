#include <algorithm>
#include <chrono>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Rows per transaction. The platform accepts 100 entries and 1 MB.
constexpr std::size_t kMaxRowsPerCommit = 30;
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

}  // namespace

void work_core::impl::MarkChanged(job_entry& job) {
  job.change = ++last_change_;
  open_jobs_[job.accepted.id] = &job;
  changed_jobs_[job.accepted.id] = &job;
}

// Only one commit is in flight; later changes go into the next one. Each
// row expects the version that this owner wrote last, so that a write whose
// answer was lost cannot take effect after a newer one.
void work_core::impl::EmitCommit(instant now) {
  if (is_commit_in_flight_ || now < next_commit_) {
    return;
  }
  std::vector<job_entry*> changed;
  changed.reserve(changed_jobs_.size());
  for (const auto& [id, job] : changed_jobs_) {
    const bool is_urgent = job->accepted.priority == 0 || job->IsEnded() ||
                           !options_.policy.batch_records;
    if (is_urgent || now >= job->next_write) {
      changed.push_back(job);
    }
  }
  if (changed.empty()) {
    return;
  }
  std::sort(changed.begin(), changed.end(),
            [](const job_entry* left, const job_entry* right) {
              return std::pair(left->accepted.priority, left->change) <
                     std::pair(right->accepted.priority, right->change);
            });
  changed.resize(std::min(changed.size(), kMaxRowsPerCommit));
  table_transaction transaction;
  sent_records_.clear();
  for (job_entry* job : changed) {
    job->next_write = now + kRecordInterval;
    transaction.push_back({kRecordTable + job->accepted.id, job->record_version,
                           EncodeRecord(RecordOf(*job))});
    sent_records_.push_back({job->accepted.id, job->change});
  }
  is_commit_in_flight_ = true;
  actions_.commit = std::move(transaction);
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
  commit_backoff_ =
      std::clamp(commit_backoff_ * 2, kInitialBackoff, kMaxBackoff);
  next_commit_ = now + commit_backoff_;
}

}  // namespace sassafras::sched

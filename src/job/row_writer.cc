#include "src/job/row_writer.h"

namespace sassafras::job {
namespace {

constexpr duration kRetryDelay = std::chrono::milliseconds(200);

// Number of erased markers to remember, because stale scans still return them.
constexpr std::size_t kMaxErasedMarkers = 4096;

}  // namespace

void row_writer::MarkDue(const job_id& job) {
  if (due_set_.insert(job).second) {
    due_.push_back(job);
  }
}

void row_writer::EraseMarker(const job_id& job, std::uint64_t version) {
  markers_[job] = version;
}

bool row_writer::IsErasing(const job_id& job, std::uint64_t version) const {
  for (const auto* list : {&markers_, &sent_markers_, &erased_markers_}) {
    const auto it = list->find(job);
    if (it != list->end() && it->second == version) {
      return true;
    }
  }
  return false;
}

std::optional<commit_rows> row_writer::Next(
    instant now,
    const std::function<std::optional<row_change>(const job_id&)>& next) {
  if (is_in_flight_ || now < next_send_) {
    return std::nullopt;
  }
  commit_rows commit;
  sent_rows_.clear();
  sent_values_.clear();
  sent_markers_.clear();
  while (!due_.empty() && commit.transaction.size() < max_rows_) {
    const job_id job = std::move(due_.front());
    due_.pop_front();
    due_set_.erase(job);
    std::optional<row_change> change = next(job);
    if (!change) {
      continue;
    }
    const std::string key = JobKey(job);
    const std::string value = EncodeJobRow(change->row);
    commit.transaction.push_back({key, change->expected_version, value});
    sent_values_[key] = value;
    sent_rows_.emplace(key, std::move(change->row));
  }
  AddMarkers(commit.transaction);
  if (commit.transaction.empty()) {
    return std::nullopt;
  }
  is_in_flight_ = true;
  commit.commit = ++last_commit_;
  return commit;
}

void row_writer::AddMarkers(table_transaction& transaction) {
  while (!markers_.empty() && transaction.size() < max_rows_) {
    const auto first = markers_.extract(markers_.begin());
    transaction.push_back(
        {JobMarkerKey(first.key()), first.mapped(), {}, true});
    sent_markers_[first.key()] = first.mapped();
  }
}

write_result row_writer::OnAnswer(instant now, const rows_committed& answered) {
  if (!is_in_flight_ || answered.commit != last_commit_) {
    counters_.Add("job_commit_answer_late");
    return {};
  }
  is_in_flight_ = false;
  const commit_answer& answer = answered.answer;
  if (answer.state == answer_state::kDone) {
    return OnDone(answer);
  }
  counters_.AddError(answer.reason);
  if (answer.reason == error_kind::kConflict && !answer.rows.empty()) {
    return OnConflict(answer);
  }
  next_send_ = now + kRetryDelay;
  MarkSentDue();
  return {};
}

write_result row_writer::OnDone(const commit_answer& answer) {
  write_result result;
  for (const table_row& row : answer.rows) {
    const auto sent = sent_rows_.find(row.key);
    if (sent != sent_rows_.end()) {
      result.recorded.push_back({std::move(sent->second), row.version});
    }
  }
  if (erased_markers_.size() > kMaxErasedMarkers) {
    erased_markers_.clear();
  }
  for (const auto& [job, version] : sent_markers_) {
    erased_markers_[job] = version;
  }
  sent_markers_.clear();
  return result;
}

write_result row_writer::OnConflict(const commit_answer& answer) {
  write_result result;
  for (const table_row& row : answer.rows) {
    const auto sent = sent_rows_.find(row.key);
    if (sent == sent_rows_.end()) {
      continue;
    }
    if (row.value == sent_values_[row.key]) {
      counters_.Add("job_write_settled");
      result.recorded.push_back({std::move(sent->second), row.version});
    } else {
      result.superseded.push_back(row);
    }
    sent_rows_.erase(sent);
  }
  for (const table_row& row : answer.rows) {
    if (row.key.rfind(kJobMarkerPrefix, 0) != 0) {
      continue;
    }
    const job_id job{row.key.substr(kJobMarkerPrefix.size())};
    const auto marker = sent_markers_.find(job);
    if (marker != sent_markers_.end()) {
      // The marker is erased or was rewritten; a later scan shows a new
      // version.
      erased_markers_[job] = marker->second;
      sent_markers_.erase(marker);
    }
  }
  MarkSentDue();
  return result;
}

void row_writer::MarkSentDue() {
  for (const auto& [key, row] : sent_rows_) {
    MarkDue(row.id);
  }
  for (const auto& [job, version] : sent_markers_) {
    markers_.emplace(job, version);
  }
  sent_markers_.clear();
}

void row_writer::Clear() {
  due_.clear();
  due_set_.clear();
  markers_.clear();
  erased_markers_.clear();
  sent_rows_.clear();
  sent_values_.clear();
  sent_markers_.clear();
  is_in_flight_ = false;
  next_send_ = {};
}

}  // namespace sassafras::job

#include "src/job/job_table.h"

namespace sassafras {

int job_table::Insert(job_entry entry) {
  int index = static_cast<int>(entries_.size());
  if (free_indices_.empty()) {
    entries_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
  }
  index_[entry.job.id] = index;
  (*this)[index] = std::move(entry);
  return index;
}

void job_table::Erase(int index) {
  index_.erase((*this)[index].job.id);
  (*this)[index] = {};
  free_indices_.push_back(index);
}

int job_table::Find(const job_id& id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? -1 : it->second;
}

bucket_key job_table::KeyOf(int index) const {
  const job_entry& entry = (*this)[index];
  return {entry.team, entry.class_object, entry.wanted};
}

void job_table::Enqueue(int index) {
  const job_entry& entry = (*this)[index];
  if (entry.IsPlaceable()) {
    buckets_[KeyOf(index)].emplace(entry.order, index);
  }
}

void job_table::Dequeue(int index) {
  const auto it = buckets_.find(KeyOf(index));
  if (it == buckets_.end()) {
    return;
  }
  it->second.erase({(*this)[index].order, index});
  if (it->second.empty()) {
    buckets_.erase(it);
  }
}

}  // namespace sassafras

#ifndef SASSAFRAS_JOB_JOB_TABLE_H_
#define SASSAFRAS_JOB_JOB_TABLE_H_

#include <compare>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/job/job_entry.h"

namespace sassafras {

/// Key of waiting jobs that the planner cannot tell apart: it tries only the
/// first of them.
struct bucket_key {
  int team = -1;
  const job_class* class_object = nullptr;
  const shape* wanted = nullptr;

  auto operator<=>(const bucket_key&) const = default;
};

/// Indices of waiting jobs in order of arrival.
using bucket = std::set<std::pair<arrival, int>>;

/// All jobs by index, with the waiting ones grouped in buckets. Indices of
/// erased jobs are reused.
class job_table {
 public:
  /// Adds `entry` without putting it into a bucket. Returns its index.
  int Insert(job_entry entry);

  /// Removes a job that is not in a bucket.
  void Erase(int index);

  /// Returns the index of `id`, or -1.
  int Find(const job_id& id) const;

  job_entry& operator[](int index) {
    return entries_[static_cast<std::size_t>(index)];
  }
  const job_entry& operator[](int index) const {
    return entries_[static_cast<std::size_t>(index)];
  }

  /// Enqueue() adds a job to its bucket if it is placeable; Dequeue() removes
  /// it.
  void Enqueue(int index);
  void Dequeue(int index);

  /// Clears the buckets. Call before the configuration objects in the keys
  /// change.
  void ClearBuckets() { buckets_.clear(); }

  const std::map<bucket_key, bucket>& Buckets() const { return buckets_; }

  /// Indices of all jobs by id.
  const std::unordered_map<job_id, int>& Index() const { return index_; }

 private:
  bucket_key KeyOf(int index) const;

  std::vector<job_entry> entries_;
  std::vector<int> free_indices_;
  std::unordered_map<job_id, int> index_;
  std::map<bucket_key, bucket> buckets_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_JOB_TABLE_H_

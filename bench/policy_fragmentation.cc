#include "bench/policy_fragmentation.h"

namespace sassafras {

free_map::free_map(const config_set& objects) : objects_(objects) {
  std::map<rack_id, int> racks;
  std::map<place_id, int> places;
  for (const auto& [id, item] : objects.workers) {
    worker_free_capacity space;
    space.rack =
        racks.emplace(item.rack, static_cast<int>(racks.size())).first->second;
    space.place = places
                      .emplace(objects.racks.at(item.rack).place,
                               static_cast<int>(places.size()))
                      .first->second;
    space.free = item.capacity;
    total_ += item.capacity.accelerators;
    index_[id] = spaces_.size();
    spaces_.push_back(space);
  }
  free_ = total_;
}

void free_map::Take(const shape_id& wanted,
                    const std::vector<worker_id>& workers) {
  const resources& need = objects_.shapes.at(wanted).per_worker;
  for (const worker_id& worker : workers) {
    spaces_[index_.at(worker)].free -= need;
    free_ -= need.accelerators;
  }
}

void free_map::Give(const shape_id& wanted,
                    const std::vector<worker_id>& workers) {
  const resources& need = objects_.shapes.at(wanted).per_worker;
  for (const worker_id& worker : workers) {
    spaces_[index_.at(worker)].free += need;
    free_ += need.accelerators;
  }
}

double free_map::Use() const {
  return static_cast<double>(total_ - free_) / total_;
}

std::map<shape_id, fragmentation_share> free_map::Fragmentation() const {
  std::map<shape_id, fragmentation_share> shares;
  for (const auto& [id, item] : objects_.shapes) {
    const int size = item.TotalAccelerators();
    if (size < 2) {
      continue;
    }
    fragmentation_share& share = shares[id];
    if (free_ == 0) {
      continue;
    }
    const int count =
        CountInstances(spaces_, {item.level, item.workers, item.per_worker, 1});
    share.actual = 1 - static_cast<double>(count) * size / free_;
    share.least = static_cast<double>(free_ % size) / free_;
  }
  return shares;
}

}  // namespace sassafras

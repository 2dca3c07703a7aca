#include "src/job/inventory.h"

#include <algorithm>
#include <map>

namespace sassafras {
namespace {

// Weights of a worker, its rack and its place in ImmovableShare(). They add up
// to less than 1, the lowest cost of an eviction, so that they only rank free
// workers.
struct immovable_weights {
  double worker;
  double rack;
  double place;
};

constexpr immovable_weights kPartWeights = {0.6, 0.2, 0.15};
constexpr immovable_weights kWholeWeights = {0, 0.35, 0.6};

// Assigns dense indices to names in order of their first use.
template <class Id>
class dense_index {
 public:
  int Of(const Id& id) {
    const int next = static_cast<int>(indices_.size());
    return indices_.emplace(id, next).first->second;
  }

  std::size_t size() const { return indices_.size(); }

 private:
  std::map<Id, int> indices_;
};

void RemoveOne(std::vector<int>& list, int value) {
  const auto it = std::find(list.begin(), list.end(), value);
  if (it != list.end()) {
    list.erase(it);
  }
}

}  // namespace

void inventory::Load(const config_set& objects,
                     const std::set<worker_id>& unusable) {
  workers_.clear();
  index_.clear();
  dense_index<rack_id> racks;
  dense_index<place_id> places;
  for (const auto& [id, item] : objects.workers) {
    worker_state state;
    state.id = id;
    state.rack = racks.Of(item.rack);
    state.place = places.Of(objects.racks.at(item.rack).place);
    state.capacity = item.capacity;
    state.is_usable = !item.is_leaving && !unusable.contains(id);
    index_[id] = size();
    workers_.push_back(std::move(state));
  }
  racks_.assign(racks.size(), {});
  places_.assign(places.size(), {});
  for (int i = 0; i < size(); ++i) {
    const worker_state& state = (*this)[i];
    racks_[static_cast<std::size_t>(state.rack)].push_back(i);
    places_[static_cast<std::size_t>(state.place)].push_back(i);
  }
}

int inventory::IndexOf(const worker_id& id) {
  const auto [it, added] = index_.emplace(id, size());
  if (added) {
    worker_state state;
    state.id = id;
    workers_.push_back(std::move(state));
  }
  return it->second;
}

int inventory::Find(const worker_id& id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? -1 : it->second;
}

void inventory::Hold(int worker, int job, const resources& need) {
  worker_state& state = (*this)[worker];
  state.held += need;
  state.occupants.push_back(job);
}

void inventory::Release(int worker, int job, const resources& need) {
  worker_state& state = (*this)[worker];
  state.held -= need;
  RemoveOne(state.occupants, job);
}

void inventory::SumImmovable() {
  const auto share = [this](const std::vector<int>& group) {
    int immovable_accelerators = 0;
    int all = 1;
    for (const int worker : group) {
      immovable_accelerators += (*this)[worker].immovable_accelerators;
      all += (*this)[worker].capacity.accelerators;
    }
    return static_cast<double>(immovable_accelerators) / all;
  };
  rack_immovable_.clear();
  for (const std::vector<int>& rack : racks_) {
    rack_immovable_.push_back(share(rack));
  }
  place_immovable_.clear();
  for (const std::vector<int>& place : places_) {
    place_immovable_.push_back(share(place));
  }
}

double inventory::ImmovableShare(int worker, const resources& need) const {
  const worker_state& state = (*this)[worker];
  const double own = static_cast<double>(state.immovable_accelerators) /
                     std::max(state.capacity.accelerators, 1);
  const immovable_weights& weights =
      need.accelerators < state.capacity.accelerators ? kPartWeights
                                                      : kWholeWeights;
  return weights.worker * own +
         weights.rack * rack_immovable_[static_cast<std::size_t>(state.rack)] +
         weights.place *
             place_immovable_[static_cast<std::size_t>(state.place)];
}

void inventory::Claim(int worker, int job, const resources& need) {
  worker_state& state = (*this)[worker];
  state.claimed += need;
  state.occupants.push_back(job);
}

void inventory::Unclaim(int worker, int job, const resources& need) {
  worker_state& state = (*this)[worker];
  state.claimed -= need;
  RemoveOne(state.occupants, job);
}

}  // namespace sassafras

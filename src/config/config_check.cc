#include "src/config/config_check.h"

#include "sassafras/world/packing.h"

namespace sassafras {
namespace {

constexpr int kMaxFloorPercentSum = 100;

// Checks a set and reports faults with the location of the object concerned.
class set_checker {
 public:
  set_checker(const config_set& objects,
              const origin_table& origins,
              std::vector<config_fault>& faults)
      : objects_(objects), origins_(origins), faults_(faults) {}

  void CheckAll() {
    CheckTopology();
    CheckShapes();
    CheckTeams();
    CheckClasses();
    CheckTargets();
    if (faults_.empty()) {
      CheckGuarantees();
    }
  }

 private:
  void AddFault(const std::string& object,
                const std::string& key,
                std::string problem,
                std::string expected) {
    const auto it = origins_.find(object);
    const object_origin origin =
        it == origins_.end() ? object_origin{} : it->second;
    faults_.push_back({origin.file, origin.line, object + "." + key,
                       std::move(problem), std::move(expected)});
  }

  template <class Map, class Id>
  void CheckReference(const Map& map,
                      const Id& id,
                      const std::string& object,
                      const std::string& key) {
    if (map.find(id) == map.end()) {
      AddFault(object, key, "'" + id.value + "' does not exist",
               "the name of an object in this set");
    }
  }

  void CheckTopology() {
    for (const link& item : objects_.links) {
      const std::string name = "links/" + item.from.value + "-" + item.to.value;
      CheckReference(objects_.places, item.from, name, "from");
      CheckReference(objects_.places, item.to, name, "to");
    }
    for (const auto& [id, item] : objects_.racks) {
      CheckReference(objects_.places, item.place, "racks/" + id.value, "place");
    }
    for (const auto& [id, item] : objects_.workers) {
      CheckReference(objects_.racks, item.rack, "workers/" + id.value, "rack");
    }
  }

  // Returns the full capacity of each worker that is not leaving, with racks
  // and places numbered from 0.
  std::vector<worker_free_capacity> WorkerCapacities() const {
    std::map<rack_id, int> racks;
    std::map<place_id, int> places;
    std::vector<worker_free_capacity> capacities;
    for (const auto& [id, item] : objects_.workers) {
      if (item.is_leaving) {
        continue;
      }
      const auto rack = objects_.racks.find(item.rack);
      if (rack == objects_.racks.end()) {
        continue;
      }
      const int rack_index =
          racks.emplace(item.rack, static_cast<int>(racks.size()))
              .first->second;
      const int place_index =
          places.emplace(rack->second.place, static_cast<int>(places.size()))
              .first->second;
      capacities.push_back({rack_index, place_index, item.capacity});
    }
    return capacities;
  }

  void CheckShapes() {
    for (const auto& [id, item] : objects_.shapes) {
      const std::string name = "shapes/" + id.value;
      if (item.level == shape_level::kWorker && item.workers != 1) {
        AddFault(name, "workers", "is not 1", "1 for a shape within a worker");
        continue;
      }
      const shape_demand demand{item.level, item.workers, item.per_worker, 1};
      if (!PackShapes(WorkerCapacities(), {demand})) {
        AddFault(name, "level", "no group of workers can form it",
                 "a shape that fits the inventory");
      }
    }
  }

  void CheckTeams() {
    for (const auto& [id, item] : objects_.teams) {
      for (const guarantee& entry : item.guarantees) {
        CheckReference(objects_.shapes, entry.shape, "teams/" + id.value,
                       "guarantees");
      }
    }
  }

  void CheckClasses() {
    std::map<target_id, int> floors;
    for (const auto& [id, item] : objects_.classes) {
      const std::string name = "classes/" + id.value;
      if (item.kind == class_kind::kRequest) {
        if (!item.target) {
          AddFault(name, "target", "is missing", "the name of a target");
          continue;
        }
        CheckReference(objects_.targets, *item.target, name, "target");
        floors[*item.target] += item.floor_percent;
        if (floors[*item.target] > kMaxFloorPercentSum) {
          AddFault(
              name, "floor_percent",
              "the floors of target '" + item.target->value + "' exceed 100",
              "a sum of at most 100");
        }
      }
      if (!item.is_idempotent && item.max_restarts > 0) {
        AddFault(name, "max_restarts",
                 "a non-idempotent class is never restarted", "0");
      }
      if (item.checkpoint_grace.count() > 0 && !item.can_checkpoint) {
        AddFault(name, "checkpoint_grace", "the class has no checkpoint",
                 "checkpoint: true, or no grace");
      }
    }
  }

  void CheckTargets() {
    for (const auto& [id, item] : objects_.targets) {
      for (const minion& back_end : item.minions) {
        const std::string name = "targets/" + id.value;
        CheckReference(objects_.places, back_end.place, name,
                       "minions." + back_end.id.value + ".place");
        if (back_end.connections < back_end.slots) {
          AddFault(name, "minions." + back_end.id.value + ".connections",
                   "is less than slots", "at least one connection per slot");
        }
      }
    }
  }

  void CheckGuarantees() {
    std::vector<shape_demand> demands;
    for (const auto& [id, item] : objects_.teams) {
      for (const guarantee& entry : item.guarantees) {
        const shape& wanted = objects_.shapes.at(entry.shape);
        demands.push_back(
            {wanted.level, wanted.workers, wanted.per_worker, entry.count});
      }
    }
    if (!PackShapes(WorkerCapacities(), demands)) {
      faults_.push_back({"", 0, "teams.guarantees",
                         "all guarantees together cannot be placed",
                         "fewer or smaller guarantees, or more workers"});
    }
  }

  const config_set& objects_;
  const origin_table& origins_;
  std::vector<config_fault>& faults_;
};

}  // namespace

void CheckConfigSet(const config_set& objects,
                    const origin_table& origins,
                    std::vector<config_fault>& faults) {
  set_checker(objects, origins, faults).CheckAll();
}

}  // namespace sassafras

#include "sassafras/world/packing.h"

#include <catch2/catch.hpp>

#include "sassafras/core/random.h"

namespace sassafras {
namespace {

constexpr resources kWhole = {8, 128, 240'000};

// Makes one rack of workers; worker i has `free[i]` free accelerators.
std::vector<worker_free_capacity> MakeRack(const std::vector<int>& free) {
  std::vector<worker_free_capacity> capacities;
  capacities.reserve(free.size());
  for (const int accelerators : free) {
    capacities.push_back({0, 0, {accelerators, 130, 256'000}});
  }
  return capacities;
}

TEST_CASE("Instances of a shape are counted exactly") {
  SECTION("within a worker every dimension limits the count") {
    const shape_demand four{shape_level::kWorker, 1, {4, 64, 120'000}, 1};
    CHECK(CountInstances(MakeRack({8, 7, 3}), four) == 3);
    std::vector<worker_free_capacity> capacities = MakeRack({8});
    capacities[0].free.cores = 127;
    CHECK(CountInstances(capacities, four) == 1);
  }

  SECTION("the members of a gang are distinct workers") {
    const shape_demand pair{shape_level::kRack, 2, {4, 0, 0}, 1};
    CHECK(CountInstances(MakeRack({8}), pair) == 0);
    CHECK(CountInstances(MakeRack({8, 4}), pair) == 1);
    CHECK(CountInstances(MakeRack({8, 4, 4}), pair) == 2);
    CHECK(CountInstances(MakeRack({8, 8, 8}), pair) == 3);
  }

  SECTION("a gang within a rack does not span two racks") {
    std::vector<worker_free_capacity> capacities = MakeRack({8, 8, 8, 8});
    capacities[2].rack = 1;
    capacities[3].rack = 2;
    CHECK(CountInstances(capacities, {shape_level::kRack, 2, kWhole, 1}) == 1);
    CHECK(CountInstances(capacities, {shape_level::kPlace, 2, kWhole, 1}) == 2);
  }
}

TEST_CASE(
    "PackShapes places exactly as many instances as CountInstances reports") {
  random_engine random(7);
  std::uniform_int_distribution<int> free(0, 8);
  for (int round = 0; round < 200; ++round) {
    std::vector<worker_free_capacity> capacities =
        MakeRack({0, 0, 0, 0, 0, 0, 0, 0});
    for (std::size_t i = 0; i < capacities.size(); ++i) {
      capacities[i].rack = static_cast<int>(i / 4);
      capacities[i].free.accelerators = free(random);
    }
    shape_demand demand{shape_level::kRack, 2, {8, 0, 0}, 1};
    const int count = CountInstances(capacities, demand);
    demand.count = count;
    CHECK(PackShapes(capacities, {demand}));
    demand.count = count + 1;
    CHECK_FALSE(PackShapes(capacities, {demand}));
  }
}

}  // namespace
}  // namespace sassafras

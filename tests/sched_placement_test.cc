#include <catch2/catch.hpp>
#include <set>

#include "sassafras/sched/placement.h"

namespace sassafras::sched {
namespace {

std::vector<minion_view> Fleet(int racks, int per_rack) {
  std::vector<minion_view> views;
  for (int rack = 0; rack < racks; ++rack) {
    for (int i = 0; i < per_rack; ++i) {
      minion_view view;
      view.id = std::to_string(rack) + "-" + std::to_string(i);
      view.rack = "r" + std::to_string(rack);
      view.labels = {"a", view.rack};
      view.capacity = {128'000, 262'144, 8};
      view.free = view.capacity;
      views.push_back(view);
    }
  }
  return views;
}

step_spec Step(int accelerators) {
  step_spec step;
  step.needs = {10'000, 10'000, accelerators};
  return step;
}

TEST_CASE("Small tasks are stacked, so that whole minions stay free") {
  std::vector<minion_view> views = Fleet(2, 4);
  views[5].free.accelerators = 3;
  const auto places = PlaceTasks(Step(1), 3, views, {});
  REQUIRE(places);
  CHECK(std::set<std::size_t>(places->begin(), places->end()) ==
        std::set<std::size_t>{5});
}

TEST_CASE("A group is placed whole or not at all") {
  std::vector<minion_view> views = Fleet(1, 2);
  CHECK(PlaceTasks(Step(8), 2, views, {}));
  CHECK_FALSE(PlaceTasks(Step(8), 3, views, {}));
}

TEST_CASE("One rack") {
  std::vector<minion_view> views = Fleet(2, 4);
  step_spec step = Step(8);
  step.wants_one_rack = true;
  views[0].free.accelerators = 0;

  SECTION("is chosen where the group fits into one") {
    const auto places = PlaceTasks(step, 4, views, {});
    REQUIRE(places);
    for (const std::size_t place : *places) {
      CHECK(views[place].rack == "r1");
    }
  }
  SECTION("is waited for, unless the limits give it up") {
    CHECK_FALSE(PlaceTasks(step, 5, views, {}));
    CHECK(PlaceTasks(step, 5, views, {true, false}));
  }
  SECTION("can be told to be too small for ever") {
    CHECK(CouldEverFit(step, 4, views, true));
    CHECK_FALSE(CouldEverFit(step, 5, views, true));
    CHECK(CouldEverFit(step, 8, views, false));
  }
}

TEST_CASE("Urgent and other work fill the racks from opposite ends") {
  std::vector<minion_view> views = Fleet(3, 2);
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].rack_rank = static_cast<int>(i / 2);
  }
  step_spec step = Step(8);
  const auto rack_of = [&](bool is_urgent) {
    const auto places = PlaceTasks(step, 2, views, {false, false, is_urgent});
    REQUIRE(places);
    return views[places->front()].rack;
  };
  CHECK(rack_of(false) == "r0");
  CHECK(rack_of(true) == "r2");
  step.wants_one_rack = true;
  CHECK(rack_of(false) == "r0");
  CHECK(rack_of(true) == "r2");
}

TEST_CASE("Labels, the data's rack and the limit per minion are kept to") {
  std::vector<minion_view> views = Fleet(2, 2);
  step_spec step = Step(1);

  SECTION("label") {
    step.required_label = "b";
    CHECK_FALSE(PlaceTasks(step, 1, views, {}));
  }
  SECTION("rack of the data") {
    step.data_rack = "r1";
    const auto places = PlaceTasks(step, 2, views, {});
    REQUIRE(places);
    for (const std::size_t place : *places) {
      CHECK(views[place].rack == "r1");
    }
  }
  SECTION("limit per minion") {
    step.max_per_minion = 1;
    const auto places = PlaceTasks(step, 4, views, {});
    REQUIRE(places);
    CHECK(std::set<std::size_t>(places->begin(), places->end()).size() == 4);
    CHECK_FALSE(PlaceTasks(step, 5, views, {}));
  }
}

TEST_CASE("Eviction takes the least loss, and only where it must") {
  std::vector<minion_view> views = Fleet(1, 3);
  for (minion_view& view : views) {
    view.free.accelerators = 0;
    view.evictable = {128'000, 262'144, 8};
  }
  views[0].evict_cost = 50;
  views[1].evict_cost = 10;
  views[2].evict_cost = 30;
  CHECK_FALSE(PlaceTasks(Step(8), 1, views, {}));
  const auto one = PlaceTasks(Step(8), 1, views, {false, true});
  REQUIRE(one);
  CHECK(one->front() == 1);

  SECTION("a free minion goes before any eviction, whatever its rack") {
    views[0].rack_rank = 1;
    views[0].free.accelerators = 8;
    const auto free = PlaceTasks(Step(8), 1, views, {false, true});
    REQUIRE(free);
    CHECK(free->front() == 0);
  }
}

}  // namespace
}  // namespace sassafras::sched

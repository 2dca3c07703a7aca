#include <catch2/catch.hpp>

#include <memory>

#include "sassafras/job/planner.h"

namespace sassafras {
namespace {

constexpr resources kCapacity = {8, 130, 256'000};
constexpr resources kWhole = {8, 128, 240'000};

// Two racks of four workers in one place; one shape of two whole workers.
config_ptr MakeConfig() {
  auto config = std::make_shared<published_config>();
  config_set& objects = config->objects;
  objects.places[{"p"}] = {{"p"}, "r"};
  for (int i = 0; i < 8; ++i) {
    const rack_id rack{i < 4 ? "r1" : "r2"};
    objects.racks[rack] = {rack, {"p"}};
    const worker_id id{"w" + std::to_string(i)};
    objects.workers[id] = {id, rack, "", kCapacity, false};
  }
  objects.shapes[{"pair"}] = {{"pair"}, shape_level::kRack, 2, kWhole};
  objects.shapes[{"five"}] = {{"five"}, shape_level::kRack, 5, kWhole};
  objects.teams[{"t"}] = {{"t"}, 1, {}, {}};
  job_class batch;
  batch.id = {"batch"};
  batch.kind = class_kind::kJob;
  objects.classes[{"batch"}] = batch;
  return config;
}

planned_job MakeJob(const std::string& id, const std::string& shape) {
  return {{id}, {"t"}, {"batch"}, {shape}, std::chrono::hours(1), {}};
}

TEST_CASE("Jobs are placed on free workers or refused for ever") {
  counter_table counters;
  planner subject({}, counters);
  subject.SetConfig(MakeConfig());

  SECTION("a shape that no rack can hold is refused when it is submitted") {
    const auto refusal = subject.Add(MakeJob("j", "five"));
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::kNeverFits);
  }

  SECTION("four pairs fill the site and the fifth waits") {
    for (int i = 0; i < 5; ++i) {
      REQUIRE_FALSE(subject.Add(MakeJob("j" + std::to_string(i), "pair")));
    }
    CHECK(subject.Decide({}).starts.size() == 4);

    SECTION("it starts when another ends") {
      subject.Remove({"j0"}, std::nullopt);
      const plan next = subject.Decide({});
      REQUIRE(next.starts.size() == 1);
      CHECK(next.starts[0].job == job_id{"j4"});
    }
  }
}

}  // namespace
}  // namespace sassafras

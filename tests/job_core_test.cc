#include <catch2/catch.hpp>

#include "tests/job_world.h"

namespace sassafras {

TEST_CASE("A gang is recorded, held, recorded again and released as a whole") {
  job_world world(MakeJobSite(4));
  const job_id job = world.Submit("k", "once", "four");

  SECTION("it starts within the seven seconds of urgent work") {
    CHECK(world.RunUntil(
        [&] { return world.Tasks(job, task_state::kRunning) == 4; }, 7s));
    CHECK(world.Row(job).attempt_released);
    SECTION("and ends with its outcome and no marker left") {
      world.Run(30s);
      CHECK(world.Row(job).outcome == job_outcome::kSucceeded);
      CHECK(world.Begun(job) == 4);
      CHECK(world.store.Read(JobMarkerKey(job)).version == 0);
    }
  }
  SECTION("no task works before the row says running") {
    world.on_step = [&] {
      const bool works = world.Tasks(job, task_state::kRunning) > 0;
      REQUIRE((!works || world.Row(job).attempt_released));
    };
    world.Run(40s);
  }
}

}  // namespace sassafras

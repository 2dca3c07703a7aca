#include <catch2/catch.hpp>

#include "tests/soak_driver.h"

namespace sassafras {
namespace {

TEST_CASE("Gateways keep their promises through every failure at random") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const soak_result result = SoakRequests({seed, 10'000});
    INFO(result.violation);
    CHECK(result.violation.empty());
  }
}

TEST_CASE("Schedulers keep their promises through every failure at random") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const soak_result result = SoakJobs({seed, 10'000});
    INFO(result.violation);
    CHECK(result.violation.empty());
  }
}

TEST_CASE("The same seed repeats a randomised run exactly") {
  CHECK(SoakRequests({7, 5'000}).met == SoakRequests({7, 5'000}).met);
  CHECK(SoakJobs({7, 5'000}).met == SoakJobs({7, 5'000}).met);
}

}  // namespace
}  // namespace sassafras

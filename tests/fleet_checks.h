#ifndef SASSAFRAS_TESTS_FLEET_CHECKS_H_
#define SASSAFRAS_TESTS_FLEET_CHECKS_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "tests/fake_fleet.h"

namespace sassafras::sched {

inline const resource_amounts kSmall{10'000, 10'000, 1};
inline const resource_amounts kWholeMinion{100'000, 200'000, 8};

inline std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

inline void CheckNoViolations(const fake_fleet& fleet) {
  INFO(Join(fleet.violations));
  CHECK(fleet.violations.empty());
}

inline accepted_job Gang(const std::string& id, int priority, int width) {
  accepted_job job =
      OneStep(id, priority, width, kWholeMinion, std::chrono::seconds(2));
  job.spec.steps[0].is_gang = true;
  return job;
}

}  // namespace sassafras::sched

#endif  // SASSAFRAS_TESTS_FLEET_CHECKS_H_

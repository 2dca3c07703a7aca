#include "sassafras/net/memory_budget.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace sassafras {
namespace {

constexpr std::uint64_t kLimit = 1 << 20;
constexpr std::uint64_t kLarge = 256 << 10;
constexpr std::uint64_t kSmall = 16 << 10;

// Load: many clients send large requests and complete none of them.
TEST_CASE("Large requests that are never completed use up the memory") {
  const auto budget = memory_budget::Make(kLimit);
  std::vector<std::unique_ptr<memory_budget::holder>> crowd;
  std::vector<int> closed(4, 0);
  int admitted = 0;
  for (std::size_t i = 0; i < closed.size(); ++i) {
    crowd.push_back(budget->Open([&closed, i] { ++closed[i]; }));
    crowd.back()->SetIncomplete(true);
    admitted += crowd.back()->Resize(kLarge + i) ? 1 : 0;
  }

  SECTION("a large one beyond their share is refused, and none is closed") {
    CHECK(admitted == 2);
    CHECK(budget->Used() == 2 * kLarge + 1);
    CHECK(closed == std::vector<int>{0, 0, 0, 0});
  }

  SECTION("small ones are admitted beside them") {
    std::vector<std::unique_ptr<memory_budget::holder>> callers;
    while (budget->Used() + kSmall <= kLimit) {
      callers.push_back(budget->Open([] {}));
      REQUIRE(callers.back()->Resize(kSmall));
    }
    CHECK(closed == std::vector<int>{0, 0, 0, 0});

    SECTION("and close the largest at the limit, each at most once") {
      for (int i = 0; i < 2; ++i) {
        callers.push_back(budget->Open([] {}));
        CHECK(callers.back()->Resize(kSmall));
      }
      CHECK(closed == std::vector<int>{1, 1, 0, 0});
    }

    SECTION("and are refused if no larger one can be closed") {
      for (const auto& one : crowd) {
        one->SetIncomplete(false);
      }
      callers.push_back(budget->Open([] {}));
      CHECK_FALSE(callers.back()->Resize(kSmall));
    }
  }

  SECTION("all is returned with their connections") {
    crowd.clear();
    CHECK(budget->Used() == 0);
  }
}

TEST_CASE("A budget without a limit admits everything and still counts") {
  const auto budget = memory_budget::Make(0);
  const auto holder = budget->Open([] {});
  CHECK(holder->Resize(kLimit * 100));
  CHECK(budget->Used() == kLimit * 100);
}

}  // namespace
}  // namespace sassafras

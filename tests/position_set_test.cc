#include "src/sched/position_set.h"

#include <catch2/catch.hpp>
#include <iterator>
#include <random>
#include <set>

#include "src/sched/unit_layout.h"

namespace sassafras::sched {
namespace {

std::optional<std::size_t> NextIn(const std::set<std::size_t>& elements,
                                  std::size_t position) {
  const auto it = elements.lower_bound(position);
  return it == elements.end() ? std::nullopt : std::optional(*it);
}

job_spec TwoOccurrences() {
  job_spec spec;
  spec.occurrences = 2;
  spec.steps.resize(3);
  spec.steps[0].count = 2;
  spec.steps[1].count = 5;
  spec.steps[1].is_gang = true;
  spec.steps[2].count = 3;
  return spec;
}

}  // namespace

TEST_CASE("A position set holds what was inserted and not erased") {
  constexpr std::size_t kPositions = 40;
  std::mt19937 random(7);
  position_set positions = position_set::Below(kPositions);
  std::set<std::size_t> expected;
  for (std::size_t position = 0; position < kPositions; ++position) {
    expected.insert(position);
  }
  for (int change = 0; change < 3000; ++change) {
    const std::size_t position = random() % kPositions;
    if (random() % 2 == 0) {
      positions.Insert(position);
      expected.insert(position);
    } else {
      positions.Erase(position);
      expected.erase(position);
    }
    const std::size_t first = random() % kPositions;
    const std::size_t end = first + random() % kPositions;
    REQUIRE(positions.Size() == expected.size());
    REQUIRE(positions.IsEmpty() == expected.empty());
    REQUIRE(positions.Contains(first) == expected.contains(first));
    REQUIRE(positions.NextFrom(first) == NextIn(expected, first));
    REQUIRE(positions.CountBetween(first, end) ==
            static_cast<std::size_t>(std::distance(expected.lower_bound(first),
                                                   expected.lower_bound(end))));
    for (std::size_t i = 1; i < positions.Ranges().size(); ++i) {
      REQUIRE(positions.Ranges()[i - 1].last + 1 < positions.Ranges()[i].first);
    }
  }
}

TEST_CASE("A position set without elements") {
  const position_set none = position_set::Below(0);
  CHECK(none.IsEmpty());
  CHECK_FALSE(none.NextFrom(0));
  CHECK(none.CountBetween(0, 10) == 0);
}

TEST_CASE("A layout numbers each unit of a job once in each order") {
  const unit_layout layout(TwoOccurrences());
  REQUIRE(layout.Size() == 12);
  CHECK(layout.UnitsOf(1) == 1);
  std::set<std::size_t> ranks;
  for (std::size_t position = 0; position < layout.Size(); ++position) {
    const unit_place place = layout.PlaceOf(position);
    INFO(place.occurrence << "." << place.step << "." << place.index);
    CHECK(layout.Find(place) == position);
    const std::size_t rank = layout.RankOf(place);
    CHECK(ranks.insert(rank).second);
    CHECK(rank < layout.Size());
    const unit_place again = layout.PlaceOfRank(rank);
    CHECK(layout.Find(again) == position);
  }

  SECTION("positions by occurrence") {
    CHECK(layout.Find({1, 0, 0}) == 6);
    CHECK(layout.FirstOf(1, 2) == 9);
  }
  SECTION("ranks by step") {
    CHECK(layout.RankOf({1, 0, 0}) == 2);
    CHECK(layout.RankOf({0, 1, 0}) == 4);
  }
  SECTION("and none that the job does not have") {
    CHECK_FALSE(layout.Find({2, 0, 0}));
    CHECK_FALSE(layout.Find({0, 3, 0}));
    CHECK_FALSE(layout.Find({0, 1, 1}));
    CHECK_FALSE(layout.Find({0, 0, -1}));
  }
}

}  // namespace sassafras::sched

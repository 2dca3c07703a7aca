#include <catch2/catch.hpp>

#include "sassafras/cluster/config_follower.h"
#include "sassafras/cluster/config_spread.h"

namespace sassafras {
namespace {

config_ptr Version(std::uint64_t version) {
  return std::make_shared<const published_config>(
      published_config{version, {}, ""});
}

}  // namespace

TEST_CASE("A configuration in force never reverts") {
  counter_table counters;
  config_follower follower(counters);
  REQUIRE(follower.Offer(Version(5)));
  SECTION("a lagging read or a peer with an old version changes nothing") {
    CHECK_FALSE(follower.Offer(Version(4)));
    CHECK_FALSE(follower.Offer(Version(5)));
    CHECK(follower.Current()->version == 5);
    CHECK(counters.Get("config_stale_offer") == 1);
  }
  SECTION("versions in between may be skipped") {
    CHECK(follower.Offer(Version(9)));
    CHECK_FALSE(follower.Offer(Version(8)));
  }
}

TEST_CASE("A process asks peers for what it has not") {
  counter_table counters;
  config_spread spread(counters);
  const instant start{};
  SECTION("a peer that is behind or even is not asked") {
    CHECK_FALSE(spread.OnVersionSeen(start, "a", 4, 5));
    CHECK_FALSE(spread.OnVersionSeen(start, "a", 5, 5));
    CHECK(counters.Get("config_peer_behind") == 1);
  }
  SECTION("one started during an outage asks on until it has the highest") {
    CHECK(spread.OnVersionSeen(start, "behind", 4, 0) == "behind");
    CHECK_FALSE(spread.OnVersionSeen(start, "behind", 4, 0));
    CHECK(spread.OnVersionSeen(start, "ahead", 5, 0) == "ahead");
    spread.OnContent();
    CHECK_FALSE(spread.OnVersionSeen(start, "behind", 4, 5));
  }
  SECTION("a peer that does not answer is followed by another") {
    CHECK(spread.OnVersionSeen(start, "dead", 5, 4) == "dead");
    CHECK(spread.OnVersionSeen(start + config_spread::kRequestTimeout, "other",
                               5, 4) == "other");
  }
}

}  // namespace sassafras

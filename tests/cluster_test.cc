#include <catch2/catch.hpp>

#include "sassafras/cluster/config_follower.h"
#include "sassafras/cluster/config_peer_selector.h"

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
  SECTION("a stale read or a peer with an older version changes nothing") {
    CHECK_FALSE(follower.Offer(Version(4)));
    CHECK_FALSE(follower.Offer(Version(5)));
    CHECK(follower.Current()->version == 5);
    CHECK(counters.Get("config_stale_offer") == 1);
  }
  SECTION("intermediate versions may be skipped") {
    CHECK(follower.Offer(Version(9)));
    CHECK_FALSE(follower.Offer(Version(8)));
  }
}

TEST_CASE("A process requests only newer configurations from its peers") {
  counter_table counters;
  config_peer_selector selector(counters);
  const instant start{};
  SECTION("a peer with an older or the same version is not asked") {
    CHECK_FALSE(selector.OnVersionSeen(start, "a", 4, 5));
    CHECK_FALSE(selector.OnVersionSeen(start, "a", 5, 5));
    CHECK(counters.Get("config_peer_behind") == 1);
  }
  SECTION(
      "a process started in an outage asks until it has the highest version") {
    CHECK(selector.OnVersionSeen(start, "behind", 4, 0) == "behind");
    CHECK_FALSE(selector.OnVersionSeen(start, "behind", 4, 0));
    CHECK(selector.OnVersionSeen(start, "ahead", 5, 0) == "ahead");
    selector.OnContent();
    CHECK_FALSE(selector.OnVersionSeen(start, "behind", 4, 5));
  }
  SECTION("another peer is asked if one does not answer in time") {
    CHECK(selector.OnVersionSeen(start, "dead", 5, 4) == "dead");
    CHECK(selector.OnVersionSeen(start + config_peer_selector::kRequestTimeout,
                                 "other", 5, 4) == "other");
  }
}

}  // namespace sassafras

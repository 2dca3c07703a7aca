#include "sassafras/cluster/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "bench/config_virtual_members.h"
#include "sassafras/cluster/membership_codec.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;
constexpr int kProcesses = 9;

member_state StateOf(const virtual_members& world, int viewer, int subject) {
  for (const member& info : world.View(viewer).Members()) {
    if (info.id == virtual_members::IdOf(subject)) {
      return info.state;
    }
  }
  return member_state::kDead;
}

int LiveViews(const virtual_members& world, int subject) {
  int count = 0;
  for (int viewer = 0; viewer < kProcesses; ++viewer) {
    if (viewer != subject && world.IsRunning(viewer)) {
      count += StateOf(world, viewer, subject) != member_state::kDead ? 1 : 0;
    }
  }
  return count;
}

}  // namespace

TEST_CASE("Processes find one another and agree") {
  virtual_members world(kProcesses, kSeed);
  world.RunFor(seconds(8));
  for (int i = 0; i < kProcesses; ++i) {
    CHECK(world.View(i).Members().size() == kProcesses);
  }
  SECTION("a process that dies is suspected, then dead for all within 7 s") {
    world.Stop(3);
    world.RunFor(seconds(7));
    CHECK(LiveViews(world, 3) == 0);
    SECTION("and comes back as another start with a greater incarnation") {
      const std::uint64_t before = world.View(3).Self().incarnation;
      const std::uint64_t old_start = world.View(3).Self().start;
      world.Restart(3);
      world.RunFor(seconds(10));
      CHECK(LiveViews(world, 3) == kProcesses - 1);
      CHECK(world.View(3).Self().start != old_start);
      CHECK(world.View(3).Self().incarnation > before);
    }
  }
  SECTION("a process that says it stops is gone without suspicion") {
    world.Leave(3);
    world.RunFor(seconds(2));
    CHECK(LiveViews(world, 3) == 0);
    CHECK(world.Count("member_died") == 0);
  }
  SECTION("a pause shorter than suspicion removes nobody") {
    world.Pause(3, milliseconds(2'000));
    world.RunFor(seconds(10));
    CHECK(world.Count("member_died") == 0);
    CHECK(LiveViews(world, 3) == kProcesses - 1);
  }
  SECTION("a long pause removes it; awake it contradicts its death") {
    world.Pause(3, seconds(20));
    world.RunFor(seconds(15));
    CHECK(LiveViews(world, 3) == 0);
    world.RunFor(seconds(12));
    CHECK(LiveViews(world, 3) == kProcesses - 1);
    CHECK(LiveViews(world, 4) == kProcesses - 1);
    CHECK(world.Count("member_contradicted") >= 1);
  }
  SECTION("a former self that wakes steps back") {
    world.ReplaceWhilePaused(3);
    world.RunFor(seconds(10));
    CHECK(world.Count("member_replaced") == 1);
    CHECK(LiveViews(world, 3) == kProcesses - 1);
  }
}

TEST_CASE("Faults of links remove nobody") {
  virtual_members world(kProcesses, kSeed);
  world.RunFor(seconds(8));
  SECTION("two peers that lose each other are bridged by others") {
    world.CutLink(1, 2);
    world.RunFor(seconds(30));
    CHECK(world.Count("member_died") == 0);
    CHECK(world.Count("member_answered_indirectly") > 0);
  }
  SECTION("a link silent for good is replaced by a new one") {
    world.SilenceLink(1, 2);
    world.RunFor(seconds(30));
    CHECK(world.Count("member_link_replaced") > 0);
    CHECK_FALSE(world.IsSilent(1, 2));
    CHECK(world.Count("member_died") == 0);
  }
  SECTION("one whose inbound links all fail does not condemn the rest") {
    for (int i = 0; i < kProcesses; ++i) {
      world.CutLink(i, 5);
    }
    world.RunFor(seconds(20));
    CHECK(world.View(5).Members().size() == kProcesses);
    CHECK(world.Count("member_isolated") > 0);
  }
  SECTION("regions that lose each other meet again") {
    world.Partition(5);
    world.RunFor(seconds(30));
    CHECK(world.View(0).Members().size() == 5);
    CHECK(world.View(8).Members().size() == 4);
    world.Heal();
    world.RunFor(seconds(40));
    CHECK(world.View(0).Members().size() == kProcesses);
    CHECK(world.View(8).Members().size() == kProcesses);
  }
  SECTION("half of the processes restarted within a second all return") {
    for (int i = 0; i < 5; ++i) {
      world.Restart(i);
      world.RunFor(milliseconds(200));
    }
    world.RunFor(seconds(15));
    for (int i = 0; i < kProcesses; ++i) {
      CHECK(world.View(i).Members().size() == kProcesses);
    }
  }
}

TEST_CASE("A hint of the platform makes a probe come sooner and no more") {
  virtual_members world(kProcesses, kSeed);
  world.RunFor(seconds(8));
  world.Hint(0, 3);
  world.RunFor(seconds(10));
  CHECK(LiveViews(world, 3) == kProcesses - 1);
}

TEST_CASE("Member messages survive the wire") {
  member_message message;
  message.kind = member_message_kind::kPingRequest;
  message.sender.value = "g1";
  message.start = 5;
  message.sequence = 9;
  message.config_version = 12;
  message.is_full_sync_requested = true;
  message.subject = {{"g2"}, "gateway", "127.0.0.1:1", {"lahore"}, 3, 4};
  message.updates = {
      {{"g3"}, "", "127.0.0.1:2", {"x"}, 6, 7, member_state::kLeft}};
  const auto wire = DecodePeerMessage(EncodeMemberMessage("piwhma", message));
  REQUIRE(wire);
  CHECK(wire.value().cluster == "piwhma");
  const auto decoded = DecodeMemberMessage(wire.value());
  REQUIRE(decoded);
  CHECK(decoded.value().kind == message.kind);
  CHECK(decoded.value().sequence == 9);
  CHECK(decoded.value().config_version == 12);
  CHECK(decoded.value().is_full_sync_requested);
  CHECK(decoded.value().subject == message.subject);
  CHECK(decoded.value().updates == message.updates);
  CHECK_FALSE(DecodePeerMessage("\xc1"));
}

}  // namespace sassafras

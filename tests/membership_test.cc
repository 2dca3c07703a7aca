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

member_state StateOf(const virtual_members& simulation,
                     int viewer,
                     int subject) {
  for (const member& info : simulation.View(viewer).Members()) {
    if (info.id == virtual_members::IdOf(subject)) {
      return info.state;
    }
  }
  return member_state::kDead;
}

int LiveViews(const virtual_members& simulation, int subject) {
  int count = 0;
  for (int viewer = 0; viewer < kProcesses; ++viewer) {
    if (viewer != subject && simulation.IsRunning(viewer)) {
      count +=
          StateOf(simulation, viewer, subject) != member_state::kDead ? 1 : 0;
    }
  }
  return count;
}

}  // namespace

TEST_CASE("Processes discover one another and agree on the members") {
  virtual_members simulation(kProcesses, kSeed);
  simulation.RunFor(seconds(8));
  for (int i = 0; i < kProcesses; ++i) {
    CHECK(simulation.View(i).Members().size() == kProcesses);
  }
  SECTION(
      "a process that stops is suspected, then dead in all views within 7 s") {
    simulation.Stop(3);
    simulation.RunFor(seconds(7));
    CHECK(LiveViews(simulation, 3) == 0);
    SECTION(
        "after a restart it returns with a new start and greater incarnation") {
      const std::uint64_t before = simulation.View(3).Self().incarnation;
      const std::uint64_t old_start = simulation.View(3).Self().start;
      simulation.Restart(3);
      simulation.RunFor(seconds(10));
      CHECK(LiveViews(simulation, 3) == kProcesses - 1);
      CHECK(simulation.View(3).Self().start != old_start);
      CHECK(simulation.View(3).Self().incarnation > before);
    }
  }
  SECTION("a process that announces its stop is removed without suspicion") {
    simulation.Leave(3);
    simulation.RunFor(seconds(2));
    CHECK(LiveViews(simulation, 3) == 0);
    CHECK(simulation.Count("member_died") == 0);
  }
  SECTION("a pause shorter than the suspicion period removes no member") {
    simulation.Pause(3, milliseconds(2'000));
    simulation.RunFor(seconds(10));
    CHECK(simulation.Count("member_died") == 0);
    CHECK(LiveViews(simulation, 3) == kProcesses - 1);
  }
  SECTION(
      "a long pause removes a member, which refutes its death on resuming") {
    simulation.Pause(3, seconds(20));
    simulation.RunFor(seconds(15));
    CHECK(LiveViews(simulation, 3) == 0);
    simulation.RunFor(seconds(12));
    CHECK(LiveViews(simulation, 3) == kProcesses - 1);
    CHECK(LiveViews(simulation, 4) == kProcesses - 1);
    CHECK(simulation.Count("member_contradicted") >= 1);
  }
  SECTION("a resumed process stops if a later start of its id is running") {
    simulation.ReplaceWhilePaused(3);
    simulation.RunFor(seconds(10));
    CHECK(simulation.Count("member_replaced") == 1);
    CHECK(LiveViews(simulation, 3) == kProcesses - 1);
  }
}

TEST_CASE("Link failures remove no member") {
  virtual_members simulation(kProcesses, kSeed);
  simulation.RunFor(seconds(8));
  SECTION("two peers without a direct link answer through other members") {
    simulation.CutLink(1, 2);
    simulation.RunFor(seconds(30));
    CHECK(simulation.Count("member_died") == 0);
    CHECK(simulation.Count("member_answered_indirectly") > 0);
  }
  SECTION("a link that delivers no messages is replaced by a new one") {
    simulation.SilenceLink(1, 2);
    simulation.RunFor(seconds(30));
    CHECK(simulation.Count("member_link_replaced") > 0);
    CHECK_FALSE(simulation.IsSilent(1, 2));
    CHECK(simulation.Count("member_died") == 0);
  }
  SECTION("a process that receives nothing declares no other member dead") {
    for (int i = 0; i < kProcesses; ++i) {
      simulation.CutLink(i, 5);
    }
    simulation.RunFor(seconds(20));
    CHECK(simulation.View(5).Members().size() == kProcesses);
    CHECK(simulation.Count("member_isolated") > 0);
  }
  SECTION("partitioned regions merge again once the network has healed") {
    simulation.Partition(5);
    simulation.RunFor(seconds(30));
    CHECK(simulation.View(0).Members().size() == 5);
    CHECK(simulation.View(8).Members().size() == 4);
    simulation.Heal();
    simulation.RunFor(seconds(40));
    CHECK(simulation.View(0).Members().size() == kProcesses);
    CHECK(simulation.View(8).Members().size() == kProcesses);
  }
  SECTION("half of the processes rejoin after restarts within a second") {
    for (int i = 0; i < 5; ++i) {
      simulation.Restart(i);
      simulation.RunFor(milliseconds(200));
    }
    simulation.RunFor(seconds(15));
    for (int i = 0; i < kProcesses; ++i) {
      CHECK(simulation.View(i).Members().size() == kProcesses);
    }
  }
}

TEST_CASE("A platform hint alone does not remove a member") {
  virtual_members simulation(kProcesses, kSeed);
  simulation.RunFor(seconds(8));
  simulation.Hint(0, 3);
  simulation.RunFor(seconds(10));
  CHECK(LiveViews(simulation, 3) == kProcesses - 1);
}

TEST_CASE("Member messages are unchanged by encoding and decoding") {
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

#include "src/sched/minion_trust.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "src/sched/stall_rule.h"
#include "tests/fleet_checks.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

const instant kNow = instant(1h);

TEST_CASE("A minion is trusted by the outcomes of its runs") {
  minion_trust trust;
  CHECK_FALSE(trust.IsProven(kNow));

  SECTION("failures of one job may be its own fault") {
    CHECK_FALSE(trust.OnEnd(kNow, "a", run_end::kFailed));
    CHECK_FALSE(trust.OnEnd(kNow, "a", run_end::kFailed));
    CHECK(trust.OnEnd(kNow, "b", run_end::kFailed));
  }
  SECTION("a success clears earlier failures") {
    trust.OnEnd(kNow, "a", run_end::kFailed);
    trust.OnEnd(kNow, "c", run_end::kDone);
    CHECK_FALSE(trust.OnEnd(kNow, "b", run_end::kFailed));
    CHECK(trust.IsProven(kNow));
  }
  SECTION("the time for which it is avoided doubles until a success") {
    REQUIRE(trust.Avoid(kNow, 2s));
    CHECK_FALSE(trust.Avoid(kNow + 1s, 2s));
    CHECK_FALSE(trust.IsAvoided(kNow + 2s));
    CHECK(trust.IsOnProbation());
    REQUIRE(trust.Avoid(kNow + 2s, 2s));
    CHECK(trust.IsAvoided(kNow + 5s));
    trust.OnEnd(kNow + 6s, "a", run_end::kDone);
    CHECK_FALSE(trust.IsOnProbation());
  }
  SECTION("progress proves it for about a second") {
    trust.OnProgress(kNow);
    CHECK(trust.IsProven(kNow + 1s));
    CHECK_FALSE(trust.IsProven(kNow + 2s));
  }
  SECTION("it is slow after several slow samples") {
    trust.AddSpeedSample(0.1);
    CHECK_FALSE(trust.IsSlow());
    trust.AddSpeedSample(0.1);
    trust.AddSpeedSample(0.1);
    CHECK(trust.IsSlow());
  }
}

TEST_CASE("An alert is raised while several minions hang") {
  stall_alert alert;
  alert.OnStall(kNow, "a");
  alert.OnStall(kNow, "a");
  CHECK_FALSE(alert.IsRaised(kNow));
  alert.OnStall(kNow + 1s, "b");
  CHECK(alert.IsRaised(kNow + 5s));
  CHECK_FALSE(alert.IsRaised(kNow + 7s));
}

TEST_CASE("A member of a run makes no progress") {
  // 40 ms for each percent until it stopped.
  member_progress member;
  member.percent = 30;
  member.progressing_for = 1200ms;
  member.estimate = 13s;

  SECTION("alone, it counts as stalled after 1.2 s") {
    member.standing_for = 1200ms;
    CHECK_FALSE(IsStalled(member));
    member.standing_for = 1300ms;
    CHECK(IsStalled(member));
  }
  SECTION("after half a second if its peers have gone on, or others hang") {
    member.standing_for = 600ms;
    member.behind_peers = 14;
    CHECK_FALSE(IsStalled(member));
    member.behind_peers = 15;
    CHECK(IsStalled(member));
    member.behind_peers = 0;
    member.has_alert = true;
    CHECK(IsStalled(member));
  }
  SECTION("a slow one is not stalled, also during an alert") {
    member.has_alert = true;
    member.progressing_for = 9s;  // 0.3 s for each percent.
    member.standing_for = 2s;
    CHECK_FALSE(IsStalled(member));
  }
  SECTION("one that has hardly begun is judged by its estimate") {
    member.percent = 1;
    member.has_alert = true;
    member.standing_for = 1s;
    CHECK_FALSE(IsStalled(member));
    member.standing_for = 1100ms;
    CHECK(IsStalled(member));
  }
  SECTION("one that has done its work waits for the others") {
    member.percent = 100;
    member.standing_for = 60s;
    CHECK_FALSE(IsStalled(member));
  }
}

TEST_CASE("Urgent gangs come while a quarter of the minions hangs") {
  fake_fleet::options options;
  options.minions = 16;
  fake_fleet fleet(options);
  // One task on most minions, so that progress is seen there.
  fleet.Submit(OneStep("batch", 2, 96, {20'000, 20'000, 1}, 2s));
  fleet.Run(1s);
  int position = 0;
  std::set<std::string> hanging;
  for (auto& [id, minion] : fleet.minions) {
    if (position++ % 4 == 1) {
      minion.speed = 0;
      hanging.insert(id);
    }
  }
  // Those that run when the minions begin to hang are moved.
  fleet.Run(3s);
  const std::size_t before = fleet.sent_starts.size();
  for (int i = 0; i < 6; ++i) {
    fleet.Submit(Gang("urgent" + std::to_string(i), 0, 2));
    fleet.Run(300ms);
  }

  SECTION("none is placed where nothing progresses") {
    int misplaced = 0;
    for (std::size_t i = before; i < fleet.sent_starts.size(); ++i) {
      const start_order& order = fleet.sent_starts[i];
      misplaced += order.run.task.job.starts_with("urgent") &&
                           hanging.contains(order.minion.id)
                       ? 1
                       : 0;
    }
    CHECK(misplaced == 0);
  }
  SECTION("each has ended when it would have without the fault") {
    fleet.Run(2800ms);
    for (int i = 0; i < 6; ++i) {
      CHECK(fleet.StateOf("urgent" + std::to_string(i)) ==
            job_state::kComplete);
    }
  }
  CheckNoViolations(fleet);
}

}  // namespace
}  // namespace sassafras::sched

#include <catch2/catch.hpp>

#include "sassafras/request/request_queue.h"
#include "sassafras/request/slot_shares.h"
#include "tests/request_world.h"

namespace sassafras {
namespace {

using replies = std::vector<std::shared_ptr<request_world::reply>>;

int Answered(const replies& all) {
  return static_cast<int>(
      std::count_if(all.begin(), all.end(),
                    [](const auto& item) { return item->is_answer; }));
}

TEST_CASE("A request is answered with the complete answer to its own send") {
  request_world world(1, 2);
  SECTION("each caller gets its own body") {
    replies all;
    for (int i = 0; i < 50; ++i) {
      all.push_back(world.Submit(0, "check", "", std::to_string(i)));
    }
    world.Run(seconds(1));
    for (int i = 0; i < 50; ++i) {
      CHECK(all[i]->body == "ran " + std::to_string(i));
    }
    CHECK(world.MaxInFlight() <= 8);
  }
  SECTION("an unknown token is refused") {
    const auto reply = world.Submit(0, "check", "", "b", duration(0), "nobody");
    CHECK(reply->kind == error_kind::kUnauthenticated);
  }
  SECTION("an unknown class is refused") {
    CHECK(world.Submit(0, "none")->kind == error_kind::kNotFound);
  }
  SECTION("a stopping gateway refuses new requests and finishes open ones") {
    const auto earlier = world.Submit(0, "check");
    world.Deliver(world.gateways[0], stop_requested{});
    CHECK(!world.gateways[0]->is_stopped);
    CHECK(world.Submit(0, "check")->kind == error_kind::kStopping);
    world.Run(seconds(1));
    CHECK(earlier->is_answer);
    CHECK(world.gateways[0]->is_stopped);
  }
  SECTION("requests whose callers disconnect at once do not occupy slots") {
    for (int i = 0; i < 500; ++i) {
      world.Submit(0, "batch");
      world.Deliver(world.gateways[0], caller_disconnected{world.last_request});
    }
    world.Run(milliseconds(20));
    CHECK(world.gateways[0]->core->Load().open == 0);
    CHECK(world.gateways[0]->core->Load().in_flight == 0);
  }
}

TEST_CASE("A full queue refuses requests with randomized retry times") {
  request_world world(1, 1);
  world.minions_by_name["m0"].work = seconds(1);
  replies all;
  for (int i = 0; i < 1100; ++i) {
    all.push_back(world.Submit(0, "batch"));
  }
  std::set<duration> waits;
  int refused = 0;
  for (const auto& item : all) {
    if (item->kind == error_kind::kQueueFull) {
      ++refused;
      waits.insert(item->retry_after);
    }
  }
  CHECK(refused == 1100 - 1000 - 8);
  CHECK(waits.size() > 80);
  CHECK(*waits.begin() >= milliseconds(500));

  SECTION("the full queue of one team does not affect another team") {
    const auto other = world.Submit(0, "batch", "", "b", duration(0), "t2");
    CHECK(other->kind != error_kind::kQueueFull);
  }
}

TEST_CASE("Urgent requests are served before queued batch requests") {
  request_world world(1, 1);
  world.minions_by_name["m0"].work = milliseconds(100);
  for (int i = 0; i < 200; ++i) {
    world.Submit(0, "batch");
  }
  world.Run(milliseconds(150));
  const auto urgent = world.Submit(0, "check");
  const instant sent = world.now;
  world.Run(seconds(1));
  REQUIRE(urgent->is_answer);
  CHECK(urgent->at - sent <= milliseconds(200));
}

TEST_CASE("The queue orders by floor then urgency then share then deadline") {
  config_set objects;
  const auto add = [&](const std::string& name, urgency order, int floor) {
    job_class added;
    added.id = {name};
    added.urgency_level = order;
    added.floor_percent = floor;
    added.target = target_id{"lab"};
    objects.classes[added.id] = added;
  };
  add("urgent", urgency::kUrgent, 0);
  add("batch", urgency::kBatch, 10);
  objects.teams[{"large"}].share = 3;
  objects.teams[{"small"}].share = 1;
  request_queue queue;
  queue.Configure(objects, {"lab"});
  request_id next = 0;
  std::map<request_id, std::string> names;
  const auto push = [&](const std::string& name, const std::string& team,
                        int deadline) {
    names[++next] = name + "/" + team;
    queue.Push({next, {name}, {team}, instant(seconds(deadline))});
    return next;
  };
  const auto any = [](const job_class&) { return true; };

  SECTION(
      "a class below its floor is served first without starving other "
      "classes") {
    for (int i = 0; i < 100; ++i) {
      push("urgent", "large", 10);
      push("batch", "large", 10);
    }
    int batch = 0;
    for (int i = 0; i < 50; ++i) {
      batch += names[*queue.Pop(50, any)] == "batch/large" ? 1 : 0;
    }
    CHECK(batch == 5);
  }
  SECTION("a floor of less than one slot is a percentage of dispatches") {
    for (int i = 0; i < 100; ++i) {
      push("urgent", "large", 10);
      push("batch", "large", 10);
    }
    int batch = 0;
    for (int i = 0; i < 55; ++i) {
      batch += names[*queue.Pop(5, any)] == "batch/large" ? 1 : 0;
    }
    CHECK(batch == 5);
  }
  SECTION("teams are served in proportion to their shares") {
    for (int i = 0; i < 40; ++i) {
      push("urgent", "large", 10);
      push("urgent", "small", 10);
    }
    int small = 0;
    for (int i = 0; i < 40; ++i) {
      small += names[*queue.Pop(50, any)] == "urgent/small" ? 1 : 0;
    }
    CHECK(small == 10);
  }
  SECTION("the earliest deadline is served first, then the oldest request") {
    push("urgent", "large", 20);
    const request_id second = push("urgent", "large", 10);
    const request_id third = push("urgent", "large", 10);
    CHECK(*queue.Pop(50, any) == second);
    CHECK(*queue.Pop(50, any) == third);
  }
}

TEST_CASE("Slot shares add up to all slots and are balanced between gateways") {
  for (int members = 1; members <= 20; ++members) {
    std::map<int, int> by_member;
    for (int minion = 0; minion < 50; ++minion) {
      int total = 0;
      for (int member = 0; member < members; ++member) {
        const int share =
            SlotShare({"m" + std::to_string(minion)}, 8, member, members);
        by_member[member] += share;
        total += share;
      }
      CHECK(total == 8);
    }
    for (const auto& [member, slots] : by_member) {
      CHECK(slots * members >= 400 - (members * 15));
    }
  }
  CHECK(SlotShare({"m"}, 8, 0, 0) == 0);
  CHECK(ConnectionShare(64, 9) * 9 <= 64);
}

TEST_CASE("Nine gateways together never exceed eight slots of each minion") {
  request_world world(9, 10);
  for (auto& [name, item] : world.minions_by_name) {
    item.work = milliseconds(100);
  }
  replies all;
  SECTION("requests arrive evenly at all gateways") {
    for (int i = 0; i < 900; ++i) {
      all.push_back(world.Submit(i % 9, "batch"));
    }
    world.Run(seconds(4));
    CHECK(Answered(all) == 900);
    CHECK(world.MaxInFlight() <= 8);
  }
  SECTION("all requests arrive at one gateway, which borrows slots") {
    const instant start = world.now;
    for (int i = 0; i < 900; ++i) {
      all.push_back(world.Submit(0, "batch"));
    }
    world.Run(seconds(10));
    CHECK(Answered(all) == 900);
    CHECK(world.MaxInFlight() <= 8);
    instant last = start;
    for (const auto& item : all) {
      last = std::max(last, item->at);
    }
    // With all 80 slots this would take 1.1 s, with its own 9 slots 10 s.
    CHECK(last - start <= seconds(4));

    // Lent slots have been returned: each gateway can use its own share again.
    world.Run(seconds(5));
    all.clear();
    for (int i = 0; i < 72; ++i) {
      all.push_back(world.Submit(i % 9, "batch"));
    }
    world.Run(milliseconds(300));
    CHECK(Answered(all) == 72);
  }
  SECTION("lost peer messages neither lend a slot twice nor lose it for good") {
    for (int i = 0; i < 900; ++i) {
      all.push_back(world.Submit(0, "batch"));
      world.ScheduleAfter(milliseconds(i * 3), [&world, i] {
        world.drop_peer_messages = i % 3 != 0;
      });
    }
    world.Run(seconds(30));
    CHECK(Answered(all) == 900);
    CHECK(world.MaxInFlight() <= 8);
  }
  SECTION("the slots borrowed by a gateway that dies are used again") {
    for (int i = 0; i < 900; ++i) {
      world.Submit(0, "batch");
    }
    world.Run(milliseconds(500));
    world.gateways[0]->is_dead = true;
    world.Run(seconds(3));
    for (int i = 0; i < 800; ++i) {
      all.push_back(world.Submit(1 + (i % 8), "batch"));
    }
    world.Run(milliseconds(2500));
    CHECK(Answered(all) == 800);
    CHECK(world.MaxInFlight() <= 8);
  }
  SECTION("a gateway that resumes after a pause waits for a new membership") {
    world.Submit(0, "batch");
    world.Run(seconds(1));
    world.refresh_members = false;
    world.gateways[0]->paused_until = world.now + seconds(30);
    std::vector<gateway_member> others;
    for (int i = 1; i < 9; ++i) {
      others.push_back(world.gateways[i]->self);
    }
    for (int i = 1; i < 9; ++i) {
      world.Deliver(world.gateways[i], members_changed{others});
    }
    world.Run(seconds(29));
    all.push_back(world.Submit(0, "batch"));
    for (int i = 0; i < 800; ++i) {
      world.Submit(1 + (i % 8), "batch");
    }
    world.Run(seconds(5));
    CHECK(Answered(all) == 0);
    CHECK(world.MaxInFlight() <= 8);
    CHECK(world.gateways[0]->counters.Get("request_pause_noticed") > 0);
  }
}

TEST_CASE("A pause of the gateway is not counted as service time of requests") {
  request_world world(1, 4);
  for (int i = 0; i < 100; ++i) {
    world.Submit(0, "batch");
    world.Run(milliseconds(5));
  }
  // These are answered while the gateway is paused.
  for (int i = 0; i < 16; ++i) {
    world.Submit(0, "batch");
  }
  world.gateways[0]->paused_until = world.now + seconds(30);
  replies after;
  for (int i = 0; i < 300; ++i) {
    world.Run(milliseconds(100));
    after.push_back(world.Submit(0, "batch"));
  }
  world.Run(seconds(20));
  REQUIRE(world.gateways[0]->counters.Get("request_pause_noticed") > 0);
  CHECK(Answered(after) == 300);
}

TEST_CASE("A leaving minion gets no new requests") {
  request_world world(1, 4);
  auto& leaving = world.minions_by_name["m0"];
  const auto submit_checks = [&] {
    for (int i = 0; i < 200; ++i) {
      world.Submit(0, "check");
      world.Run(milliseconds(5));
    }
  };
  submit_checks();
  REQUIRE(leaving.received > 0);
  const int before = leaving.received;
  SECTION("listed as leaving by the platform") {
    world.Deliver(world.gateways[0], leaving_minions_listed{{{"m0"}}});
    submit_checks();
    CHECK(leaving.received == before);
    world.Deliver(world.gateways[0], leaving_minions_listed{});
    submit_checks();
    CHECK(leaving.received > before);
  }
  SECTION("marked as leaving in the configuration") {
    auto changed = std::make_shared<published_config>(*world.config);
    changed->objects.targets[{"lab"}].minions[0].is_leaving = true;
    world.Deliver(world.gateways[0], config_changed{changed});
    submit_checks();
    CHECK(leaving.received == before);
  }
  SECTION(
      "refusing a request because it is leaving; the request runs elsewhere") {
    leaving.mode = minion_mode::kLeaving;
    replies all;
    for (int i = 0; i < 100; ++i) {
      all.push_back(world.Submit(0, "check"));
      world.Run(milliseconds(5));
    }
    world.Run(seconds(1));
    CHECK(Answered(all) == 100);
    CHECK(world.gateways[0]->counters.Get("minion_refused_leaving") <= 8);
  }
  SECTION(
      "a leaving target and a target without minions refuse with their own "
      "error") {
    auto changed = std::make_shared<published_config>(*world.config);
    changed->objects.targets[{"lab"}].is_leaving = true;
    world.Deliver(world.gateways[0], config_changed{changed});
    CHECK(world.Submit(0, "check")->kind == error_kind::kTargetLeaving);
    changed = std::make_shared<published_config>(*world.config);
    changed->objects.targets[{"lab"}].minions.clear();
    world.Deliver(world.gateways[0], config_changed{changed});
    CHECK(world.Submit(0, "check")->kind == error_kind::kNoMinion);
  }
}

TEST_CASE("Failing and unresponsive minions get few requests") {
  request_world world(1, 10);
  const auto submit_checks = [&](int count) {
    replies all;
    for (int i = 0; i < count; ++i) {
      all.push_back(world.Submit(0, "check"));
      world.Run(milliseconds(5));
    }
    world.Run(seconds(3));
    return all;
  };
  submit_checks(100);
  const auto received = [&] { return world.minions_by_name["m0"].received; };
  SECTION(
      "a minion that fails every request is ejected and reinstated gradually") {
    world.minions_by_name["m0"].mode = minion_mode::kFails;
    const int before = received();
    CHECK(Answered(submit_checks(400)) >= 396);
    CHECK(received() - before <= 10);
    world.minions_by_name["m0"].mode = minion_mode::kGood;
    world.Run(seconds(60));
    submit_checks(400);
    CHECK(received() - before > 20);
  }
  SECTION("requests to an unresponsive minion are hedged and all answered") {
    world.minions_by_name["m0"].mode = minion_mode::kSilent;
    CHECK(Answered(submit_checks(400)) == 400);
    CHECK(world.gateways[0]->counters.Get("retry_hedge") > 0);
  }
  SECTION(
      "an outage of all minions does not multiply the load through retries") {
    int before = 0;
    for (auto& [name, item] : world.minions_by_name) {
      item.mode = minion_mode::kFails;
      before += item.received;
    }
    submit_checks(1000);
    int after = 0;
    for (const auto& [name, item] : world.minions_by_name) {
      after += item.received;
    }
    CHECK(after - before <= 1000 + 100 + 50);
    CHECK(world.gateways[0]->counters.Get("retry_budget_spent") > 0);
  }
}

}  // namespace
}  // namespace sassafras

#include <catch2/catch.hpp>

#include "tests/request_world.h"

namespace sassafras {
namespace {

claim_state StateOf(const request_world& world, const std::string& key) {
  const auto row = world.rows.find("claim/heaters/" + key);
  REQUIRE(row != world.rows.end());
  const auto record = DecodeClaim(row->second.value);
  REQUIRE(record.has_value());
  return record.value().state;
}

void Kill(request_world::gateway& owner) {
  owner.is_dead = true;
}

TEST_CASE(
    "Fields unknown to this version are kept when a claim row is rewritten") {
  const std::string later =
      R"({"format":1,"state":"claimed","token":"t","holder":"g","later":[1]})";
  auto record = DecodeClaim(later);
  REQUIRE(record.has_value());
  record.value().state = claim_state::kUnknown;
  CHECK(EncodeClaim(record.value()).find(R"("later":[1])") !=
        std::string::npos);
  CHECK(!DecodeClaim(R"({"format":2,"state":"claimed","token":"t"})"));
  CHECK(!DecodeClaim("[]"));
}

TEST_CASE(
    "A non-idempotent request runs once and its answer is stored for "
    "resubmission") {
  request_world world(3, 4);
  const auto first = world.Submit(0, "reset", "k1");
  world.Run(seconds(1));
  REQUIRE(first->is_answer);
  CHECK(first->body == "ran b");
  CHECK(StateOf(world, "k1") == claim_state::kAnswered);

  SECTION(
      "a second submission through another gateway gets the stored answer") {
    const auto second = world.Submit(1, "reset", "k1");
    world.Run(seconds(1));
    CHECK(second->is_answer);
    CHECK(second->body == "ran b");
    CHECK(world.Executions("k1") == 1);
  }
  SECTION("a submission of the same key with another body is refused") {
    const auto second = world.Submit(1, "reset", "k1", "other");
    world.Run(seconds(1));
    CHECK(second->kind == error_kind::kKeyReused);
    CHECK(second->outcome == run_outcome::kNotRun);
  }
  SECTION("a submission without a key is refused") {
    const auto second = world.Submit(1, "reset");
    CHECK(second->kind == error_kind::kKeyMissing);
  }
}

TEST_CASE("Concurrent submissions of one key through every gateway run once") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    request_world world(9, 4, seed);
    world.minions_by_name["m0"].work = milliseconds(700);
    std::vector<std::shared_ptr<request_world::reply>> replies;
    replies.reserve(9);
    for (int i = 0; i < 9; ++i) {
      replies.push_back(world.Submit(i, "reset", "k"));
    }
    world.Run(seconds(5));
    CHECK(world.Executions("k") == 1);
    for (const auto& reply : replies) {
      CHECK(reply->is_answer);
    }
  }
}

TEST_CASE(
    "A request is not run twice if its gateway dies between claim and answer") {
  request_world world(3, 4);
  // The gateway dies just before it executes a matching action.
  const auto kill_before = [&](auto matches) {
    world.before = [matches](request_world::gateway& owner,
                             const request_action& action) mutable {
      if (owner.self.id.value == "g0" && matches(action)) {
        Kill(owner);
      }
    };
  };
  bool has_run = true;
  SECTION("before the claim is written") {
    kill_before([](const request_action& action) {
      return std::holds_alternative<commit_rows>(action);
    });
    has_run = false;
  }
  SECTION("between claim and dispatch") {
    kill_before([](const request_action& action) {
      return std::holds_alternative<send_request>(action);
    });
    has_run = false;
  }
  SECTION("between answer and reply") {
    kill_before([](const request_action& action) {
      return std::holds_alternative<reply_answer>(action);
    });
  }
  SECTION("before the answer is stored") {
    kill_before([](const request_action& action) {
      return std::holds_alternative<store_answer>(action);
    });
  }
  SECTION("between storing the answer and recording it in the claim row") {
    int commits = 0;
    kill_before([commits](const request_action& action) mutable {
      return std::holds_alternative<commit_rows>(action) && ++commits == 2;
    });
  }
  world.Submit(0, "reset", "k");
  world.Run(seconds(1));
  CHECK(world.gateways[0]->is_dead);
  CHECK(world.Executions("k") == (has_run ? 1 : 0));
  const bool was_claimed = world.rows["claim/heaters/k"].version > 0;

  const auto second = world.Submit(1, "reset", "k");
  world.Run(seconds(3));
  if (was_claimed) {
    CHECK(second->kind == error_kind::kMinionLost);
    CHECK(second->outcome == run_outcome::kUnknown);
    CHECK(StateOf(world, "k") == claim_state::kUnknown);
    CHECK(world.Executions("k") == (has_run ? 1 : 0));
  } else {
    CHECK(second->is_answer);
    CHECK(world.Executions("k") == 1);
  }
}

TEST_CASE(
    "Commits whose answers were lost are resolved by reading the row back") {
  request_world world(2, 4);
  SECTION("the claim took effect but the answer to its commit was lost") {
    world.lose_commit_answers = 1;
  }
  SECTION("the answers to several commits are lost") {
    world.lose_commit_answers = 5;
  }
  const auto first = world.Submit(0, "reset", "k");
  world.Run(seconds(5));
  CHECK(first->is_answer);
  CHECK(world.Executions("k") == 1);
  CHECK(StateOf(world, "k") == claim_state::kAnswered);
}

TEST_CASE("A stale read does not end a write whose commit answer was lost") {
  request_world world(2, 4);
  for (auto& [name, item] : world.minions_by_name) {
    item.mode = minion_mode::kResets;
  }
  const auto first = world.Submit(0, "reset", "k");
  world.Run(milliseconds(12));
  world.are_reads_stale = true;
  world.lose_commit_answers = 1;
  world.Run(seconds(2));
  CHECK(first->outcome == run_outcome::kUnknown);
  CHECK(StateOf(world, "k") == claim_state::kUnknown);
  CHECK(world.gateways[0]->core->Load().open == 0);
  CHECK(world.gateways[0]->counters.Get("claim_commit_unknown") == 1);
}

TEST_CASE("Idempotent requests are served while the store is unavailable") {
  request_world world(2, 4);
  world.is_store_unavailable = true;
  const auto reset = world.Submit(0, "reset", "k", "b", seconds(3));
  const auto check = world.Submit(0, "check");
  world.Run(seconds(2));
  CHECK(check->is_answer);

  SECTION("non-idempotent requests end as not run at their own deadline") {
    world.Run(seconds(60));
    CHECK(reset->kind == error_kind::kStoreUnavailable);
    CHECK(reset->outcome == run_outcome::kNotRun);
    CHECK(world.Executions("k") == 0);
    world.is_store_unavailable = false;
    const auto second = world.Submit(1, "reset", "k");
    world.Run(seconds(5));
    CHECK(second->is_answer);
    CHECK(world.Executions("k") == 1);
  }
  SECTION(
      "non-idempotent requests run if the store recovers before their "
      "deadline") {
    world.is_store_unavailable = false;
    world.Run(seconds(3));
    CHECK(reset->is_answer);
    CHECK(world.Executions("k") == 1);
  }
}

TEST_CASE(
    "The claim of a timed-out request is released before the key runs again") {
  request_world world(2, 4);
  world.before = [&](request_world::gateway&, const request_action& action) {
    if (std::holds_alternative<commit_rows>(action)) {
      world.lose_commit_answers = 1;
    }
  };
  const auto first = world.Submit(0, "reset", "k", "b", milliseconds(50));
  world.Run(milliseconds(60));
  CHECK(first->kind == error_kind::kStoreUnavailable);
  CHECK(first->outcome == run_outcome::kNotRun);
  world.before = nullptr;
  world.lose_commit_answers = 0;
  world.Run(seconds(3));
  CHECK(StateOf(world, "k") == claim_state::kReleased);
  CHECK(world.Executions("k") == 0);
  const auto second = world.Submit(1, "reset", "k");
  world.Run(seconds(2));
  CHECK(second->is_answer);
  CHECK(world.Executions("k") == 1);
}

TEST_CASE("A gateway that resumes after a pause does not run a request twice") {
  request_world world(2, 4);
  world.before = [&](request_world::gateway& owner,
                     const request_action& action) {
    if (std::holds_alternative<commit_rows>(action)) {
      owner.paused_until = world.now + seconds(30);
    }
  };
  world.Submit(0, "reset", "k");
  world.Run(seconds(1));
  world.before = nullptr;
  // The other gateway considers the paused one dead.
  world.refresh_members = false;
  world.Deliver(world.gateways[1], members_changed{{world.gateways[1]->self}});
  const auto second = world.Submit(1, "reset", "k");
  world.Run(seconds(40));
  CHECK(second->kind == error_kind::kMinionLost);
  CHECK(second->outcome == run_outcome::kUnknown);
  CHECK(world.Executions("k") <= 1);
  CHECK(StateOf(world, "k") == claim_state::kUnknown);
}

TEST_CASE(
    "The outcome reported to the caller follows from the behaviour of the "
    "minion") {
  request_world world(1, 4);
  const auto set_all = [&](minion_mode mode) {
    for (auto& [name, item] : world.minions_by_name) {
      item.mode = mode;
    }
  };
  SECTION(
      "connection reset after the last byte: unknown, also on resubmission") {
    set_all(minion_mode::kResets);
    const auto first = world.Submit(0, "reset", "k");
    world.Run(seconds(1));
    CHECK(first->outcome == run_outcome::kUnknown);
    set_all(minion_mode::kGood);
    const auto second = world.Submit(0, "reset", "k");
    world.Run(seconds(1));
    CHECK(second->outcome == run_outcome::kUnknown);
    CHECK(world.Executions("k") == 1);
  }
  SECTION("no connection: not run, and a later submission of the key may run") {
    set_all(minion_mode::kRefuses);
    const auto first = world.Submit(0, "reset", "k");
    world.Run(seconds(2));
    CHECK(first->kind == error_kind::kNoMinion);
    CHECK(first->outcome == run_outcome::kNotRun);
    CHECK(StateOf(world, "k") == claim_state::kReleased);
    set_all(minion_mode::kGood);
    world.Run(seconds(30));
    const auto second = world.Submit(0, "reset", "k");
    world.Run(seconds(1));
    CHECK(second->is_answer);
  }
  SECTION("failure answer: the outcome is ran and the key ran once") {
    set_all(minion_mode::kFails);
    const auto first = world.Submit(0, "reset", "k");
    world.Run(seconds(1));
    CHECK(first->kind == error_kind::kMinionFailed);
    CHECK(first->outcome == run_outcome::kRan);
    CHECK(world.Executions("k") == 1);
  }
  SECTION(
      "caller disconnects: the answer is recorded for its next submission") {
    world.Submit(0, "reset", "k");
    world.Run(milliseconds(8));
    world.Deliver(world.gateways[0], caller_disconnected{world.last_request});
    world.Run(seconds(1));
    CHECK(StateOf(world, "k") == claim_state::kAnswered);
  }
}

}  // namespace
}  // namespace sassafras

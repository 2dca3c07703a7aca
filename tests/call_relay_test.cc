#include "programs/entry/call_relay.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/fake_table.h"
#include "tests/service_world.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

const instant kStart = instant(1h);

std::set<std::string> Addresses(int count) {
  std::set<std::string> addresses;
  for (int i = 0; i < count; ++i) {
    addresses.insert("10.0.0." + std::to_string(i) + ":7000");
  }
  return addresses;
}

http_answer Answer(int status) {
  http_answer answer;
  answer.state = answer_state::kDone;
  answer.response.status = status;
  return answer;
}

TEST_CASE("A part of the entry processes is turned away by the store") {
  entry_peers peers(7);
  peers.SetPeers(Addresses(12));
  instant now = kStart;

  SECTION("nearly every caller is served by the third peer asked") {
    // Four of the other twelve are turned away, too.
    const auto can_serve = [](const std::string& address) {
      return address >= "10.0.0.3:7000";
    };
    int served = 0;
    for (int call = 0; call < 200; ++call) {
      now += 40ms;
      std::set<std::string> asked;
      for (int attempt = 0; attempt < 3; ++attempt) {
        const auto peer = peers.Choose(now, asked);
        if (!peer) {
          break;
        }
        asked.insert(*peer);
        const bool is_served = can_serve(*peer);
        peers.OnOutcome(
            now, *peer,
            is_served ? peer_outcome::kServed : peer_outcome::kRefused);
        if (is_served) {
          ++served;
          break;
        }
      }
    }
    CHECK(served >= 195);
  }
  SECTION("if the store is away for all, few peers are asked") {
    int asks = 0;
    for (int call = 0; call < 250; ++call) {
      now += 40ms;
      if (const auto peer = peers.Choose(now, {})) {
        ++asks;
        peers.OnOutcome(now, *peer, peer_outcome::kRefused);
      }
    }
    // In 10 s, at most one more than half of them in 0.7 s.
    CHECK(asks <= 105);
  }
  SECTION("a silent peer is not asked again for seconds") {
    const std::string silent = *peers.Choose(now, {});
    peers.OnOutcome(now, silent, peer_outcome::kSilent);
    for (int i = 0; i < 100; ++i) {
      CHECK(peers.Choose(now + 2s, {}) != silent);
    }
  }
  SECTION("no peer is asked twice for one call") {
    CHECK_FALSE(peers.Choose(now, Addresses(12)));
  }
}

// One relay, with its table, whose calls to peers the test answers.
struct relay_world {
  relay_world() {
    call_relay::hooks hooks;
    hooks.now = [this] { return now; };
    hooks.after = [this](duration, std::function<void()> action) {
      delayed.push_back(std::move(action));
    };
    hooks.send = [this](const std::string& address, const http_request& request,
                        duration, std::function<void(http_answer)> done) {
      asked.push_back(address);
      last_request = request;
      done(answers.contains(address) ? answers.at(address) : http_answer{});
    };
    port = table.Port();
    relay = call_relay::Make("front-1", "10.0.0.1:7000", port, counters, hooks);
  }

  void RunDelayed() {
    for (const auto& action : std::exchange(delayed, {})) {
      action();
    }
  }

  relay_answer Relay(const std::string& method) {
    http_request request;
    request.method = method;
    request.path = "/queue/5c0e7a21d94b36f8";
    request.headers = {{"host", "a.example"}, {"content-length", "7"}};
    std::optional<relay_answer> answer;
    relay->Relay(request, 18, [&](relay_answer done) { answer = done; });
    REQUIRE(answer);
    return *answer;
  }

  instant now = kStart;
  counter_table counters;
  fake_table table;
  table_port port;
  std::vector<std::function<void()>> delayed;
  std::vector<std::string> asked;
  http_request last_request;
  std::map<std::string, http_answer> answers;  // By address; else no answer.
  std::shared_ptr<call_relay> relay;
};

TEST_CASE("Entry processes find each other in the store") {
  relay_world world;
  world.table.Commit({{EntryKey("front-2"), 0, "10.0.0.2:7000"}});
  world.relay->Start();
  CHECK(world.table.Read(EntryKey("front-1")).value == "10.0.0.1:7000");

  SECTION("a call is passed to one of the others, without its connection") {
    world.answers["10.0.0.2:7000"] = Answer(200);
    world.answers["10.0.0.2:7000"].response.headers[kHandledByVersionHeader] =
        "19";
    const relay_answer answer = world.Relay("POST");
    CHECK(answer.state == answer_state::kDone);
    CHECK(answer.handled_by_version == 19);
    CHECK(answer.response.headers.empty());
    CHECK(world.last_request.Header("host") == "a.example");
    CHECK(world.last_request.Header("content-length").empty());
    CHECK(world.last_request.Header(kRelayedHeader) == "18");
  }
  SECTION("a process that is gone for minutes is not asked") {
    world.now += 301s;
    world.RunDelayed();
    world.Relay("GET");
    CHECK(world.asked.empty());
  }
  SECTION("the row is erased at a graceful stop") {
    world.RunDelayed();
    world.relay->Stop();
    CHECK(world.table.Read(EntryKey("front-1")).version == 0);
  }
}

TEST_CASE("A process knows few of a large fleet") {
  relay_world world;
  for (int i = 2; i < 302; ++i) {
    world.table.Commit({{EntryKey("front-" + std::to_string(i)), 0,
                         "10.0.1." + std::to_string(i) + ":7000"}});
  }
  world.relay->Start();

  SECTION("and these are sixteen, wherever its own row is in their order") {
    for (int call = 0; call < 200; ++call) {
      world.now += 4s;
      world.Relay("GET");
    }
    const std::set<std::string> known(world.asked.begin(), world.asked.end());
    CHECK(known.size() == 16);
  }
  SECTION("a fleet of two knows the other one") {
    world.table.rows.clear();
    world.table.Commit({{EntryKey("front-9"), 0, "10.0.1.9:7000"}});
    world.RunDelayed();
    world.Relay("GET");
    CHECK(world.asked == std::vector<std::string>{"10.0.1.9:7000"});
  }
}

TEST_CASE("A call is passed on and no peer serves it") {
  relay_world world;
  world.table.Commit({{EntryKey("front-2"), 0, "10.0.0.2:7000"}});
  world.table.Commit({{EntryKey("front-3"), 0, "10.0.0.3:7000"}});
  world.relay->Start();

  SECTION("both refuse: it has not run") {
    world.answers["10.0.0.2:7000"] = Answer(503);
    world.answers["10.0.0.3:7000"] = Answer(503);
    CHECK(world.Relay("POST").state == answer_state::kNotDone);
    CHECK(world.asked.size() == 2);
  }
  SECTION("a submission without an answer may have been accepted") {
    CHECK(world.Relay("POST").state == answer_state::kUnknown);
    CHECK(world.asked.size() == 1);
  }
  SECTION("a query without an answer is passed to the next one") {
    CHECK(world.Relay("GET").state == answer_state::kNotDone);
    CHECK(world.asked.size() == 2);
  }
}

TEST_CASE("A caller comes to a process that the store turns away") {
  service_world world;
  CHECK(world.Call("POST") == 200);
  CHECK(world.relayed_with.empty());
  world.LoseStore();

  SECTION("it gets the answer of another process at once") {
    world.peer_answer = {answer_state::kDone, {200}, 18};
    CHECK(world.Call("POST") == 200);
    CHECK(world.Call("GET") == 200);
    CHECK(world.relayed_with == std::vector<std::uint64_t>{18, 18});

    SECTION("a process that has no older configuration") {
      world.peer_answer.handled_by_version = 19;
      world.Call("GET");
      world.Call("GET");
      CHECK(world.relayed_with.back() == 19);
    }
    SECTION("and does not see an older one when the store is back") {
      world.peer_answer.handled_by_version = 19;
      world.Call("GET");
      world.table.is_down = false;
      world.port.read({"x/y"}, [](const read_answer&) {});
      const std::size_t before = world.relayed_with.size();
      CHECK(world.Call("GET") == 200);
      CHECK(world.relayed_with.size() == before + 1);
    }
  }
  SECTION("it is refused if no other process reaches the store") {
    CHECK(world.Call("POST") == 503);
  }
  SECTION("its submission may have been accepted if the other is silent") {
    world.peer_answer.state = answer_state::kUnknown;
    CHECK(world.Call("POST") == 504);
  }
}

TEST_CASE("A process gets a call that another one has passed on") {
  service_world world;

  SECTION("it serves it and states by which configuration") {
    CHECK(world.Call("POST", "18") == 200);
    CHECK(world.answer_headers.at(kHandledByVersionHeader) == "18");
  }
  SECTION("it refuses it if its configuration is older") {
    CHECK(world.Call("POST", "19") == 503);
  }
  SECTION("it does not pass it on again") {
    world.LoseStore();
    CHECK(world.Call("POST", "18") == 503);
    CHECK(world.relayed_with.empty());
  }
}

// Guards against a job that starts after its caller was told that it does not
// exist.
TEST_CASE("A submission whose write was lost is cancelled") {
  service_world world;
  const std::string id = "5c0e7a21d94b36f8";
  const std::string key = sched::JobKey(id);
  // The store answers no write of the job, and performs them later.
  std::vector<table_transaction> held_writes;
  world.intercept_commit = [&](const table_transaction& transaction) {
    held_writes.push_back(transaction);
    return commit_answer{answer_state::kUnknown, error_kind::kStoreUnknown, {}};
  };
  const auto perform_held_writes = [&] {
    for (const table_transaction& transaction : held_writes) {
      world.table.Commit(transaction);
    }
    held_writes.clear();
  };
  const auto is_accepted = [&] {
    const table_row row = world.table.Read(key);
    const auto job = sched::DecodeJobRow(row.value);
    return row.version != 0 && job && job.value().IsAccepted();
  };
  CHECK(world.Call("POST") == 504);
  REQUIRE_FALSE(held_writes.empty());
  world.RegainStore();

  SECTION("before it takes effect: it never does") {
    world.intercept_commit = nullptr;
    CHECK(world.Call("DELETE") == 410);
    perform_held_writes();
    CHECK_FALSE(is_accepted());
    CHECK(world.Call("GET") == 410);
  }
  SECTION("after an earlier refusal, whose mark the lost write replaces") {
    world.intercept_commit = nullptr;
    held_writes.clear();
    world.table.Commit(
        {{key, 0, sched::EncodeJobRow({sched::job_row_kind::kRefused, {}})}});
    world.intercept_commit = [&](const table_transaction& transaction) {
      if (transaction[0].expected_version == 0) {
        return world.table.Commit(transaction);
      }
      held_writes.push_back(transaction);
      return commit_answer{
          answer_state::kUnknown, error_kind::kStoreUnknown, {}};
    };
    CHECK(world.Call("POST") == 504);
    REQUIRE_FALSE(held_writes.empty());
    world.RegainStore();
    world.intercept_commit = nullptr;
    CHECK(world.Call("DELETE") == 410);
    perform_held_writes();
    CHECK_FALSE(is_accepted());
  }
  SECTION("while it takes effect: the job is cancelled") {
    world.intercept_commit = [&](const table_transaction& transaction) {
      world.intercept_commit = nullptr;
      perform_held_writes();
      return world.table.Commit(transaction);
    };
    CHECK(world.Call("DELETE") == 200);
    CHECK(is_accepted());
    CHECK(world.table.Read(sched::CancelKey(id)).version != 0);
  }
  SECTION("and the store does not answer that either: the outcome is unknown") {
    CHECK(world.Call("DELETE") == 504);
  }
  SECTION("and a later submission of the same id, maybe a copy, is refused") {
    world.intercept_commit = nullptr;
    CHECK(world.Call("DELETE") == 410);
    CHECK(world.Call("POST") == 410);
    CHECK_FALSE(is_accepted());
  }
}

}  // namespace
}  // namespace sassafras

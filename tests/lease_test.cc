#include "sassafras/cluster/lease.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>

#include "programs/shell/lease_keeper.h"
#include "sassafras/core/invariant.h"
#include "sassafras/core/random.h"
#include "tests/fake_table.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTerm = seconds(3);
const std::string kKey = "lease/jobs";

lease_options Options(const std::string& holder,
                      const std::string& incarnation) {
  return {kKey, {holder}, incarnation, kTerm, milliseconds(500)};
}

// One contender against a table that answers at once.
struct contender {
  contender(const std::string& holder, const std::string& incarnation)
      : contender(Options(holder, incarnation)) {}

  explicit contender(lease_options options)
      : object(std::move(options), counters) {}

  // Reads `row` and commits what is due. Returns whether it may act then.
  bool Step(fake_table& table, instant now, const table_row& row) {
    if (const auto write = object.OnRow(now - answer_time, now, row)) {
      object.OnCommit(now, now, table.Commit({*write}));
    }
    return object.MayAct(now);
  }

  bool Step(fake_table& table, instant now) {
    return Step(table, now, table.Read(kKey));
  }

  duration answer_time{0};  ///< Of reads.
  counter_table counters;
  lease object;
};

instant At(std::int64_t ms) {
  return instant(milliseconds(ms));
}

}  // namespace

TEST_CASE("A lease changes hands only after it stood for a whole term") {
  fake_table table;
  contender first("s1", "a");
  contender second("s2", "b");
  REQUIRE(first.Step(table, At(0)));
  CHECK(first.object.Epoch() == 1);

  SECTION("another process waits a term from when it first saw the row") {
    CHECK_FALSE(second.Step(table, At(1'000)));
    CHECK(second.object.LastHolder() == "s1");
    CHECK_FALSE(second.Step(table, At(3'999)));
    CHECK(second.Step(table, At(4'000)));
    CHECK(second.object.Epoch() == 2);
    SECTION("the holder that slept through it may not act when it wakes") {
      CHECK_FALSE(first.object.MayAct(At(4'000)));
      const auto guard = first.object.Guard(At(0));
      REQUIRE(guard);
      CHECK(table.Commit({*guard}).reason == error_kind::kConflict);
      CHECK_FALSE(first.Step(table, At(4'100)));
      CHECK(first.counters.Get(GetErrorInfo(error_kind::kLeaseLost).counter) ==
            1);
    }
  }
  SECTION("a renewal starts the wait again") {
    CHECK_FALSE(second.Step(table, At(1'000)));
    CHECK(first.Step(table, At(2'000)));
    CHECK(first.object.Epoch() == 1);
    CHECK_FALSE(second.Step(table, At(4'000)));
    CHECK_FALSE(second.Step(table, At(6'999)));
    CHECK(second.Step(table, At(7'000)));
  }
  SECTION("the holder stops a margin before the end of its term") {
    CHECK(first.object.MayAct(At(2'499)));
    CHECK_FALSE(first.object.MayAct(At(2'500)));
  }
  SECTION("an overdue holder whose row nobody took goes on") {
    CHECK(first.Step(table, At(60'000)));
    CHECK(first.object.Epoch() == 1);
  }
  SECTION("a released lease is taken at once") {
    table.Commit({*first.object.Release(At(100))});
    CHECK_FALSE(first.object.MayAct(At(100)));
    CHECK_FALSE(first.object.IsReadDue(At(9'000)));
    CHECK(second.Step(table, At(200)));
    CHECK(second.object.Epoch() == 2);
  }
  SECTION("the same process started anew waits like any other") {
    contender again("s1", "c");
    CHECK_FALSE(again.Step(table, At(100)));
    CHECK_FALSE(again.Step(table, At(3'099)));
    CHECK(again.Step(table, At(3'100)));
    CHECK(again.object.Epoch() == 2);
    CHECK_FALSE(first.Step(table, At(3'200)));
  }
  SECTION("unless its id names one process at a time") {
    lease_options options = Options("s1", "c");
    options.is_id_exclusive = true;
    contender again(options);
    CHECK(again.Step(table, At(200)));
    CHECK(again.object.Epoch() == 2);
    CHECK_FALSE(first.Step(table, At(300)));
    SECTION("which says nothing about other processes") {
      lease_options other = Options("s2", "d");
      other.is_id_exclusive = true;
      contender third(other);
      CHECK_FALSE(third.Step(table, At(400)));
      CHECK_FALSE(third.Step(table, At(500)));
    }
  }
}

TEST_CASE("A process may leave a free lease to others for a while") {
  fake_table table;
  lease_options options = Options("s1", "a");
  options.acquire_delay = milliseconds(700);
  contender delayed(options);
  CHECK_FALSE(delayed.Step(table, At(0)));

  SECTION("it takes what nobody else took") {
    CHECK_FALSE(delayed.Step(table, At(699)));
    CHECK(delayed.Step(table, At(700)));
  }
  SECTION("it waits longer than a term for another's") {
    contender undelayed("s2", "b");
    REQUIRE(undelayed.Step(table, At(100)));
    CHECK_FALSE(delayed.Step(table, At(200)));
    CHECK_FALSE(delayed.Step(table, At(3'899)));
    CHECK(delayed.Step(table, At(3'900)));
  }
}

TEST_CASE("A weak holder hands the lease to a process that is stronger") {
  fake_table table;
  lease_options options = Options("s1", "a");
  options.acquire_delay = milliseconds(700);
  options.capacity = 0.12;
  contender small(options);
  small.Step(table, At(0));
  REQUIRE(small.Step(table, At(700)));
  options = Options("s2", "b");
  options.capacity = 0.5;
  contender large(options);
  CHECK_FALSE(large.Step(table, At(800)));

  SECTION("which has asked for it in the row, without taking it") {
    CHECK(small.object.MayAct(At(800)));
    CHECK_FALSE(small.object.ShouldYield());
    const auto guard = small.object.Guard(At(810));
    REQUIRE(guard);
    small.object.OnGuarded(At(810), At(810), table.Commit({*guard}));
    CHECK(small.object.MayAct(At(810)));
    REQUIRE(small.object.ShouldYield());
    const auto write = small.object.Yield(At(820));
    CHECK_FALSE(small.object.MayAct(At(820)));
    REQUIRE(write);

    SECTION("and takes it as soon as it is free") {
      table.Commit({*write});
      CHECK(large.object.IsReadDue(At(900)));
      CHECK(large.Step(table, At(900)));
      CHECK_FALSE(small.Step(table, At(910)));
    }
    SECTION("and if it does not take it, the weak one does, after its delay") {
      table.Commit({*write});
      CHECK_FALSE(small.Step(table, At(900)));
      CHECK_FALSE(small.Step(table, At(1'500)));
      CHECK(small.Step(table, At(1'600)));
    }
    SECTION("and waits a whole term if the write was lost") {
      CHECK_FALSE(large.Step(table, At(900)));
      CHECK_FALSE(large.Step(table, At(3'799)));
      CHECK(large.Step(table, At(3'900)));
    }
  }
  SECTION("but not to one that is hardly stronger") {
    options = Options("s3", "c");
    options.capacity = 0.2;
    contender similar(options);
    similar.Step(table, At(820));
    CHECK(similar.counters.Get("lease_asked_for") == 0);
  }
  SECTION("and is not asked again by each of many") {
    options = Options("s3", "c");
    options.capacity = 0.5;
    contender other(options);
    other.Step(table, At(820));
    large.Step(table, At(880));
    CHECK(other.counters.Get("lease_asked_for") == 0);
    CHECK(large.counters.Get("lease_asked_for") == 1);
  }
}

TEST_CASE("A slow store makes the lease longer") {
  fake_table table;
  lease_options options = Options("s1", "a");
  options.term = milliseconds(900);
  options.margin = milliseconds(200);
  options.max_term = seconds(5);
  contender first(options);
  REQUIRE(first.Step(table, At(0)));
  CHECK_FALSE(first.object.MayAct(At(700)));
  first.answer_time = milliseconds(500);
  REQUIRE(first.Step(table, At(600)));
  CHECK(first.object.MayAct(At(3'300)));

  SECTION("others wait for as long as the row says") {
    lease_options other = options;
    other.holder = {"s2"};
    contender second(other);
    CHECK_FALSE(second.Step(table, At(700)));
    CHECK_FALSE(second.Step(table, At(3'500)));
    CHECK(second.Step(table, At(3'700)));
  }
  SECTION("a shorter renewal cuts it at once, answered or not") {
    first.answer_time = duration(0);
    for (int i = 1; i < 20; ++i) {
      table.loses_answer = i == 19;
      first.Step(table, At(600 + i * 100));
    }
    CHECK(first.object.MayAct(At(2'600)));
    CHECK_FALSE(first.object.MayAct(At(3'200)));
  }
}

TEST_CASE("What the store leaves open is settled by the next read") {
  fake_table table;
  contender first("s1", "a");
  SECTION("a lost answer counts from when the write was sent") {
    table.loses_answer = true;
    CHECK_FALSE(first.Step(table, At(0)));
    table.loses_answer = false;
    const table_row row = table.Read(kKey);
    first.object.OnRow(At(1'000), At(1'000), row);
    CHECK(first.object.MayAct(At(2'499)));
    CHECK_FALSE(first.object.MayAct(At(2'500)));
  }
  SECTION("a lost write of a guarded transaction does not block the holder") {
    REQUIRE(first.Step(table, At(0)));
    table.loses_answer = true;
    const auto guard = first.object.Guard(At(0));
    first.object.OnGuarded(At(500), At(500), table.Commit({*guard}));
    table.loses_answer = false;
    CHECK(first.object.IsReadDue(At(500)));
    CHECK(first.Step(table, At(600)));
    CHECK(first.object.MayAct(At(3'000)));
  }
  SECTION("a write that was not done leaves the lease to lapse") {
    REQUIRE(first.Step(table, At(0)));
    table.is_down = true;
    first.Step(table, At(1'000));
    first.Step(table, At(2'000));
    CHECK(first.object.MayAct(At(2'499)));
    CHECK_FALSE(first.object.MayAct(At(2'500)));
  }
}

TEST_CASE("Lagging reads and late answers never revive a lease") {
  fake_table table;
  contender first("s1", "a");
  contender second("s2", "b");
  REQUIRE(first.Step(table, At(0)));
  const table_row old_row = table.Read(kKey);
  SECTION("the old holder cannot renew from an old row") {
    second.Step(table, At(100));
    REQUIRE(second.Step(table, At(3'100)));
    CHECK_FALSE(first.Step(table, At(3'200), old_row));
    CHECK(first.object.LastHolder() == "s2");
  }
  SECTION("rows that flicker do not keep a dead holder alive") {
    REQUIRE(first.Step(table, At(1'000)));
    const table_row new_row = table.Read(kKey);
    second.Step(table, At(1'100), new_row);
    second.Step(table, At(2'000), old_row);
    second.Step(table, At(3'000), new_row);
    CHECK(second.counters.Get("lease_stale_read") == 1);
    CHECK(second.Step(table, At(4'100), new_row));
  }
  SECTION("the answer of a write that another has overtaken is ignored") {
    const auto renewal = first.object.OnRow(At(900), At(900), old_row);
    REQUIRE(renewal);
    second.Step(table, At(1'000));
    REQUIRE(second.Step(table, At(4'000)));
    first.object.OnCommit(At(900), At(4'100), table.Commit({*renewal}));
    CHECK_FALSE(first.object.MayAct(At(4'100)));
  }
}

TEST_CASE("The clock assumption is stated in numbers and asserted") {
  CHECK(IsClockRateSafe(Options("s1", "a"), 0.1));
  CHECK_FALSE(IsClockRateSafe(Options("s1", "a"), 0.2));
  std::string broken;
  SetInvariantHandler([&](std::string_view name) { broken = name; });
  contender first("s1", "a");
  fake_table table;
  first.Step(table, At(1'000));
  first.Step(table, At(900));
  CHECK(broken == "monotonic_clock_never_goes_back");
  SetInvariantHandler([](std::string_view /*name*/) { std::abort(); });
}

// Contenders whose reads lag, whose answers get lost, and which are paused at
// random: at no moment may two act. Returns how often the holder changed.
// With `has_handover` they differ in strength, and a holder that is asked
// yields.
std::uint64_t ContendAtRandom(std::uint64_t seed,
                              duration max_term,
                              bool has_handover) {
  random_engine random(seed);
  const auto choose = [&](std::uint64_t count) { return random() % count; };
  fake_table table;
  std::vector<table_row> history{table.Read(kKey)};
  std::deque<contender> contenders;
  std::vector<std::int64_t> paused_until(3, 0);
  for (int i = 0; i < 3; ++i) {
    lease_options options = Options("s" + std::to_string(i), "a");
    options.max_term = max_term;
    options.capacity = has_handover ? 0.1 * (1 << i) : 0;
    contenders.emplace_back(options);
  }
  for (std::int64_t ms = 0; ms < 120'000; ms += 250) {
    const std::size_t index = choose(3);
    const std::uint64_t fault = choose(12);
    if (fault == 0) {
      paused_until[index] = ms + static_cast<std::int64_t>(choose(9'000));
    }
    table.loses_answer = fault == 1;
    table.is_down = fault == 2;
    const std::size_t row_index =
        fault == 3 ? choose(history.size()) : history.size() - 1;
    contenders[index].answer_time =
        max_term > kTerm && ms > 0
            ? duration(milliseconds(choose(std::min<std::uint64_t>(1'500, ms))))
            : duration(0);
    if (ms >= paused_until[index]) {
      contender& acting = contenders[index];
      if (acting.object.ShouldYield()) {
        table.Commit({*acting.object.Yield(At(ms))});
      } else {
        acting.Step(table, At(ms), history[row_index]);
      }
    }
    if (table.Read(kKey).version != history.back().version) {
      history.push_back(table.Read(kKey));
    }
    int active_holders = 0;
    for (const contender& each : contenders) {
      active_holders += each.object.MayAct(At(ms)) ? 1 : 0;
    }
    if (active_holders > 1) {
      FAIL("two holders, seed " << seed << " at " << ms << " ms");
    }
  }
  return std::max({contenders[0].object.Epoch(), contenders[1].object.Epoch(),
                   contenders[2].object.Epoch()});
}

TEST_CASE("Two processes never hold a lease at once under random faults") {
  std::uint64_t holder_changes = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    holder_changes += ContendAtRandom(seed, duration(0), false);
    holder_changes += ContendAtRandom(seed, seconds(9), false);
    holder_changes += ContendAtRandom(seed, duration(0), true);
  }
  CHECK(holder_changes > 300);
}

TEST_CASE("A lease keeper tells its program what it gained and lost") {
  fake_table table;
  counter_table counters;
  instant now = At(0);
  std::vector<std::string> events;
  lease_keeper::hooks hooks;
  hooks.now = [&] { return now; };
  hooks.on_gained = [&](std::uint64_t epoch) {
    events.push_back("gained " + std::to_string(epoch));
  };
  hooks.on_lost = [&] { events.push_back("lost"); };
  const auto keeper =
      lease_keeper::Make(Options("s1", "a"), table.Port(), counters, hooks);
  keeper->Tick();
  REQUIRE(events == std::vector<std::string>{"gained 1"});

  SECTION("guarded transactions take effect and keep the lease") {
    commit_answer seen;
    for (int i = 0; i < 3; ++i) {
      keeper->Commit({{"job/j", table.Read("job/j").version, "{}"}},
                     [&](commit_answer answer) { seen = std::move(answer); });
      CHECK(seen.state == answer_state::kDone);
    }
    now = At(1'000);
    keeper->Tick();
    CHECK(keeper->MayAct());
  }
  SECTION("a lost guarded answer does not make the next one conflict") {
    table.loses_answer = true;
    keeper->Commit({{"job/j", 0, "{}"}}, [](const commit_answer&) {});
    table.loses_answer = false;
    commit_answer seen;
    keeper->Commit({{"job/k", 0, "{}"}},
                   [&](commit_answer answer) { seen = std::move(answer); });
    CHECK(seen.state == answer_state::kDone);
  }
  SECTION("nothing is committed once the lease is gone") {
    contender second("s2", "b");
    second.Step(table, At(0));
    REQUIRE(second.Step(table, At(3'000)));
    now = At(3'000);
    commit_answer seen;
    keeper->Commit({{"job/j", 0, "{}"}},
                   [&](commit_answer answer) { seen = std::move(answer); });
    CHECK(seen.state == answer_state::kNotDone);
    CHECK(seen.reason == error_kind::kLeaseLost);
    keeper->Tick();
    CHECK(events.back() == "lost");
    CHECK(table.Read("job/j").version == 0);
  }
  SECTION("it is told as lost when it lapses even if the store is away") {
    table.is_down = true;
    now = At(2'600);
    keeper->Tick();
    CHECK(events.back() == "lost");
  }
  SECTION("it is told as lost before it lets a stronger process have it") {
    lease_options options = Options("s2", "b");
    options.capacity = 1;
    contender second(options);
    // The first keeper states no strength, and is not asked.
    second.Step(table, At(10));
    CHECK(second.counters.Get("lease_asked_for") == 0);
    options = Options("s3", "c");
    options.capacity = 0.1;
    keeper->Stop([] {});
    std::vector<std::string> small_events;
    lease_keeper::hooks small_hooks = hooks;
    small_hooks.on_gained = [&](std::uint64_t epoch) {
      small_events.push_back("gained " + std::to_string(epoch));
    };
    small_hooks.on_lost = [&] {
      small_events.push_back(
          "lost, row released: " +
          std::to_string(table.Read(kKey).value.find("\"released\":true") !=
                         std::string::npos));
    };
    const auto small_keeper =
        lease_keeper::Make(options, table.Port(), counters, small_hooks);
    small_keeper->Tick();
    REQUIRE(small_keeper->MayAct());
    second.Step(table, At(100));
    REQUIRE(second.counters.Get("lease_asked_for") == 1);
    commit_answer seen;
    small_keeper->Commit({{"job/j", 0, "{}"}}, [&](commit_answer answer) {
      seen = std::move(answer);
    });
    CHECK(seen.reason == error_kind::kLeaseLost);
    CHECK(small_events ==
          std::vector<std::string>{"gained 2", "lost, row released: 0"});
    CHECK(second.Step(table, At(200)));
  }
  SECTION("a stopped keeper lets another take over at once") {
    bool stopped = false;
    keeper->Stop([&] { stopped = true; });
    CHECK(stopped);
    contender second("s2", "b");
    CHECK(second.Step(table, At(10)));
  }
}

}  // namespace sassafras

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

// One contender for the lease in a table that answers synchronously.
struct contender {
  contender(const std::string& holder, const std::string& incarnation)
      : contender(Options(holder, incarnation)) {}

  explicit contender(lease_options options)
      : object(std::move(options), counters) {}

  // Processes `row` and commits the returned write, if any. Returns whether the
  // contender may act afterwards.
  bool Step(fake_table& table, instant now, const table_row& row) {
    if (const auto write = object.OnRow(now - answer_time, now, row)) {
      object.OnCommit(now, now, table.Commit({*write}));
    }
    return object.MayAct(now);
  }

  bool Step(fake_table& table, instant now) {
    return Step(table, now, table.Read(kKey));
  }

  duration answer_time{0};  ///< Simulated response time of reads.
  counter_table counters;
  lease object;
};

instant At(std::int64_t ms) {
  return instant(milliseconds(ms));
}

}  // namespace

TEST_CASE("Lease is not reassigned until a full term has passed") {
  fake_table table;
  contender first("s1", "a");
  contender second("s2", "b");
  REQUIRE(first.Step(table, At(0)));
  CHECK(first.object.Epoch() == 1);

  SECTION("another process waits a full term after it first saw the row") {
    CHECK_FALSE(second.Step(table, At(1'000)));
    CHECK(second.object.LastHolder() == "s1");
    CHECK_FALSE(second.Step(table, At(3'999)));
    CHECK(second.Step(table, At(4'000)));
    CHECK(second.object.Epoch() == 2);
    SECTION("a holder paused beyond its term may not act when it resumes") {
      CHECK_FALSE(first.object.MayAct(At(4'000)));
      const auto guard = first.object.Guard(At(0));
      REQUIRE(guard);
      CHECK(table.Commit({*guard}).reason == error_kind::kConflict);
      CHECK_FALSE(first.Step(table, At(4'100)));
      CHECK(first.counters.Get(GetErrorInfo(error_kind::kLeaseLost).counter) ==
            1);
    }
  }
  SECTION("a renewal restarts the wait") {
    CHECK_FALSE(second.Step(table, At(1'000)));
    CHECK(first.Step(table, At(2'000)));
    CHECK(first.object.Epoch() == 1);
    CHECK_FALSE(second.Step(table, At(4'000)));
    CHECK_FALSE(second.Step(table, At(6'999)));
    CHECK(second.Step(table, At(7'000)));
  }
  SECTION("the holder stops acting one margin before its term ends") {
    CHECK(first.object.MayAct(At(2'499)));
    CHECK_FALSE(first.object.MayAct(At(2'500)));
  }
  SECTION("an overdue holder renews if no other process acquired the lease") {
    CHECK(first.Step(table, At(60'000)));
    CHECK(first.object.Epoch() == 1);
  }
  SECTION("a released lease is acquired at once") {
    table.Commit({*first.object.Release(At(100))});
    CHECK_FALSE(first.object.MayAct(At(100)));
    CHECK_FALSE(first.object.IsReadDue(At(9'000)));
    CHECK(second.Step(table, At(200)));
    CHECK(second.object.Epoch() == 2);
  }
  SECTION("a released lease is acquired by the first read that shows it") {
    table.Commit({*first.object.Release(At(100))});
    second.answer_time = milliseconds(5);
    CHECK(second.Step(table, At(200)));
  }
  SECTION("a restarted process waits a full term") {
    contender again("s1", "c");
    CHECK_FALSE(again.Step(table, At(100)));
    CHECK_FALSE(again.Step(table, At(3'099)));
    CHECK(again.Step(table, At(3'100)));
    CHECK(again.object.Epoch() == 2);
    CHECK_FALSE(first.Step(table, At(3'200)));
  }
  SECTION(
      "a restarted process with an exclusive id acquires the lease at once") {
    lease_options options = Options("s1", "c");
    options.is_id_exclusive = true;
    contender again(options);
    CHECK(again.Step(table, At(200)));
    CHECK(again.object.Epoch() == 2);
    CHECK_FALSE(first.Step(table, At(300)));
    SECTION("an exclusive id does not shorten the wait of other processes") {
      lease_options other = Options("s2", "d");
      other.is_id_exclusive = true;
      contender third(other);
      CHECK_FALSE(third.Step(table, At(400)));
      CHECK_FALSE(third.Step(table, At(500)));
    }
  }
}

TEST_CASE(
    "A process with an acquire delay leaves a free lease to others first") {
  fake_table table;
  lease_options options = Options("s1", "a");
  options.acquire_delay = milliseconds(700);
  contender delayed(options);
  CHECK_FALSE(delayed.Step(table, At(0)));

  SECTION("it acquires the lease if no other process did within the delay") {
    CHECK_FALSE(delayed.Step(table, At(699)));
    CHECK(delayed.Step(table, At(700)));
  }
  SECTION("it waits a term plus the delay for a lease held by another") {
    contender undelayed("s2", "b");
    REQUIRE(undelayed.Step(table, At(100)));
    CHECK_FALSE(delayed.Step(table, At(200)));
    CHECK_FALSE(delayed.Step(table, At(3'899)));
    CHECK(delayed.Step(table, At(3'900)));
  }
}

TEST_CASE("A holder hands the lease over to a process of larger capacity") {
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

  SECTION("the contender requests the lease in the row without acquiring it") {
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

    SECTION("the contender acquires the lease once it is released") {
      table.Commit({*write});
      CHECK(large.object.IsReadDue(At(900)));
      CHECK(large.Step(table, At(900)));
      CHECK_FALSE(small.Step(table, At(910)));
    }
    SECTION("the former holder acquires it after its delay if no other does") {
      table.Commit({*write});
      CHECK_FALSE(small.Step(table, At(900)));
      CHECK_FALSE(small.Step(table, At(1'500)));
      CHECK(small.Step(table, At(1'600)));
    }
    SECTION("the contender waits a full term if the release is not committed") {
      CHECK_FALSE(large.Step(table, At(900)));
      CHECK_FALSE(large.Step(table, At(3'799)));
      CHECK(large.Step(table, At(3'900)));
    }
  }
  SECTION("a contender of less than twice the capacity requests no hand-over") {
    options = Options("s3", "c");
    options.capacity = 0.2;
    contender similar(options);
    similar.Step(table, At(820));
    CHECK(similar.counters.Get("lease_asked_for") == 0);
  }
  SECTION("a second contender does not repeat a pending request") {
    options = Options("s3", "c");
    options.capacity = 0.5;
    contender other(options);
    other.Step(table, At(820));
    large.Step(table, At(880));
    CHECK(other.counters.Get("lease_asked_for") == 0);
    CHECK(large.counters.Get("lease_asked_for") == 1);
  }
}

TEST_CASE("The lease term grows while the store is slow") {
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

  SECTION("other processes wait for the term stated in the row") {
    lease_options other = options;
    other.holder = {"s2"};
    contender second(other);
    CHECK_FALSE(second.Step(table, At(700)));
    CHECK_FALSE(second.Step(table, At(3'500)));
    CHECK(second.Step(table, At(3'700)));
  }
  SECTION("a renewal with a shorter term applies even if its answer is lost") {
    first.answer_time = duration(0);
    for (int i = 1; i < 20; ++i) {
      table.loses_answer = i == 19;
      first.Step(table, At(600 + i * 100));
    }
    CHECK(first.object.MayAct(At(2'600)));
    CHECK_FALSE(first.object.MayAct(At(3'200)));
  }
}

TEST_CASE("A write with an unknown outcome is resolved by the next read") {
  fake_table table;
  contender first("s1", "a");
  SECTION("after a lost answer the term counts from when the write was sent") {
    table.loses_answer = true;
    CHECK_FALSE(first.Step(table, At(0)));
    table.loses_answer = false;
    const table_row row = table.Read(kKey);
    first.object.OnRow(At(1'000), At(1'000), row);
    CHECK(first.object.MayAct(At(2'499)));
    CHECK_FALSE(first.object.MayAct(At(2'500)));
  }
  SECTION("a lost answer to a guarded transaction does not block the holder") {
    REQUIRE(first.Step(table, At(0)));
    table.loses_answer = true;
    const auto guard = first.object.Guard(At(0));
    first.object.OnGuarded(At(500), At(500), table.Commit({*guard}));
    table.loses_answer = false;
    CHECK(first.object.IsReadDue(At(500)));
    CHECK(first.Step(table, At(600)));
    CHECK(first.object.MayAct(At(3'000)));
  }
  SECTION("the lease expires if its renewals are not committed") {
    REQUIRE(first.Step(table, At(0)));
    table.is_down = true;
    first.Step(table, At(1'000));
    first.Step(table, At(2'000));
    CHECK(first.object.MayAct(At(2'499)));
    CHECK_FALSE(first.object.MayAct(At(2'500)));
  }
}

TEST_CASE("Stale reads and late answers never restore a lost lease") {
  fake_table table;
  contender first("s1", "a");
  contender second("s2", "b");
  REQUIRE(first.Step(table, At(0)));
  const table_row old_row = table.Read(kKey);
  SECTION("the former holder cannot renew from a stale row") {
    second.Step(table, At(100));
    REQUIRE(second.Step(table, At(3'100)));
    CHECK_FALSE(first.Step(table, At(3'200), old_row));
    CHECK(first.object.LastHolder() == "s2");
  }
  SECTION("alternating stale and current reads do not extend a lease") {
    REQUIRE(first.Step(table, At(1'000)));
    const table_row new_row = table.Read(kKey);
    second.Step(table, At(1'100), new_row);
    second.Step(table, At(2'000), old_row);
    second.Step(table, At(3'000), new_row);
    CHECK(second.counters.Get("lease_stale_read") == 1);
    CHECK(second.Step(table, At(4'100), new_row));
  }
  SECTION("a late answer to a superseded write is ignored") {
    const auto renewal = first.object.OnRow(At(900), At(900), old_row);
    REQUIRE(renewal);
    second.Step(table, At(1'000));
    REQUIRE(second.Step(table, At(4'000)));
    first.object.OnCommit(At(900), At(4'100), table.Commit({*renewal}));
    CHECK_FALSE(first.object.MayAct(At(4'100)));
  }
}

TEST_CASE("The assumptions on clock rate and monotonicity are checked") {
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

// Runs three contenders with stale reads, lost answers, an unavailable store
// and pauses at random, and fails if two of them may act at the same time.
// Returns the last epoch, which counts the changes of holder. With
// `has_handover`, the contenders differ in capacity, and a holder yields on
// request.
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

TEST_CASE("A lease keeper reports when it gains and loses the lease") {
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

  SECTION("guarded transactions take effect and renew the lease") {
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
  SECTION("a lost guarded answer does not cause a conflict of the next one") {
    table.loses_answer = true;
    keeper->Commit({{"job/j", 0, "{}"}}, [](const commit_answer&) {});
    table.loses_answer = false;
    commit_answer seen;
    keeper->Commit({{"job/k", 0, "{}"}},
                   [&](commit_answer answer) { seen = std::move(answer); });
    CHECK(seen.state == answer_state::kDone);
  }
  SECTION("no transaction is committed once another process has the lease") {
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
  SECTION("the loss is reported on expiry even if the store is unavailable") {
    table.is_down = true;
    now = At(2'600);
    keeper->Tick();
    CHECK(events.back() == "lost");
  }
  SECTION("a late renewal is followed by one without a read, same epoch") {
    now = At(2'600);
    keeper->Tick();
    CHECK(events == std::vector<std::string>{"gained 1", "lost", "gained 1"});
    CHECK(counters.Get("lease_renewed_after_expiry") == 1);
    CHECK(keeper->MayAct());
  }
  SECTION("a holder that is replaced meanwhile no longer holds the lease") {
    contender second("s2", "b");
    second.Step(table, At(0));
    REQUIRE(second.Step(table, At(3'000)));
    now = At(3'100);
    CHECK(keeper->IsHeld());
    CHECK_FALSE(keeper->MayAct());
    keeper->Tick();
    CHECK_FALSE(keeper->IsHeld());
    CHECK(events.back() == "lost");
    CHECK(second.object.MayAct(At(3'100)));
  }
  SECTION("the loss is reported before the lease is released for a hand-over") {
    lease_options options = Options("s2", "b");
    options.capacity = 1;
    contender second(options);
    // The first keeper has no capacity set, so no hand-over is requested.
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
  SECTION("a stopped keeper releases the lease at once") {
    bool stopped = false;
    keeper->Stop([&] { stopped = true; });
    CHECK(stopped);
    contender second("s2", "b");
    CHECK(second.Step(table, At(10)));
  }
}

}  // namespace sassafras

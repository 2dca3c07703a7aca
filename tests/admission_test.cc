// Forecasts of waits, and submissions that are refused for them.
#include "sassafras/sched/admission.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "programs/entry/forecast_watch.h"
#include "sassafras/sched/acceptance.h"
#include "sassafras/sched/forecast_codec.h"
#include "tests/fake_table.h"
#include "tests/service_world.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

const instant kNow = instant(1h);
const std::string kId = "5c0e7a21d94b36f8";

sched::accepted_job Job(duration estimate) {
  sched::accepted_job job;
  job.id = kId;
  job.priority = 1;
  job.stretch = 3;
  job.target = 1s;
  job.spec.steps.resize(1);
  job.spec.steps[0].count = 1;
  job.spec.steps[0].estimate = estimate;
  return job;
}

// Load: teams of equal weight wait for a queue that is given 10 minion-seconds
// a second.
TEST_CASE("The wait of a new job follows from the work that waits before it") {
  sched::queue_load queue{"q", 1, 10, {{"large", 80}, {"small", 10}}, 10};
  sched::forecast_terms terms;
  terms.weight_of = [](const std::string&) { return 1.0; };
  terms.guaranteed_teams = {"guaranteed", "small"};
  terms.has_unused_guarantee = [](const std::string& team) {
    return team == "guaranteed";
  };

  SECTION("all of it in order of acceptance") {
    const auto forecast = ForecastWaits({queue}, terms).at("q");
    CHECK(forecast.WaitOf("large") == 9s);
    CHECK(forecast.WaitOf("small") == 9s);
    CHECK(forecast.WaitOf("third") == 9s);
  }
  SECTION("the own work and as much of others if teams share") {
    terms.share_between_teams = true;
    const auto forecast = ForecastWaits({queue}, terms).at("q");
    CHECK(forecast.WaitOf("large") == 9s);
    CHECK(forecast.WaitOf("small") == 2900ms);
    CHECK(forecast.WaitOf("third") == 1800ms);
  }
  SECTION("none within the guarantee of a team, if the queue is urgent") {
    queue.priority = 0;
    const auto forecast = ForecastWaits({queue}, terms).at("q");
    CHECK(forecast.WaitOf("guaranteed") == 0s);
    CHECK(forecast.WaitOf("small") == 9s);
  }
  SECTION("it is left out once little waits") {
    queue.work_of_team = {{"small", 1}};
    CHECK(ForecastWaits({queue}, terms).empty());
  }
}

TEST_CASE("The rate at which room comes free is observed while work waits") {
  sched::placement_rate rate;
  rate.EndPeriod(kNow, true, true);
  CHECK(rate.Rate(kNow, 100) == 100);  // A new owner.
  for (int period = 1; period <= 3; ++period) {
    rate.OnPlaced(14);
    rate.EndPeriod(kNow + period * 700ms, true, true);
  }
  CHECK(rate.Rate(kNow + 2100ms, 100) == Approx(20));

  SECTION("a time in which nothing could be placed does not count") {
    rate.EndPeriod(kNow + 5s, true, false);
    CHECK(rate.Rate(kNow + 5s, 100) == Approx(20));
  }
  SECTION("an observation ends after seconds") {
    CHECK(rate.Rate(kNow + 8s, 100) == 100);
  }
}

TEST_CASE("A job is refused if it would end long after its objective") {
  // Objective 7 s; twice that less its run of 2 s is left for waiting.
  const auto tolerable = sched::TolerableWait(Job(2s));
  REQUIRE(tolerable == 12s);
  CHECK_FALSE(sched::FindExcessWait(12s, *tolerable, 0));
  CHECK(sched::FindExcessWait(15s, *tolerable, 0) == 3s);

  SECTION("its caller comes back when the wait is tolerable, spread") {
    CHECK(sched::RetryDelayFor(3s, 0) == 3s);
    CHECK(sched::RetryDelayFor(3s, 1) == 4500ms);
    CHECK(sched::RetryDelayFor(1h, 1) == 30s);
  }
  SECTION("one that was refused twice is admitted up to twice the bound") {
    CHECK(sched::FindExcessWait(15s, *tolerable, 1));
    CHECK_FALSE(sched::FindExcessWait(24s, *tolerable, 2));
    CHECK(sched::FindExcessWait(25s, *tolerable, 2));
  }
  SECTION("jobs without an objective are never refused") {
    auto timed = Job(2s);
    timed.spec.occurrences = 2;
    CHECK_FALSE(sched::TolerableWait(timed));
    auto persistent = Job(2s);
    persistent.spec.steps[0].is_persistent = true;
    CHECK_FALSE(sched::TolerableWait(persistent));
  }
}

// Guards against a refused job that runs: a write of an earlier call may still
// take effect.
TEST_CASE("No earlier write of a submission takes effect after its refusal") {
  fake_table table;
  const auto always = [](int) { return true; };
  const auto finish = [&table](sched::acceptance& submission,
                               std::optional<table_transaction> write) {
    while (write) {
      write = submission.OnAnswer(table.Commit(*write));
    }
    return *submission.Result();
  };
  sched::acceptance earlier(Job(2s));
  const table_transaction late_write = earlier.Begin();

  SECTION("a write that takes effect after the tombstone fails") {
    sched::acceptance refused(Job(2s));
    CHECK(finish(refused, refused.BeginRefusal(always)) ==
          sched::acceptance_result::kRefused);
    CHECK(refused.IsRefusedByRule());
    CHECK(table.Commit(late_write).reason == error_kind::kConflict);

    SECTION("the tombstone counts the refusals") {
      int seen = 0;
      sched::acceptance again(Job(2s));
      finish(again, again.BeginRefusal([&](int refusals) {
        seen = refusals;
        return true;
      }));
      CHECK(seen == 1);
      sched::acceptance third(Job(2s));
      CHECK(finish(third, third.BeginRefusal([](int refusals) {
              return refusals < 2;
            })) == sched::acceptance_result::kAccepted);
    }
  }
  SECTION("a job that was accepted before is not refused") {
    table.Commit(late_write);
    sched::acceptance refused(Job(2s));
    CHECK(finish(refused, refused.BeginRefusal(always)) ==
          sched::acceptance_result::kAccepted);
  }
  SECTION("a lost answer after two refusals does not lose their number") {
    for (int i = 0; i < 2; ++i) {
      sched::acceptance refused(Job(2s));
      finish(refused, refused.BeginRefusal(always));
    }
    sched::acceptance third(Job(2s));
    auto write = third.OnAnswer(table.Commit(
        third.BeginRefusal([](int refusals) { return refusals < 2; })));
    REQUIRE(write);
    write =
        third.OnAnswer({answer_state::kUnknown, error_kind::kStoreUnknown, {}});
    REQUIRE(write);
    CHECK_FALSE(third.OnAnswer(table.Commit(*write)));
    CHECK_FALSE(third.IsRefusedByRule());
    const table_row row = table.Read(sched::JobKey(kId));
    CHECK(sched::DecodeJobRow(row.value).value().refusals == 2);
  }
  SECTION("without the store's answer nothing is promised") {
    table.loses_answer = true;
    sched::acceptance refused(Job(2s));
    CHECK(finish(refused, refused.BeginRefusal(always)) ==
          sched::acceptance_result::kUnknown);
  }
}

TEST_CASE("An entry process refuses by the forecast of the owner") {
  fake_table table;
  counter_table counters;
  instant now = kNow;
  std::function<void(follow_answer)> follow;
  table_port port = table.Port();
  port.follow = [&](const std::string&, std::uint64_t, duration,
                    const std::function<void(follow_answer)>& done) {
    follow = done;
  };
  const auto watch = forecast_watch::Make(
      port, counters,
      {[&now] { return now; }, [](duration, const std::function<void()>&) {}});
  watch->Start();
  const auto publish = [&](const std::string& text) {
    follow({answer_state::kDone, false, {{sched::kForecastKey, text, 7}}, 7});
  };
  sched::published_forecast forecast;
  forecast.queues["q"].wait_of_team["a"] = 20s;
  publish(EncodeForecast(forecast));
  CHECK(watch->ExpectedWait("q", "a") == 20s);
  CHECK(watch->ExpectedWait("q", "b") == 0s);

  SECTION("it lapses by itself if its owner is gone") {
    now += forecast_watch::kValidity + 1us;
    CHECK(watch->ExpectedWait("q", "a") == 0s);
  }
  SECTION("an answer that is read late is too old") {
    const auto late = follow;
    now += forecast_watch::kValidity + 1us;
    late({answer_state::kDone,
          false,
          {{sched::kForecastKey, EncodeForecast(forecast), 8}},
          8});
    CHECK(watch->ExpectedWait("q", "a") == 0s);
  }
  SECTION("an odd row means no forecast") {
    for (const char* odd :
         {"", "[]",
          "{\"queues\":{\"q\":{\"others_ms\":-1,\"teams_ms\":{}}},"
          "\"accounts\":{}}",
          "{\"queues\":{},\"accounts\":{\"a\":-1}}"}) {
      publish(odd);
      CHECK(watch->ExpectedWait("q", "a") == 0s);
    }
    CHECK(counters.Get("forecast_malformed") == 4);
  }
}

TEST_CASE("A caller whose job would wait too long is told so at once") {
  service_world world;
  duration wait = 1h;
  world.adapter.decode_job = [](const std::string&) -> result<sched::job_spec> {
    return Job(2s).spec;
  };
  world.service = caller_service::Make(
      {world.adapter,
       world.port,
       world.store,
       *world.config,
       world.settings,
       world.counters,
       world.metrics_registry,
       [&world] { return world.now; },
       [] { return false; },
       {},
       [&wait](const std::string&, const std::string&) { return wait; }});
  const auto is_accepted = [&world] {
    const table_row row = world.table.Read(sched::JobKey(kId));
    return sched::DecodeJobRow(row.value).value().IsAccepted();
  };

  SECTION("a queue without an objective accepts it") {
    CHECK(world.Call("POST") == 200);
    CHECK(is_accepted());
  }
  SECTION("one with an objective refuses it") {
    sched::service_config config = *world.config->Current();
    world.adapter.decode_config = [config](const std::string&) mutable {
      ++config.version;
      config.queues[0].stretch = 3;
      return result<sched::service_config>(config);
    };
    world.config->Start();
    CHECK(world.Call("POST") == 503);  // As the test's adapter encodes it.
    CHECK_FALSE(is_accepted());
    CHECK(world.counters.Get("admission_refused") == 1);

    SECTION("and accepts it once the wait is over") {
      wait = 0s;
      CHECK(world.Call("POST") == 200);
      CHECK(is_accepted());
    }
  }
}

}  // namespace
}  // namespace sassafras

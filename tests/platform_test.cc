#include <catch2/catch.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "platform/base64.h"
#include "platform/decode.h"
#include "platform/machine_calls.h"
#include "platform/order_calls.h"

namespace sassafras::platform {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("Row value survives base64 and malformed base64 is rejected") {
  for (const std::string& text :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\x10", 3)}) {
    CHECK(DecodeBase64(EncodeBase64(text)) == text);
  }
  CHECK(EncodeBase64("node-1") == "bm9kZS0x");
  CHECK_FALSE(DecodeBase64("abc"));
  CHECK_FALSE(DecodeBase64("ab!="));
}

TEST_CASE("Task name is parsed back and malformed names are rejected") {
  const sched::task_key task{"5c0e7a21d94b36f8", 0, 1, 17};
  CHECK(FormatTask(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(ParseTask("5c0e7a21d94b36f8.0.1.17") == task);
  for (const char* malformed :
       {"", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a.1.2."}) {
    CHECK_FALSE(ParseTask(malformed));
  }
}

TEST_CASE("Malformed row in the answer to a poll is skipped and counted") {
  const auto poll = DecodePoll(
      R"({"clockMs":482113,"born":17,"running":[["5c.0.1.17",2,"cp",41],)"
      R"(["bad",1,"",0]],"ended":[[58,"5c.0.1.9",1,"lapsed",""]]})");
  REQUIRE(poll);
  CHECK(poll->clock_ms == 482113);
  CHECK(poll->incarnation_unix_ms == 17);
  REQUIRE(poll->running.size() == 1);
  CHECK(poll->running[0].checkpoint == "cp");
  CHECK(poll->skipped_rows == 1);
  REQUIRE(poll->ended.size() == 1);
  CHECK(poll->ended[0].number == 58);
  CHECK(poll->ended[0].how == sched::run_end::kLeaseExpired);
  CHECK_FALSE(DecodePoll("no JSON"));
  CHECK_FALSE(DecodePoll(R"({"running":[]})"));
}

TEST_CASE("Operator's configuration is decoded or rejected as malformed") {
  const std::string text =
      R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/",)"
      R"("kind":"unsafe","timeoutMs":3000,"targetDurationMs":250,)"
      R"("priority":0,"service":"s","attempts":3,"stretch":1.5,)"
      R"("anonymous":false},{"name":"r2","host":"h","prefix":"/a/b/",)"
      R"("service":"s"}],"services":[{"name":"s","admissionControl":true}],)"
      R"("limits":{},"tenants":[{"name":"t","apiKeys":["k1","k2"],)"
      R"("guaranteed":{"gpu":72}}]})";
  const auto decoded = DecodeConfig(text);
  REQUIRE(decoded);
  const sched::service_config& config = decoded.value();
  CHECK(config.version == 7);
  CHECK(config.FindQueue("h", "/a/123")->name == "r1");
  CHECK(config.FindQueue("h", "/a/b/123")->name == "r2");
  CHECK(config.FindQueue("other", "/a/123") == nullptr);
  CHECK(config.FindQueue("h", "/a/1")->target == 250ms);
  CHECK(config.team_of_key.at("k2") == "t");
  CHECK(config.teams.at("t").guaranteed_accelerators == 72);
  CHECK(config.services.at("s").has_admission_control);
  CHECK_FALSE(DecodeConfig("{}"));
  CHECK_FALSE(DecodeConfig("x"));
}

TEST_CASE("Entry of the list of minions") {
  const auto decode = [](const std::string& value) {
    return DecodeMinion({"servers/i-1", value, 5});
  };
  const auto minion = decode(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":16000,"memMb":32768,"gpu":8},"born":99,)"
      R"("labels":["a","r1-3"]})");
  REQUIRE(minion);
  CHECK(minion.value().id == "i-1");
  CHECK(minion.value().rack == "r1-3");
  CHECK(minion.value().capacity == sched::resource_amounts{16000, 32768, 8});
  CHECK(minion.value().incarnation_unix_ms == 99);

  SECTION(
      "is rejected if a field is missing, mistyped or has an unknown value") {
    CHECK_FALSE(decode(R"({"service":"s"})"));
    CHECK_FALSE(
        decode(R"({"service":1,"address":"a","zone":"z","state":"ready",)"
               R"("capacity":{}})"));
    CHECK_FALSE(
        decode(R"({"service":"s","address":"a","zone":"z","state":"odd",)"
               R"("capacity":{}})"));
    CHECK_FALSE(decode("\x01\x02"));
  }
}

// Guards against entries of another writer that end the process or stop it from
// following the list.
TEST_CASE("Odd entry of the list of minions names no minion") {
  const auto accepts = [](json changes) {
    json entry = {{"service", "s"},
                  {"address", "10.0.0.1:80"},
                  {"zone", "z"},
                  {"state", "draining"},
                  {"capacity", {{"cpu", 1000}, {"memMb", 10}, {"gpu", 1}}}};
    entry.update(changes);
    return DecodeMinion({"servers/i-1", entry.dump(), 5}).has_value();
  };
  REQUIRE(accepts(json::object()));

  SECTION("whose port or address is out of range") {
    for (const char* address :
         {"10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:0",
          "10.0.0.1:-1", "10.0.0.1", "10.0.0.256:80", "host:80", ":", ""}) {
      INFO(address);
      CHECK_FALSE(accepts({{"address", address}}));
    }
  }
  SECTION("with a number too large") {
    for (const json& number :
         {json(1e300), json(-1e300), json(-1), json(INT64_MAX), json(INT64_MIN),
          json(UINT64_MAX), json("12"), json::array()}) {
      INFO(number);
      CHECK_FALSE(accepts({{"born", number}}));
      CHECK_FALSE(accepts({{"drainRemainingMs", number}}));
      CHECK_FALSE(accepts({{"coldRemainingMs", number}}));
      for (const char* amount : {"cpu", "memMb", "gpu"}) {
        CHECK_FALSE(accepts({{"capacity", {{amount, number}}}}));
      }
    }
    CHECK_FALSE(
        DecodeMinion({"servers/i-1", R"({"service":"s","born":1e400})", 5}));
  }
  SECTION("that is nested as deeply as a row allows") {
    constexpr int kLevels = 30'000;
    const std::string nested =
        std::string(kLevels, '[') + std::string(kLevels, ']');
    CHECK_FALSE(DecodeMinion({"servers/i-1", nested, 5}));
    CHECK_FALSE(DecodeMinion({"servers/i-1", std::string(65'000, '['), 5}));
    const std::string entry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
        R"("labels":["a"],"capacity":{"cpu":1},"born":1,"drainRemainingMs":1})";
    REQUIRE(DecodeMinion({"servers/i-1", entry, 5}));
    for (const char* value : {"\"s\"", "\"10.0.0.1:80\"", "\"z\"", "\"ready\"",
                              "\"a\"", "{\"cpu\":1}", ":1,", ":1}"}) {
      INFO(value);
      std::string odd = entry;
      const std::string replaced = value;
      const bool is_number = replaced.front() == ':';
      odd.replace(odd.rfind(replaced), replaced.size(),
                  is_number ? ":" + nested + replaced.back() : nested);
      CHECK_FALSE(DecodeMinion({"servers/i-1", odd, 5}));
    }
  }
  SECTION("without an id") {
    CHECK_FALSE(DecodeMinion(
        {"servers/",
         R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
         R"("capacity":{}})",
         5}));
  }
}

// A copy of the document would exhaust the stack.
TEST_CASE("Deeply nested answer to a poll or configuration is rejected") {
  constexpr int kLevels = 500'000;
  const std::string nested =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  CHECK_FALSE(DecodePoll(R"({"clockMs":1,"running":)" + nested + "}"));
  CHECK_FALSE(DecodePoll(R"({"clockMs":1,"ended":)" + nested + "}"));
  CHECK_FALSE(DecodeConfig(
      R"({"version":1,"routes":[],"services":[],"tenants":)" + nested + "}"));
  CHECK_FALSE(DecodeJob(R"({"steps":)" + nested + "}"));
}

TEST_CASE("Upkeep wave is decoded and its status is encoded") {
  const auto wave = DecodeWave(
      {"op/wave/1",
       R"({"wave":1,"machines":["m-1","m-2"],"deadlineS":20,"maxCount":2})",
       5});
  REQUIRE(wave);
  CHECK(wave->number == 1);
  CHECK(wave->machines == std::vector<std::string>{"m-1", "m-2"});
  CHECK(wave->deadline == 20s);
  CHECK(wave->max_concurrent == 2);
  CHECK_FALSE(DecodeWave({"op/other", "{}", 5}));
  CHECK_FALSE(DecodeWave({"op/wave/1", "{}", 5}));
  const table_write status = EncodeWaveStatus({1, true});
  CHECK(status.key == "status/wave/1");
  CHECK(status.value == R"({"state":"complete","wave":1})");
}

TEST_CASE("Submission") {
  const auto job = DecodeJob(
      R"json({"spec":"(text)","steps":[{"count":4,"cpu":500,"memMb":256,)json"
      R"("estimateMs":900,"dataRack":"r1-3"},{"count":20,"after":[0],)"
      R"("savesProgress":true,"gang":true,"sameRack":true}]})");
  REQUIRE(job);
  CHECK(job.value().payload == "(text)");
  CHECK(job.value().steps[0].estimate == 900ms);
  CHECK(job.value().steps[0].data_rack == "r1-3");
  CHECK(job.value().steps[1].after == std::vector<int>{0});
  CHECK(job.value().steps[1].is_gang);
  CHECK(job.value().steps[1].wants_one_rack);

  SECTION("is refused if a step depends on itself or a later one") {
    CHECK_FALSE(DecodeJob(R"({"steps":[{"count":1,"after":[0]}]})"));
  }
  SECTION("is refused without steps, without tasks or if it is no object") {
    CHECK_FALSE(DecodeJob(R"({"steps":[]})"));
    CHECK_FALSE(DecodeJob(R"({"steps":[{"count":0}]})"));
    CHECK_FALSE(DecodeJob("[]"));
  }
}

// Guards against a submission that ends each process that owns the jobs.
TEST_CASE("Submission with a number out of range is refused") {
  const auto decode = [](const json& step_changes, const json& job_changes) {
    json step = {{"count", 4}, {"gpu", 1}, {"gang", true}};
    step.update(step_changes);
    json document = {{"spec", "x"}, {"steps", json::array({step})}};
    document.update(job_changes);
    return DecodeJob(document.dump());
  };
  REQUIRE(decode(json::object(), json::object()));

  SECTION("in a step") {
    for (const char* field : {"count", "gpu", "cpu", "memMb", "estimateMs",
                              "maxPerServer", "mayMiss", "targetMs"}) {
      for (const json& number : {json(-1), json(-1e300), json(INT64_MIN)}) {
        INFO(field << " " << number);
        const auto job = decode({{field, number}}, json::object());
        REQUIRE_FALSE(job);
        CHECK(job.error().detail.starts_with("step 0: "));
      }
    }
    for (const char* field : {"count", "gpu", "cpu", "memMb", "estimateMs"}) {
      for (const json& number :
           {json(1e300), json(INT64_MAX), json((1LL << 40) + 1)}) {
        INFO(field << " " << number);
        CHECK_FALSE(decode({{field, number}}, json::object()));
      }
    }
    CHECK_FALSE(decode({{"count", (1LL << 32) + 1}}, json::object()));
  }
  SECTION("in its schedule") {
    for (const char* field : {"times", "startAtMs", "intervalMs"}) {
      for (const json& number : {json(-1), json(-1e300), json(1e300)}) {
        INFO(field << " " << number);
        json schedule = {{"times", 2}};
        schedule[field] = number;
        CHECK_FALSE(decode(json::object(), schedule));
      }
    }
  }
  SECTION("with more tasks than a process can hold") {
    CHECK_FALSE(decode({{"count", 10'000}}, {{"times", 10'000}}));
    CHECK(decode({{"count", 10}}, {{"times", 10'000}}));
  }
}

TEST_CASE("Request of a caller is decoded") {
  http_request request;
  request.method = "DELETE";
  request.path = "/a/5c0e7a21d94b36f8?x=1";
  request.headers = {
      {"host", "h"}, {"authorization", "Bearer k1"}, {"x-deadline-ms", "3000"}};
  const sched::caller_call call = DecodeCall(request);
  CHECK(call.verb == sched::caller_verb::kCancel);
  CHECK(call.path == "/a/5c0e7a21d94b36f8");
  CHECK(call.key == "k1");
  CHECK(call.deadline == 3s);
}

TEST_CASE("Answer to a caller") {
  sched::caller_answer answer;

  SECTION("contains the state of the job") {
    answer.what = sched::caller_answer::kind::kState;
    answer.state = sched::job_state::kRunning;
    CHECK(EncodeAnswer(answer).body == R"({"state":"running"})");
  }
  SECTION("states when to retry, in whole seconds, if the call is refused") {
    answer.failure = error_kind::kStoreUnavailable;
    answer.retry_after = 1200ms;
    const http_response response = EncodeAnswer(answer);
    CHECK(response.status == 503);
    CHECK(response.headers.at("Retry-After") == "2");
  }
  SECTION("has status 504 if the outcome is unknown") {
    answer.failure = error_kind::kStoreUnknown;
    CHECK(EncodeAnswer(answer).status == 504);
  }
  SECTION("has status 410 if the job was never accepted") {
    answer.failure = error_kind::kNoSuchJob;
    CHECK(EncodeAnswer(answer).status == 410);
  }
}

}  // namespace
}  // namespace sassafras::platform

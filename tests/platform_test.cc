#include <catch2/catch.hpp>

#include "platform/base64.h"
#include "platform/decode.h"
#include "platform/machine_calls.h"
#include "platform/order_calls.h"

namespace sassafras::platform {
namespace {

using namespace std::chrono_literals;

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

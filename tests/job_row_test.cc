#include <catch2/catch.hpp>

#include "tests/job_world.h"

namespace sassafras {
namespace {

job_row MakeRow() {
  const config_ptr config = MakeJobSite(4);
  return job::MakeJobRow(
             config->objects, team_id{"team"}, "key",
             R"({"class":"once","shape":"four","run":"20s","payload":"p"})",
             1'000)
      .value();
}

commit_answer UnknownCommit() {
  return {answer_state::kUnknown, error_kind::kStoreUnknown, {}};
}

commit_answer UnavailableCommit() {
  return {answer_state::kNotDone, error_kind::kStoreUnavailable, {}};
}

}  // namespace

TEST_CASE("A job row is unchanged after encoding and decoding") {
  job_row row = MakeRow();
  row.state = job_state::kStopping;
  row.attempt = 2;
  row.placement.assign(4, {worker_id{"w1"}, "127.0.0.1:1"});
  row.failures = {{1, {worker_id{"w2"}}}};
  row.stopping_for = stop_reason::kTaskLost;
  const std::string text = EncodeJobRow(row);

  SECTION("with every field") {
    const auto read = DecodeJobRow(JobKey(row.id), text);
    REQUIRE(read);
    CHECK(EncodeJobRow(read.value()) == text);
    CHECK(read.value().failures == row.failures);
    CHECK(read.value().placement == row.placement);
  }
  SECTION("with fields that a newer version added") {
    const std::string newer = R"({"colour":{"a":[1]},)" + text.substr(1);
    const auto read = DecodeJobRow(JobKey(row.id), newer);
    REQUIRE(read);
    CHECK(EncodeJobRow(read.value()).find(R"("colour":{"a":[1]})") !=
          std::string::npos);
  }
  SECTION("and a malformed row is refused") {
    CHECK_FALSE(DecodeJobRow(JobKey(row.id), "{"));
    CHECK_FALSE(DecodeJobRow(JobKey(row.id), "{}"));
    CHECK_FALSE(DecodeJobRow("job/a b", text));
    row.placement.pop_back();
    CHECK_FALSE(DecodeJobRow(JobKey(row.id), EncodeJobRow(row)));
  }
  SECTION("a malformed row is dropped and counted by the owner") {
    job_world world(MakeJobSite(4));
    world.store.rows["job/bad"] = {"job/bad", "{}", 7};
    world.Run(2s);
    CHECK(world.all[0].core->IsReady());
    CHECK(world.counters.Get("job_row_malformed") > 0);
  }
}

TEST_CASE("A task id is parsed into job, attempt and index") {
  const auto parts = ParseTaskId(MakeTaskId(job_id{"a.b"}, 3, 12));
  REQUIRE(parts);
  CHECK(parts->job.value == "a.b");
  CHECK(parts->attempt == 3);
  CHECK(parts->index == 12);
  for (const char* bad : {"", "a", "a.1", "a.x.1", "a.1.", ".."}) {
    CHECK_FALSE(ParseTaskId(task_id{bad}));
  }
}

TEST_CASE("A submission is accepted only when its row is written") {
  fake_table store;
  job::job_submission submission(MakeRow());

  SECTION("a written row is accepted with its marker") {
    CHECK(submission.OnCommit(store.Commit(submission.Transaction())) ==
          job::api_step::kDone);
    CHECK(store.rows.size() == 2);
    SECTION("a repeated submission returns the recorded row") {
      job::job_submission repeated(MakeRow());
      CHECK(repeated.OnCommit(store.Commit(repeated.Transaction())) ==
            job::api_step::kDone);
      CHECK(repeated.WasAlreadyRecorded());
    }
    SECTION("another body under the key is refused") {
      job_row other = MakeRow();
      other.body_sha256 = "other";
      job::job_submission reused(other);
      CHECK(reused.OnCommit(store.Commit(reused.Transaction())) ==
            job::api_step::kFail);
      CHECK(reused.Failure().kind == error_kind::kKeyReused);
    }
  }
  SECTION("a submission fails as not done if the store is unavailable") {
    CHECK(submission.OnCommit(UnavailableCommit()) == job::api_step::kFail);
    CHECK(submission.Failure().kind == error_kind::kStoreUnavailable);
  }
  SECTION("a commit without an answer is resolved by reading the row") {
    store.Commit(submission.Transaction());
    CHECK(submission.OnCommit(UnknownCommit()) == job::api_step::kRead);
    CHECK(submission.OnRead(
              {answer_state::kDone, {store.Read(submission.Keys().front())}}) ==
          job::api_step::kDone);
  }
  SECTION("a commit that cannot be resolved is not reported as not run") {
    CHECK(submission.OnCommit(UnknownCommit()) == job::api_step::kRead);
    CHECK(submission.OnRead({answer_state::kNotDone, {}}) ==
          job::api_step::kFail);
    CHECK(submission.Failure().kind == error_kind::kStoreUnknown);
  }
  SECTION("a commit that did not take effect is repeated") {
    CHECK(submission.OnCommit(UnknownCommit()) == job::api_step::kRead);
    CHECK(submission.OnRead(
              {answer_state::kDone, {store.Read(submission.Keys().front())}}) ==
          job::api_step::kCommit);
  }
}

TEST_CASE("A submission must name an existing class and shape") {
  const config_ptr config = MakeJobSite(4);
  const auto submit = [&](const char* key, const char* body) {
    return job::MakeJobRow(config->objects, team_id{"team"}, key, body, 0);
  };
  const char* valid_body = R"({"class":"once","shape":"four","run":"2s"})";
  CHECK(submit("k", valid_body));
  CHECK(submit("", valid_body).error().kind == error_kind::kKeyMissing);
  CHECK(submit("k", "[").error().kind == error_kind::kMalformed);
  CHECK(submit("k", R"({"class":"once","shape":"four","run":"x"})")
            .error()
            .kind == error_kind::kMalformed);
  CHECK(
      submit("k", R"({"class":"no","shape":"four","run":"2s"})").error().kind ==
      error_kind::kNotFound);
  CHECK(
      submit("k", R"({"class":"once","shape":"no","run":"2s"})").error().kind ==
      error_kind::kNotFound);
  CHECK(MakeJobId(team_id{"a"}, "k") != MakeJobId(team_id{"b"}, "k"));
}

TEST_CASE("A team cancels its own jobs only") {
  fake_table store;
  const job_row row = MakeRow();
  job::job_submission submission(row);
  store.Commit(submission.Transaction());
  const auto read = [&](job::job_cancellation& cancellation) {
    const auto keys = cancellation.Keys();
    return cancellation.OnRead(
        {answer_state::kDone, {store.Read(keys[0]), store.Read(keys[1])}});
  };

  SECTION("another team is told that there is no such job") {
    job::job_cancellation other(row.id, team_id{"other"});
    CHECK(read(other) == job::api_step::kFail);
    CHECK(other.Failure().kind == error_kind::kNotFound);
  }
  SECTION("a waiting job ends at once and was not run") {
    job::job_cancellation own(row.id, team_id{"team"});
    REQUIRE(read(own) == job::api_step::kCommit);
    CHECK(own.OnCommit(store.Commit(own.Transaction())) ==
          job::api_step::kDone);
    CHECK(own.Row().outcome == job_outcome::kCancelled);
    CHECK_FALSE(own.Row().was_released);
    SECTION("and a second cancellation changes nothing") {
      job::job_cancellation repeated(row.id, team_id{"team"});
      CHECK(read(repeated) == job::api_step::kDone);
    }
  }
  SECTION("a cancellation that meets a conflict reads the row and retries") {
    job::job_cancellation own(row.id, team_id{"team"});
    REQUIRE(read(own) == job::api_step::kCommit);
    store.Commit({{JobKey(row.id), store.Read(JobKey(row.id)).version,
                   EncodeJobRow(row)}});
    CHECK(own.OnCommit(store.Commit(own.Transaction())) ==
          job::api_step::kRead);
    CHECK(read(own) == job::api_step::kCommit);
  }
}

}  // namespace sassafras

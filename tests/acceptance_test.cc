#include <catch2/catch.hpp>

#include "sassafras/sched/acceptance.h"
#include "sassafras/sched/caller.h"
#include "tests/fake_table.h"

namespace sassafras::sched {
namespace {

const std::string kId = "5c0e7a21d94b36f8";
const commit_answer kAnswerLost{answer_state::kUnknown,
                                error_kind::kStoreUnknown,
                                {}};
const commit_answer kStoreDown{answer_state::kNotDone,
                               error_kind::kStoreUnavailable,
                               {}};

accepted_job Job() {
  accepted_job job;
  job.id = kId;
  job.spec.steps.resize(1);
  return job;
}

// Answers each write from the table until the submission is decided.
acceptance_result Finish(acceptance& submission,
                         fake_table& table,
                         std::optional<table_transaction> write) {
  while (write) {
    write = submission.OnAnswer(table.Commit(*write));
  }
  return *submission.Result();
}

bool IsStored(const fake_table& table) {
  const table_row row = table.Read(kJobTable + kId);
  return row.version != 0 && !DecodeJobRow(row.value).value().is_refusal;
}

TEST_CASE("A submission is accepted when it is stored") {
  fake_table table;
  acceptance submission(Job());
  CHECK(Finish(submission, table, submission.Begin()) ==
        acceptance_result::kAccepted);
  CHECK(IsStored(table));

  SECTION("and the same id again is the same job") {
    const std::uint64_t version = table.Read(kJobTable + kId).version;
    acceptance resubmission(Job());
    CHECK(Finish(resubmission, table, resubmission.Begin()) ==
          acceptance_result::kAccepted);
    CHECK(table.Read(kJobTable + kId).version == version);
  }
}

TEST_CASE("A store that is down refuses at once, truly") {
  acceptance submission(Job());
  submission.Begin();
  CHECK_FALSE(submission.OnAnswer(kStoreDown));
  CHECK(*submission.Result() == acceptance_result::kRefused);
}

TEST_CASE("The answer to a write is lost") {
  fake_table table;
  acceptance submission(Job());
  const table_transaction first = submission.Begin();

  SECTION("it had taken effect: accepted") {
    table.Commit(first);
    CHECK(Finish(submission, table, submission.OnAnswer(kAnswerLost)) ==
          acceptance_result::kAccepted);
    CHECK(IsStored(table));
  }
  SECTION("it had not: refused, and it never takes effect later") {
    CHECK(Finish(submission, table, submission.OnAnswer(kAnswerLost)) ==
          acceptance_result::kRefused);
    table.Commit(first);
    CHECK_FALSE(IsStored(table));

    SECTION("but the caller may hand the job in again") {
      acceptance resubmission(Job());
      CHECK(Finish(resubmission, table, resubmission.Begin()) ==
            acceptance_result::kAccepted);
      CHECK(IsStored(table));
      table.Commit(first);
      CHECK(IsStored(table));
    }
  }
  SECTION("so is that of the mark: nobody knows") {
    REQUIRE(submission.OnAnswer(kAnswerLost));
    CHECK_FALSE(submission.OnAnswer(kAnswerLost));
    CHECK(*submission.Result() == acceptance_result::kUnknown);
  }
  SECTION("then the store is down: not refused, for the write may be late") {
    REQUIRE(submission.OnAnswer(kAnswerLost));
    CHECK_FALSE(submission.OnAnswer(kStoreDown));
    CHECK(*submission.Result() == acceptance_result::kUnknown);
  }
}

TEST_CASE("A job's id has 16 hexadecimal digits") {
  CHECK(IsJobId(kId));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36fg"));
}

}  // namespace
}  // namespace sassafras::sched

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

TEST_CASE("Submission is accepted once the job is stored") {
  fake_table table;
  acceptance submission(Job());
  CHECK(Finish(submission, table, submission.Begin()) ==
        acceptance_result::kAccepted);
  CHECK(IsStored(table));

  SECTION("and a second submission of the same id does not write it again") {
    const std::uint64_t version = table.Read(kJobTable + kId).version;
    acceptance resubmission(Job());
    CHECK(Finish(resubmission, table, resubmission.Begin()) ==
          acceptance_result::kAccepted);
    CHECK(table.Read(kJobTable + kId).version == version);
  }
}

TEST_CASE("Submission is refused at once if the store did not do the write") {
  acceptance submission(Job());
  submission.Begin();
  CHECK_FALSE(submission.OnAnswer(kStoreDown));
  CHECK(*submission.Result() == acceptance_result::kRefused);
}

TEST_CASE("Answer to the first write is lost") {
  fake_table table;
  acceptance submission(Job());
  const table_transaction first = submission.Begin();

  SECTION("the job is accepted if the write had taken effect") {
    table.Commit(first);
    CHECK(Finish(submission, table, submission.OnAnswer(kAnswerLost)) ==
          acceptance_result::kAccepted);
    CHECK(IsStored(table));
  }
  SECTION("else the job is refused and the late write has no effect") {
    CHECK(Finish(submission, table, submission.OnAnswer(kAnswerLost)) ==
          acceptance_result::kRefused);
    table.Commit(first);
    CHECK_FALSE(IsStored(table));

    SECTION("but the caller may submit the job again") {
      acceptance resubmission(Job());
      CHECK(Finish(resubmission, table, resubmission.Begin()) ==
            acceptance_result::kAccepted);
      CHECK(IsStored(table));
      table.Commit(first);
      CHECK(IsStored(table));
    }
  }
  SECTION("the outcome is unknown if the answer to the tombstone is lost") {
    REQUIRE(submission.OnAnswer(kAnswerLost));
    CHECK_FALSE(submission.OnAnswer(kAnswerLost));
    CHECK(*submission.Result() == acceptance_result::kUnknown);
  }
  SECTION(
      "the outcome is unknown if the store is down: the write may be late") {
    REQUIRE(submission.OnAnswer(kAnswerLost));
    CHECK_FALSE(submission.OnAnswer(kStoreDown));
    CHECK(*submission.Result() == acceptance_result::kUnknown);
  }
}

TEST_CASE("Job id has 16 hexadecimal digits") {
  CHECK(IsJobId(kId));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36fg"));
}

}  // namespace
}  // namespace sassafras::sched

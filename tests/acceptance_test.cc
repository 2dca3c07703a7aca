#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <iomanip>
#include <map>
#include <random>
#include <sstream>

#include "sassafras/sched/acceptance.h"
#include "sassafras/sched/caller.h"
#include "tests/fake_table.h"

namespace sassafras::sched {
namespace {

using namespace std::chrono_literals;

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
  job.spec.steps[0].count = 1;
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
  const table_row row = table.Read(JobKey(kId));
  return row.version != 0 && DecodeJobRow(row.value).value().IsAccepted();
}

TEST_CASE("Submission is accepted once the job is stored") {
  fake_table table;
  acceptance submission(Job());
  CHECK(Finish(submission, table, submission.Begin()) ==
        acceptance_result::kAccepted);
  CHECK(IsStored(table));

  SECTION("and a second submission of the same id does not write it again") {
    const std::uint64_t version = table.Read(JobKey(kId)).version;
    acceptance resubmission(Job());
    CHECK(Finish(resubmission, table, resubmission.Begin()) ==
          acceptance_result::kAccepted);
    CHECK(table.Read(JobKey(kId)).version == version);
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

// A store that commits the transactions on one part one after another and
// refuses those that would wait for more than a second.
class serial_store {
 public:
  explicit serial_store(duration commit_time) : commit_time_(commit_time) {}

  // Returns when a transaction sent at `now` is answered; empty: refused.
  std::optional<instant> Commit(instant now,
                                const table_transaction& transaction) {
    const std::string& key = transaction.front().key;
    instant& free_at = free_at_[key.substr(0, key.find('/'))];
    if (free_at > now + 1s) {
      return std::nullopt;
    }
    free_at = std::max(free_at, now) + commit_time_;
    return free_at;
  }

 private:
  const duration commit_time_;
  std::map<std::string, instant> free_at_;
};

TEST_CASE("Callers submit twelve jobs a second while a commit takes 0.3 s") {
  serial_store store(300ms);
  std::mt19937_64 random(7);
  int accepted = 0;
  duration longest{0};
  constexpr int kJobs = 120;
  for (int i = 0; i < kJobs; ++i) {
    const instant now = instant(1h) + i * 1000ms / 12;
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << random();
    accepted_job job = Job();
    job.id = id.str();
    if (const auto answered = store.Commit(now, acceptance(job).Begin())) {
      ++accepted;
      longest = std::max(longest, *answered - now);
    }
  }

  SECTION("nearly all are accepted, within half of their deadline of 3 s") {
    CHECK(accepted >= kJobs * 95 / 100);
    CHECK(longest <= 1500ms);
  }
  SECTION("the owner's records wait for none of them") {
    const instant now = instant(1h) + 5s;
    const table_transaction record = {{kRecordTable + kId, 0, "{}"}};
    CHECK(store.Commit(now, record) == now + 300ms);
  }
  SECTION("the cancellation of a job is in the part of the job") {
    const std::string key = JobKey(kId);
    CHECK(CancelKey(kId).starts_with(key));
    CHECK(CancelledId(CancelKey(kId)) == kId);
    CHECK(CancelledId(key).empty());
  }
}

TEST_CASE("Job id has 16 hexadecimal digits") {
  CHECK(IsJobId(kId));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36fg"));
}

}  // namespace
}  // namespace sassafras::sched

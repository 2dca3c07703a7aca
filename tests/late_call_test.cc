#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "programs/entry/stall_watch.h"
#include "sassafras/sched/job_codec.h"
#include "tests/service_world.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

const std::string kId = "5c0e7a21d94b36f8";
const std::string kKey = sched::JobKey(kId);

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kUnknown = 504;

// Returns the accepted job; empty if there is none.
std::optional<sched::accepted_job> AcceptedJob(const fake_table& table) {
  const table_row row = table.Read(kKey);
  const auto job = sched::DecodeJobRow(row.value);
  if (row.version == 0 || !job || !job.value().IsAccepted()) {
    return std::nullopt;
  }
  return job.value().job;
}

// Guards against a job that starts after its cancelling was acknowledged: a
// process that stood still reads the submission only then.
TEST_CASE("A submission is read after its job was cancelled elsewhere") {
  service_world other;
  service_world late(other.rows);
  const auto is_accepted = [&] { return AcceptedJob(other.table).has_value(); };

  SECTION("it is refused for good, and so is every copy of it") {
    CHECK(other.Call("DELETE") == kGone);
    CHECK(late.Call("POST") == kGone);
    CHECK(late.counters.Get("submission_of_cancelled_job") == 1);
    CHECK(other.Call("POST") == kGone);
    CHECK_FALSE(is_accepted());
    CHECK(other.Call("GET") == kGone);
  }
  SECTION("a copy that another process passes on is refused as well") {
    CHECK(other.Call("DELETE") == kGone);
    CHECK(late.Call("POST", "18") == kGone);
    CHECK_FALSE(is_accepted());
  }
  SECTION("the job had been refused before: the cancelling prevails") {
    other.table.Commit(
        {{kKey, 0, sched::EncodeJobRow({sched::job_row_kind::kRefused, {}})}});
    CHECK(other.Call("DELETE") == kGone);
    CHECK(late.Call("POST") == kGone);
    CHECK_FALSE(is_accepted());
  }
  SECTION("a cancelling that is repeated writes nothing more") {
    CHECK(other.Call("DELETE") == kGone);
    const std::uint64_t version = other.table.Read(kKey).version;
    CHECK(late.Call("DELETE") == kGone);
    CHECK(other.table.Read(kKey).version == version);
  }
  SECTION("a refusal does not take the place of the cancelling") {
    CHECK(other.Call("DELETE") == kGone);
    late.intercept_commit = [&](const table_transaction&) {
      late.intercept_commit = nullptr;
      return commit_answer{
          answer_state::kUnknown, error_kind::kStoreUnknown, {}};
    };
    CHECK(late.Call("POST") == kGone);
    CHECK(other.Call("POST") == kGone);
    CHECK_FALSE(is_accepted());
  }
  SECTION("the job had been accepted by another copy: it stays cancelled") {
    CHECK(other.Call("POST") == kOk);
    CHECK(other.Call("DELETE") == kOk);
    const std::uint64_t version = other.table.Read(kKey).version;
    CHECK(late.Call("POST") == kOk);
    CHECK(other.table.Read(kKey).version == version);
    CHECK(other.table.Read(sched::CancelKey(kId)).version != 0);
  }
}

// Guards against a job that runs once more, because its rows were erased before
// a process that had stood still for long read a copy of its submission.
TEST_CASE("A submission may be older than what is kept of its job") {
  service_world world;
  world.may_read_old_calls = true;

  SECTION("it is refused, and not passed on") {
    CHECK(world.Call("POST") == kUnavailable);
    CHECK_FALSE(AcceptedJob(world.table));
    CHECK(world.relayed_with.empty());
    CHECK(world.counters.Get("refused_deadline_unreachable") == 1);
    CHECK_FALSE(world.service->IsReady());
  }
  SECTION("it is not passed on either if the store turns this process away") {
    world.peer_answer = {answer_state::kDone, {kOk}, 18};
    world.LoseStore();
    CHECK(world.Call("POST") == kUnavailable);
    CHECK(world.relayed_with.empty());
  }
  SECTION("so is one that another process has passed on") {
    CHECK(world.Call("POST", "18") == kUnavailable);
    CHECK_FALSE(AcceptedJob(world.table));
  }
  SECTION("other calls are answered") {
    CHECK(world.Call("GET") == kGone);
    CHECK(world.Call("DELETE") == kGone);
  }
}

TEST_CASE("A process notices that it stood still") {
  instant now(std::chrono::hours(1));
  counter_table counters;
  std::function<void()> tick;
  const auto stalls = stall_watch::Make(
      60s, counters,
      {[&] { return now; },
       [&](duration, std::function<void()> action) { tick = action; }});
  const auto run = [&](duration length) {
    for (const instant end = now + length; now < end; now += 500ms) {
      tick();
    }
  };
  stalls->Start();
  run(10min);
  CHECK_FALSE(stalls->MayReadOldCalls());

  SECTION("though the first call is read before the timer runs") {
    now += 61s;
    CHECK(stalls->MayReadOldCalls());
    CHECK(counters.Get("process_stalled") == 1);

    SECTION("until the calls that were waiting have been read") {
      run(4s);
      CHECK(stalls->MayReadOldCalls());
      run(2s);
      CHECK_FALSE(stalls->MayReadOldCalls());
      CHECK(counters.Get("process_stalled") == 1);
    }
  }
  SECTION("though the timer runs before the first call is read") {
    now += 61s;
    tick();
    CHECK(stalls->MayReadOldCalls());
  }
  SECTION("but takes calls after a stall that is short") {
    now += 59s;
    tick();
    CHECK_FALSE(stalls->MayReadOldCalls());
  }
}

// A submission or cancelling at a process of its own.
struct copied_call {
  std::string method;
  std::string payload;  // Of a submission; tells the copies apart.
  std::unique_ptr<service_world> process;
  int status = 0;  // 0: not answered yet.
};

// Copies of the calls for one job, each at another process. Their calls to one
// store take effect in an order that a list of choices determines.
class ordered_calls {
 public:
  ordered_calls(const std::vector<std::string>& methods, int max_losses)
      : losses_left_(max_losses) {
    for (const std::string& method : methods) {
      calls_.push_back({method, "copy " + std::to_string(calls_.size()),
                        std::make_unique<service_world>(rows_)});
    }
    for (copied_call& call : calls_) {
      call.process->hold_call = [this](held_store_call held) {
        held_.push_back(std::move(held));
      };
      call.process->BeginCall(call.method, "", call.payload,
                              [&call](int status) { call.status = status; });
    }
  }

  // Performs the held calls by `choices`, the first ones beyond them. Returns
  // the number of options at each point.
  std::vector<std::size_t> Run(const std::vector<std::size_t>& choices) {
    std::vector<std::size_t> options;
    while (!held_.empty() || !unanswered_.empty()) {
      const std::size_t choice =
          options.size() < choices.size() ? choices[options.size()] : 0;
      options.push_back(held_.size() + unanswered_.size() + CountLosses());
      Take(choice);
      CheckPromises();
    }
    for (const copied_call& call : calls_) {
      CHECK(call.status != 0);
    }
    return options;
  }

 private:
  std::size_t CountLosses() const {
    std::size_t commits = 0;
    for (const held_store_call& call : held_) {
      commits += call.is_commit ? 1 : 0;
    }
    return losses_left_ > 0 ? commits : 0;
  }

  // Options in order: to perform and answer a held call, to perform one whose
  // answer was lost, to lose the answer of a held commit.
  void Take(std::size_t choice) {
    if (choice < held_.size()) {
      const held_store_call call = Remove(held_, choice);
      call.perform();
      call.answer();
      return;
    }
    choice -= held_.size();
    if (choice < unanswered_.size()) {
      Remove(unanswered_, choice).perform();
      return;
    }
    choice -= unanswered_.size();
    std::size_t position = 0;
    for (; !held_[position].is_commit || choice > 0; ++position) {
      choice -= held_[position].is_commit ? 1 : 0;
    }
    --losses_left_;
    unanswered_.push_back(Remove(held_, position));
    unanswered_.back().lose_answer();
  }

  static held_store_call Remove(std::vector<held_store_call>& calls,
                                std::size_t position) {
    held_store_call call = std::move(calls.at(position));
    calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(position));
    return call;
  }

  // What an answer rules out stays ruled out, whatever is performed later.
  void CheckPromises() const {
    const auto job = AcceptedJob(*rows_);
    const bool is_marked = rows_->Read(sched::CancelKey(kId)).version != 0;
    for (const copied_call& call : calls_) {
      if (call.method == "DELETE") {
        CHECK((call.status != kGone || !job));
        CHECK((call.status != kOk || is_marked));
      } else {
        const bool is_refused =
            call.status == kUnavailable || call.status == kGone;
        CHECK((call.status != kOk || job));
        CHECK((!is_refused || !job || job->spec.payload != call.payload));
      }
      CHECK((call.status == 0 || call.status == kOk || call.status == kGone ||
             call.status == kUnavailable || call.status == kUnknown));
    }
  }

  const std::shared_ptr<fake_table> rows_ = std::make_shared<fake_table>();
  std::list<copied_call> calls_;
  std::vector<held_store_call> held_;
  std::vector<held_store_call> unanswered_;  // Take effect later.
  int losses_left_;
};

// Runs all orders of the calls' effects; returns their number.
int RunAllOrders(const std::vector<std::string>& methods, int max_losses) {
  int orders = 0;
  std::vector<std::size_t> choices;
  for (;;) {
    ++orders;
    ordered_calls calls(methods, max_losses);
    const std::vector<std::size_t> options = calls.Run(choices);
    choices.resize(options.size(), 0);
    while (!choices.empty() &&
           choices.back() + 1 >= options[choices.size() - 1]) {
      choices.pop_back();
    }
    if (choices.empty()) {
      return orders;
    }
    ++choices.back();
  }
}

// Guards against an answer that a late copy of the same call makes untrue.
TEST_CASE("Copies of a submission and of its cancelling act in any order") {
  SECTION("with two answers of the store lost") {
    CHECK(RunAllOrders({"POST", "DELETE"}, 2) > 10);
  }
  SECTION("with two copies of the submission") {
    CHECK(RunAllOrders({"POST", "POST", "DELETE"}, 1) > 100);
  }
  SECTION("with two copies of each") {
    CHECK(RunAllOrders({"POST", "POST", "DELETE", "DELETE"}, 0) > 100);
  }
}

}  // namespace
}  // namespace sassafras

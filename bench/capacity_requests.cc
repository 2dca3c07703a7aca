#include <deque>
#include <map>
#include <memory>
#include <string>

#include "bench/capacity_bench.h"
#include "sassafras/core/digest.h"
#include "sassafras/net/json_codec.h"
#include "sassafras/request/request_core.h"

namespace sassafras {
namespace {

using std::chrono::seconds;

constexpr int kMinions = 50;
constexpr int kSlots = 8;
constexpr int kConnections = 64;

// One gateway whose outside answers at once.
class request_drive {
 public:
  request_drive()
      : core_({{{"g0"}, "g0.1"}, {"lahore"}, 1}, counters_), random_(1) {
    auto published = std::make_shared<published_config>();
    published->version = 1;
    config_set& set = published->objects;
    set.teams[team_id{"team"}] = {
        {"team"}, 1, {}, {{token_role::kCaller, Sha256Hex("token")}}};
    for (const bool idempotent : {true, false}) {
      job_class added{class_id{idempotent ? "check" : "reset"}};
      added.is_idempotent = idempotent;
      added.target = target_id{"lab"};
      added.timeout = seconds(600);
      added.queue_limit = 100'000;
      set.classes[added.id] = added;
    }
    target lab{{"lab"}, false, {}};
    for (int i = 0; i < kMinions; ++i) {
      const std::string name = "m" + std::to_string(i);
      lab.minions.push_back(
          {{name}, name, {"lahore"}, kSlots, kConnections, false});
    }
    set.targets[lab.id] = lab;
    Give(config_changed{published});
    Give(members_changed{{{{"g0"}, "g0.1"}}});
    for (int i = 0; i < 600; ++i) {
      now_ += std::chrono::milliseconds(100);
      Give(members_changed{{{{"g0"}, "g0.1"}}});
    }
  }

  void Arrive(request_id id, bool idempotent) {
    Give(request_arrived{id,
                         {idempotent ? "check" : "reset"},
                         "Bearer token",
                         idempotent ? "" : "key-" + std::to_string(id),
                         std::string(64, 'a'),
                         duration(0)});
  }

  // Answers what was asked until nothing is open.
  void Finish() {
    while (core_.Load().open > 0) {
      if (events_.empty()) {
        now_ = std::max(now_, *core_.NextWake());
        events_.emplace_back(time_passed{});
      }
      const request_event event = std::move(events_.front());
      events_.pop_front();
      now_ += duration(20);
      Give(event);
    }
  }

  int reads = 0;
  int commits = 0;
  int rows_written = 0;
  int puts = 0;
  int answers = 0;
  std::size_t commit_bytes = 0;

 private:
  void Give(const request_event& event) {
    for (request_action& action : core_.Handle(event, now_, random_)) {
      std::visit([this](auto& item) { Do(item); }, action);
    }
  }
  template <class Action>
  void Do(Action&) {}
  void Do(reply_answer&) { ++answers; }
  void Do(send_request& action) {
    events_.emplace_back(send_ended{action.send, answer_state::kDone, 200});
  }
  void Do(store_answer& action) {
    ++puts;
    events_.emplace_back(answer_stored{action.request, answer_state::kDone});
  }
  void Do(read_rows& action) {
    ++reads;
    rows_read event{action.call, {answer_state::kDone, {}}};
    for (const std::string& key : action.keys) {
      event.answer.rows.push_back({key, "", 0});
    }
    events_.emplace_back(event);
  }
  void Do(commit_rows& action) {
    ++commits;
    commit_bytes += EncodeTransaction(action.transaction).size();
    rows_committed event{action.call, {answer_state::kDone}};
    for (const table_write& write : action.transaction) {
      ++rows_written;
      event.answer.rows.push_back({write.key, "", ++versions_});
    }
    events_.emplace_back(event);
  }

  counter_table counters_;
  request_core core_;
  random_engine random_;
  instant now_{seconds(1'000)};
  std::deque<request_event> events_;
  std::uint64_t versions_ = 0;
};

}  // namespace

bench_run MeasureRequests(int requests, bool idempotent) {
  request_drive drive;
  const cost_meter meter;
  for (int i = 1; i <= requests; ++i) {
    drive.Arrive(static_cast<request_id>(i), idempotent);
  }
  const double heap = meter.HeapBytes();
  drive.Finish();
  bench_run run{std::string(idempotent ? "idempotent" : "non-idempotent") +
                    " requests, " + std::to_string(requests) + " at once",
                0,
                {}};
  const double count = requests;
  run.figures = {
      {"answered", static_cast<double>(drive.answers), ""},
      {"processor a request", meter.Seconds() * 1e6 / count, "us"},
      {"heap a waiting request", heap / count, "B"},
      {"reads a request", drive.reads / count, ""},
      {"commits a request", drive.commits / count, ""},
      {"rows written a request", drive.rows_written / count, ""},
      {"commit bytes a request",
       static_cast<double>(drive.commit_bytes) / count, "B"},
      {"objects written a request", drive.puts / count, ""},
  };
  return run;
}

}  // namespace sassafras

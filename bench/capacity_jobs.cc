#include <deque>
#include <map>
#include <memory>
#include <string>

#include "bench/capacity_bench.h"
#include "sassafras/job/job_core.h"
#include "sassafras/net/json_codec.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

constexpr int kWorkersPerRack = 8;
constexpr int kPlaces = 6;
constexpr int kGang = 13;  // 42,000 tasks in 3,300 jobs.
constexpr duration kTick = 100ms;
constexpr duration kSteady = 60s;

config_ptr MakeSite(int workers) {
  auto site = std::make_shared<published_config>();
  site->version = 1;
  config_set& set = site->objects;
  for (int i = 0; i < workers; ++i) {
    const place_id place{"place-" +
                         std::to_string(i / kWorkersPerRack % kPlaces)};
    const rack_id rack{"rack-" + std::to_string(i / kWorkersPerRack)};
    const worker_id id{"worker-" + std::to_string(i)};
    set.places[place] = {place, "north"};
    set.racks[rack] = {rack, place};
    set.workers[id] = {id, rack, "10.0.0.1:9000", {8, 130, 256'000}};
  }
  const shape_id gang{"gang"};
  // Two regions of one large place each would not fit today's 50 workers.
  set.shapes[gang] = {gang, shape_level::kPlace, kGang, {0, 5, 10'000}};
  set.shapes[shape_id{"whole"}] = {
      shape_id{"whole"}, shape_level::kRack, 4, {8, 64, 120'000}};
  set.teams[team_id{"team"}] = {team_id{"team"}};
  job_class again{class_id{"again"}, class_kind::kJob};
  again.max_restarts = 2;
  set.classes[again.id] = again;
  if (workers < kGang * kPlaces) {
    for (auto& [id, item] : set.racks) {
      item.place = place_id{"place-0"};
    }
  }
  return site;
}

// The owner of all jobs; store and workers answer at once.
class job_drive {
 public:
  job_drive() : core_({}, counters_) {}

  // The first scan finds what was submitted before.
  void Begin(const config_ptr& site) { Give(job::config_changed{site}); }

  void Submit(int number, const config_set& set) {
    job_row row;
    row.id = job_id{"0123456789abcdef01234567-" + std::to_string(number)};
    row.team = team_id{"team"};
    row.job_class = class_id{"again"};
    row.shape = shape_id{"gang"};
    row.declared_run = 4h;
    row.body_sha256 = std::string(64, 'a');
    row.terms =
        MakeTerms(set.classes.at(row.job_class), set.shapes.at(row.shape));
    rows_[JobKey(row.id)] = {JobKey(row.id), EncodeJobRow(row), ++versions_};
  }

  void Run(duration length) {
    for (const instant end = now_ + length; now_ < end; now_ += kTick) {
      Give(job::tick{});
      Drain();
    }
  }

  bool AreRunning(int jobs) const {
    return core_.Count(job_state::kRunning) == static_cast<std::size_t>(jobs);
  }

  std::uint64_t commits = 0;
  std::uint64_t rows_written = 0;
  std::uint64_t commit_bytes = 0;
  std::uint64_t scans = 0;
  std::uint64_t task_calls = 0;
  std::uint64_t renewals = 0;
  std::uint64_t renewed = 0;
  std::uint64_t renewal_bytes = 0;

 private:
  void Give(const job::job_event& event) {
    for (const job::job_action& action : core_.Handle(now_, {true, 1}, event)) {
      std::visit([this](const auto& item) { Do(item); }, action);
    }
  }
  void Drain() {
    while (!events_.empty()) {
      const job::job_event event = std::move(events_.front());
      events_.pop_front();
      Give(event);
    }
  }
  std::int64_t WallMs() const {
    return now_.time_since_epoch().count() / 1'000;
  }

  void Do(const job::state_changed&) {}
  void Do(const job::scan_rows& scan) {
    ++scans;
    read_answer answer{answer_state::kDone, {}};
    for (auto it = rows_.upper_bound(std::max(scan.prefix, scan.after));
         it != rows_.end() && it->first.starts_with(scan.prefix) &&
         answer.rows.size() < scan.limit;
         ++it) {
      answer.rows.push_back(it->second);
    }
    events_.emplace_back(job::rows_scanned{scan.scan, WallMs(), answer});
  }
  void Do(const job::read_rows& read) {
    read_answer answer{answer_state::kDone, {}};
    for (const std::string& key : read.keys) {
      answer.rows.push_back(rows_[key]);
    }
    events_.emplace_back(job::rows_read{read.read, WallMs(), answer});
  }
  void Do(const job::commit_rows& commit) {
    ++commits;
    commit_bytes += EncodeTransaction(commit.transaction).size();
    commit_answer answer{answer_state::kDone};
    for (const table_write& write : commit.transaction) {
      ++rows_written;
      rows_[write.key] = {write.key, write.value, ++versions_};
      answer.rows.push_back({write.key, "", versions_});
    }
    events_.emplace_back(job::rows_committed{commit.commit, answer});
  }
  void Answer(job::task_call call,
              const worker_id& worker,
              const task_id& task,
              task_state state) {
    ++task_calls;
    task_report report;
    report.task = task;
    report.state = state;
    events_.emplace_back(
        job::task_answered{call, worker, task, {answer_state::kDone, report}});
  }
  void Do(const job::start_task& start) {
    Answer(job::task_call::kStart, start.worker, start.start.task,
           task_state::kHeld);
  }
  void Do(const job::throttle_task& item) {
    Answer(job::task_call::kThrottle, item.worker, item.task,
           task_state::kRunning);
  }
  void Do(const job::checkpoint_task& item) {
    Answer(job::task_call::kCheckpoint, item.worker, item.task,
           task_state::kRunning);
  }
  void Do(const job::stop_task& item) {
    Answer(job::task_call::kStop, item.worker, item.task, task_state::kStopped);
  }
  void Do(const job::renew_tasks& item) {
    ++renewals;
    report_answer answer{answer_state::kDone, {}};
    for (const task_id& id : item.tasks) {
      ++renewed;
      renewal_bytes += id.value.size() + 3;  // As JSON, with quotes and comma.
      task_report report;
      report.task = id;
      report.state = task_state::kRunning;
      answer.tasks.push_back(report);
    }
    renewal_bytes += EncodeReports(answer.tasks).size();
    events_.emplace_back(job::tasks_renewed{item.worker, item.sent, answer});
  }
  void Do(const job::list_tasks& item) {
    events_.emplace_back(
        job::tasks_listed{item.worker, item.sent, {answer_state::kDone, {}}});
  }

  counter_table counters_;
  job::job_core core_;
  instant now_{1'000'000s};
  std::map<std::string, table_row> rows_;
  std::uint64_t versions_ = 0;
  std::deque<job::job_event> events_;
};

}  // namespace

bench_run MeasureJobs(int workers, int jobs) {
  const config_ptr site = MakeSite(workers);
  const cost_meter whole;
  job_drive drive;
  for (int i = 0; i < jobs; ++i) {
    drive.Submit(i, site->objects);
  }
  const cost_meter starting;
  drive.Begin(site);
  constexpr int kMostTicks = 600;
  for (int i = 0; i < kMostTicks && !drive.AreRunning(jobs); ++i) {
    drive.Run(kTick);
  }
  const double start_seconds = starting.Seconds();
  const bool is_all = drive.AreRunning(jobs);
  const double start_rows = static_cast<double>(drive.rows_written);
  const double start_bytes = static_cast<double>(drive.commit_bytes);
  const double start_calls = static_cast<double>(drive.task_calls);
  const auto commits = drive.commits;
  const auto scans = drive.scans;
  drive.renewals = drive.renewed = drive.renewal_bytes = 0;
  const cost_meter steady;
  drive.Run(kSteady);
  const double length = 60;
  bench_run run{"jobs, " + std::to_string(workers) + " workers, " +
                    std::to_string(jobs) + " gangs",
                0,
                {}};
  const double count = jobs;
  run.figures = {
      {"all gangs run", is_all ? 1.0 : 0.0, ""},
      {"tasks", count * kGang, ""},
      {"processor a start", start_seconds * 1e3 / count, "ms"},
      {"rows written a start", start_rows / count, ""},
      {"commit bytes a start", start_bytes / count, "B"},
      {"task calls a start", start_calls / count, ""},
      {"heap with store rows", whole.HeapBytes() / 1e6, "MB"},
      {"processor while running", steady.Seconds() / length * 100, "% core"},
      {"renewal calls", static_cast<double>(drive.renewals) / length, "/s"},
      {"renewal bytes", static_cast<double>(drive.renewal_bytes) / length / 1e3,
       "KB/s"},
      {"commits while running",
       static_cast<double>(drive.commits - commits) / length, "/s"},
      {"scans while running", static_cast<double>(drive.scans - scans) / length,
       "/s"},
  };
  return run;
}

}  // namespace sassafras

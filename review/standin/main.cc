// Runs one case of the review against real entry processes. Exits with 1 if a
// rule was broken, 0 if it held, 2 if the case could not run.
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "review/standin/platform.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

struct case_options {
  std::string entry_binary;
  std::string folder;
  bool has_trouble = true;
};

// The platform of the case. It is never destroyed, because threads use it until
// the process exits.
platform* current_platform = nullptr;

platform& MakePlatform(const case_options& options, int status_s = 120) {
  current_platform =
      new platform({3, 6, options.entry_binary, options.folder, status_s});
  return *current_platform;
}

std::string JobBody(const json& spec, json step) {
  return json{{"spec", spec.dump()}, {"steps", json::array({std::move(step)})}}
      .dump();
}

json Step(int count, int gpu) {
  return {{"count", count},
          {"cpu", 1000},
          {"memMb", 1000},
          {"gpu", gpu},
          {"estimateMs", 2000}};
}

int RunningTasks(platform& users, const std::string& job) {
  int count = 0;
  for (const auto& item : users.Minions()) {
    count += static_cast<int>(item->Running(job).size());
  }
  return count;
}

int Verdict(bool is_broken, const std::string& what) {
  Record().Write((is_broken ? "BROKEN: " : "HELD: ") + what);
  std::cout << (is_broken ? "BROKEN: " : "HELD: ") << what << std::endl;
  return is_broken ? kBroken : kHeld;
}

int CannotRun(const std::string& why) {
  Record().Write("CANNOT RUN: " + why);
  std::cout << "CANNOT RUN: " << why << std::endl;
  return kCannotRun;
}

// Three upkeep waves are served to their end. Then the entry that leads is
// stopped and started, as in a rolling restart. A job that comes afterwards
// must run: all machines are up and idle.
int UpkeepThenRestart(const case_options& options) {
  constexpr milliseconds kFinish{14000};
  platform& users = MakePlatform(options);
  if (!users.Start()) {
    return CannotRun("the entries are not ready");
  }
  const std::string body = JobBody({{"ms", 1000}}, Step(4, 1));
  for (int wave = 1; wave <= 3; ++wave) {
    const int first = 2 * (wave - 1);
    users.RequestWave(
        wave, {"m-" + std::to_string(first), "m-" + std::to_string(first + 1)},
        2, 20);
    if (!WaitFor(milliseconds(15000), [&] {
          return users.WaveState(wave) == "complete" &&
                 users.Minions().size() == 6;
        })) {
      return CannotRun("a wave is not complete, or a machine is not back");
    }
    SleepFor(milliseconds(1000));
  }
  Record().Write("platform: all machines are up again");
  SleepFor(milliseconds(3000));
  users.ClientRetry("POST", "00000000000000a1", body, 4);
  if (!WaitFor(milliseconds(10000), [&] {
        SleepFor(milliseconds(500));
        return users.State("00000000000000a1") == "complete";
      })) {
    return CannotRun("the job before the restart is not complete");
  }
  const int leader = users.Leader();
  if (leader < 0) {
    return CannotRun("no entry leads");
  }
  if (options.has_trouble) {
    users.Signal(leader, SIGTERM);
    users.StartEntry(leader);
  }
  SleepFor(milliseconds(10000));
  users.ClientRetry("POST", "00000000000000a2", body, 4);
  bool has_started = false;
  WaitFor(kFinish + milliseconds(3000), [&] {
    has_started = has_started || RunningTasks(users, "00000000000000a2") > 0;
    return has_started;
  });
  if (has_started) {
    WaitFor(milliseconds(8000), [&] {
      SleepFor(milliseconds(500));
      return users.State("00000000000000a2") == "complete";
    });
  }
  const std::string state = users.State("00000000000000a2");
  return Verdict(!has_started || state != "complete",
                 "the last job is '" + state + "', " +
                     (has_started ? "its tasks started"
                                  : "no task of it started within 17 s") +
                     ", " + std::to_string(users.Minions().size()) +
                     " machines are up and idle");
}

// A job is cancelled while one of its minions is cut off, and the entry that
// leads is killed before the cut heals.
int CancelDuringCut(const case_options& options) {
  const std::string job = "00000000000000b1";
  platform& users = MakePlatform(options);
  if (!users.Start()) {
    return CannotRun("the entries are not ready");
  }
  SleepFor(milliseconds(2500));
  users.ClientRetry("POST", job, JobBody({{"ms", 60000}}, Step(12, 1)), 4);
  if (!WaitFor(milliseconds(8000),
               [&] { return RunningTasks(users, job) == 12; })) {
    return CannotRun("the job's tasks do not run");
  }
  SleepFor(milliseconds(1500));
  std::shared_ptr<minion> cut;
  for (const auto& item : users.Minions()) {
    if (!item->Running(job).empty()) {
      cut = item;
    }
  }
  const int leader = users.Leader();
  if (!cut || leader < 0) {
    return CannotRun("no minion runs the job, or no entry leads");
  }
  if (options.has_trouble) {
    Record().Write("platform: " + cut->Id() + " is cut off");
    cut->SetCutOff(true);
    SleepFor(milliseconds(1000));
  }
  if (users.ClientRetry("DELETE", job, "", 4).status / 100 != 2) {
    return CannotRun("the job is not cancelled");
  }
  if (options.has_trouble) {
    SleepFor(milliseconds(1000));
    users.Signal(leader, SIGKILL);
    SleepFor(milliseconds(500));
    users.StartEntry(leader);
    SleepFor(milliseconds(1500));
    cut->SetCutOff(false);
    Record().Write("platform: " + cut->Id() + " is reached again");
  }
  SleepFor(kStableWindow + kCancelBound + kStopTime + milliseconds(4000));
  std::string left;
  for (const auto& item : users.Minions()) {
    for (const std::string& task : item->Running(job)) {
      Record().Write("run: " + task + " still runs on " + item->Id());
      left = item->Id();
    }
  }
  return Verdict(!left.empty(), "10.4 s after the last disruption " +
                                    std::to_string(RunningTasks(users, job)) +
                                    " tasks of the cancelled job run" +
                                    (left.empty() ? "" : " on " + left) +
                                    "; its state is '" + users.State(job) +
                                    "'");
}

// Lasting tasks that end as done after 1.5 s each, and must be started again
// each time. The entry that leads is killed at an arbitrary moment.
int LastingTaskAfterRestart(const case_options& options) {
  constexpr int kJobs = 6;
  constexpr milliseconds kPeriod{1500};
  // LOST holds from 6 s after the last run of such a task, for 3 s.
  constexpr milliseconds kMaxPause{9000};
  platform& users = MakePlatform(options);
  if (!users.Start()) {
    return CannotRun("the entries are not ready");
  }
  SleepFor(milliseconds(2500));
  std::vector<std::string> jobs;
  json step = Step(1, 1);
  step["persistent"] = true;
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back("00000000000000c" + std::to_string(i));
    users.ClientRetry(
        "POST", jobs.back(),
        JobBody({{"ms", kPeriod.count()}, {"lasting", true}}, step), 4);
    SleepFor(kPeriod / kJobs);
  }
  SleepFor(milliseconds(6000));
  const int leader = users.Leader();
  if (leader < 0) {
    return CannotRun("no entry leads");
  }
  if (options.has_trouble) {
    users.Signal(leader, SIGKILL);
    SleepFor(milliseconds(500));
    users.StartEntry(leader);
  }
  SleepFor(kStableWindow + milliseconds(4000));
  std::map<std::string, clock_type::time_point> last_seen;
  for (const std::string& job : jobs) {
    last_seen[job] = clock_type::now();
  }
  const auto until = clock_type::now() + milliseconds(15000);
  while (clock_type::now() < until) {
    for (const std::string& job : jobs) {
      if (RunningTasks(users, job) > 0) {
        last_seen[job] = clock_type::now();
      }
    }
    SleepFor(milliseconds(20));
  }
  int stopped = 0;
  std::string states;
  for (const std::string& job : jobs) {
    const auto pause = std::chrono::duration_cast<milliseconds>(
        clock_type::now() - last_seen[job]);
    stopped += pause > kMaxPause ? 1 : 0;
    states += (states.empty() ? "" : ", ") + users.State(job);
  }
  return Verdict(stopped > 0, std::to_string(stopped) + " of " +
                                  std::to_string(kJobs) +
                                  " lasting tasks have not run for over 9 s; "
                                  "states of their jobs: " +
                                  states);
}

// A part of the store is away when the rows of an ended job are to be removed.
// Later the store forgets its history. The job must not run again.
int ForgottenJob(const case_options& options) {
  constexpr int kStatusS = 20;
  const std::string job = "00000000000000e1";
  platform& users = MakePlatform(options, kStatusS);
  if (!users.Start()) {
    return CannotRun("the entries are not ready");
  }
  SleepFor(milliseconds(2500));
  users.ClientRetry("POST", job, JobBody({{"ms", 1000}}, Step(4, 1)), 4);
  if (!WaitFor(milliseconds(8000), [&] {
        SleepFor(milliseconds(500));
        return users.State(job) == "complete";
      })) {
    return CannotRun("the job is not complete");
  }
  const int runs_before = Record().Starts(job);
  // The rows of an ended job are kept for 1.25 of its status time. Rows are
  // removed every 10 s, counted from the start. The outage covers one such
  // time, the first at which this job is due.
  const auto until_second = [&](double second) {
    SleepFor(milliseconds(
        static_cast<std::int64_t>(1000 * (second - Record().Seconds()))));
  };
  const std::vector<std::string> parts = users.Store().PartsOf("jobs");
  until_second(28.2);
  if (options.has_trouble) {
    users.Store().SetPartsDown({parts.begin(), parts.end()});
    Record().Write("platform: " + std::to_string(parts.size()) +
                   " part of the store is down");
  }
  until_second(32.5);
  users.Store().SetPartsDown({});
  Record().Write("platform: the whole store is up");
  const int runs_after = Record().Starts(job);
  until_second(40);
  users.Store().SetFeedMuted(true);
  users.ClientRetry("POST", "00000000000000e2",
                    JobBody({{"ms", 1000}}, Step(1, 1)), 4);
  SleepFor(milliseconds(1000));
  if (options.has_trouble) {
    users.Store().DropHistory();
    Record().Write("platform: the store has forgotten its history");
  }
  users.Store().SetFeedMuted(false);
  SleepFor(milliseconds(15000));
  const int runs_at_end = Record().Starts(job);
  return Verdict(
      runs_at_end > runs_before,
      "tasks of the complete job were started " + std::to_string(runs_before) +
          " times, " + std::to_string(runs_after) + " after the outage and " +
          std::to_string(runs_at_end) + " after the history was forgotten");
}

// One client sends a job whose tasks ask for less than no accelerator. The
// other clients' jobs must run, and the processes must not end.
int MalformedJob(const case_options& options) {
  constexpr milliseconds kFinish{14000};
  constexpr int kMaxEnds = 3;
  platform& users = MakePlatform(options);
  if (!users.Start()) {
    return CannotRun("the entries are not ready");
  }
  SleepFor(milliseconds(2500));
  json step = Step(4, options.has_trouble ? -1 : 1);
  step["gang"] = true;
  users.ClientRetry("POST", "00000000000000f1", JobBody({{"ms", 500}}, step),
                    4);
  int ends = 0;
  WaitFor(milliseconds(3000), [&] {
    ends += users.RestartEnded();
    return false;
  });
  const std::string job = "00000000000000f2";
  const std::string body = JobBody({{"ms", 1000}}, Step(4, 1));
  bool is_accepted = false;
  for (int i = 0; i < 8 && !is_accepted; ++i) {
    is_accepted = users.Client(i % 3, "POST", job, body).status == 200;
    ends += users.RestartEnded();
  }
  if (!is_accepted) {
    return CannotRun("the second job is not accepted");
  }
  bool has_started = false;
  WaitFor(kFinish + milliseconds(3000), [&] {
    ends += users.RestartEnded();
    has_started = has_started || RunningTasks(users, job) > 0;
    return false;
  });
  const std::string state = users.State(job);
  return Verdict(
      state != "complete" || ends >= kMaxEnds,
      "processes ended by themselves " + std::to_string(ends) +
          " times; the next client's job is '" + state +
          "' 17 s after it was " + "accepted, " +
          (has_started ? "its tasks started" : "no task of it started"));
}

int Main(int argc, char** argv) {
  const std::map<std::string, std::function<int(const case_options&)>> cases = {
      {"upkeep-then-restart", UpkeepThenRestart},
      {"cancel-during-cut", CancelDuringCut},
      {"lasting-task-after-restart", LastingTaskAfterRestart},
      {"forgotten-job", ForgottenJob},
      {"malformed-job", MalformedJob},
  };
  if (argc != 5 || !cases.contains(argv[1])) {
    std::cerr << "usage: review-harness CASE ENTRY_BINARY FOLDER RECORD\n";
    return kCannotRun;
  }
  case_options options;
  options.entry_binary = argv[2];
  options.folder = argv[3];
  const char* trouble = std::getenv("TROUBLE");
  options.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  ::signal(SIGPIPE, SIG_IGN);
  Record().Open(argv[4]);
  Record().Write(std::string("case ") + argv[1] +
                 (options.has_trouble ? "" : ", without the disruption"));
  const int code = cases.at(argv[1])(options);
  current_platform->EndEntries();
  // Threads of the stand-ins still run.
  ::_exit(code);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv);
}

#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <iostream>
#include <string>

#include "review/standin-2/world.h"

namespace sassafras::review {
namespace {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kStopMs = 400;
constexpr std::int64_t kStableWindowMs = 3000;
constexpr std::int64_t kFinishMs = 14'000;

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", number);
  return text;
}

int Verdict(world& site, bool is_broken, const std::string& rule) {
  site.Note(is_broken ? "RESULT: " + rule + " is broken"
                      : "RESULT: the rule held");
  return is_broken ? kBroken : kHeld;
}

// A submission lies unread at an entry process that is frozen. Its caller gives
// up and cancels the job at another process. Then the frozen one wakes.
int CancelledBeforeAccepted(world& site) {
  const std::string id = JobId(1);
  const std::size_t owner = site.Owner().value_or(0);
  const std::size_t frozen = (owner + 1) % site.Options().entries.size();
  const std::size_t other = (owner + 2) % site.Options().entries.size();
  constexpr std::int64_t kFreezeMs = 3400;
  const std::int64_t froze_at = NowMs();
  if (site.Options().has_trouble) {
    site.Signal(frozen, SIGSTOP, "freezes");
  }
  const auto submitted =
      site.Call(frozen, "POST", "batch", id, MakeJob(25'000, 2, 11'000, 1));
  if (submitted.status == 429 || submitted.status == 503) {
    return kCouldNotRun;
  }
  const auto cancelled = site.Call(other, "DELETE", "batch", id);
  const std::int64_t cancelled_at = NowMs();
  if (cancelled.status != 410 && cancelled.status / 100 != 2) {
    return kCouldNotRun;
  }
  if (site.Options().has_trouble) {
    world::Sleep(std::max<std::int64_t>(0, froze_at + kFreezeMs - NowMs()));
    site.Signal(frozen, SIGCONT, "wakes");
  }
  const std::int64_t calm_at = NowMs() + kStableWindowMs;
  const std::int64_t gone_by =
      std::max(calm_at, cancelled_at) + kCancelMs + kStopMs;
  world::Sleep(gone_by + 4000 - NowMs());
  bool is_broken = false;
  for (const run_event& event : site.Events()) {
    const bool is_started_late =
        event.at_ms > cancelled_at + kCancelMs && event.at_ms > calm_at;
    const bool runs_on = event.ended_ms < 0 || event.ended_ms > gone_by;
    if (event.task.starts_with(id) && (is_started_late || runs_on)) {
      site.Note("task " + event.task + " was started " +
                std::to_string(event.at_ms - cancelled_at) +
                " ms after its cancelling was acknowledged and " +
                (event.ended_ms < 0
                     ? "still runs now"
                     : "ran until " + std::to_string(event.ended_ms)));
      is_broken = true;
    }
  }
  site.Call(other, "GET", "batch", id);
  return Verdict(site, is_broken, "UNASKED");
}

// Wide jobs wait for a full fleet. When it becomes free, they are all placed at
// once.
int BacklogOfWideJobs(world& site) {
  constexpr int kWideJobs = 55;
  constexpr int kMillicores = 200;
  constexpr int kTasks = 470;
  constexpr std::int64_t kTaskMs = 300'000;
  const std::string blocker = JobId(0);
  const bool has_trouble = site.Options().has_trouble;
  const auto cancel_blocker = [&] {
    return site.Call(1, "DELETE", "batch", blocker).status / 100 == 2;
  };
  const auto wait_until = [&](std::int64_t limit_ms, auto condition) {
    const std::int64_t until = NowMs() + limit_ms;
    while (!condition() && NowMs() < until) {
      world::Sleep(100);
    }
    return condition();
  };
  if (site.Call(0, "POST", "batch", blocker, MakeJob(kTaskMs, 48, 128'000, 8))
              .status != 200 ||
      !wait_until(10'000, [&] { return site.CountRunning(blocker) == 48; })) {
    return kCouldNotRun;
  }
  if (!has_trouble && (!cancel_blocker() || !wait_until(10'000, [&] {
        return site.CountRunning() == 0;
      }))) {
    return kCouldNotRun;
  }
  for (int number = 1; number <= kWideJobs; ++number) {
    const auto answer =
        site.Call(static_cast<std::size_t>(number) % 3, "POST", "batch",
                  JobId(number), MakeJob(kTaskMs, kTasks, kMillicores, 0));
    if (answer.status != 200) {
      return kCouldNotRun;
    }
    world::Sleep(255);
  }
  if (has_trouble && !cancel_blocker()) {
    return kCouldNotRun;
  }
  world::Sleep(12'000);
  // An urgent job comes to the fleet, which has room for it.
  const std::string urgent = JobId(99);
  if (site.Call(2, "POST", "urgent", urgent, MakeJob(2'500, 3, 500, 0))
          .status != 200) {
    return kCouldNotRun;
  }
  const std::int64_t submitted_at = NowMs();
  const auto urgent_start = [&]() -> std::int64_t {
    for (const run_event& event : site.Events()) {
      if (event.task.starts_with(urgent)) {
        return event.at_ms;
      }
    }
    return -1;
  };
  while (urgent_start() < 0 && NowMs() < submitted_at + 30'000) {
    world::Sleep(200);
  }
  const std::int64_t started_at = urgent_start();
  int started_jobs = 0;
  for (int number = 1; number <= kWideJobs; ++number) {
    started_jobs += site.CountRunning(JobId(number)) > 0 ? 1 : 0;
  }
  const int used_millicores = site.CountRunning() * kMillicores;
  site.InLoop([&](store& rows, minions&) {
    site.Note("store: transactions refused for their size: " +
              std::to_string(rows.RejectedTooLarge()));
  });
  site.Note(
      "wide jobs with a task at work " + std::to_string(started_jobs) + " of " +
      std::to_string(kWideJobs) + "; cores in use " +
      std::to_string(used_millicores / 1000) + " of 6144; the urgent job " +
      (started_at < 0 ? "had nothing running for 30 s"
                      : "was started after " +
                            std::to_string(started_at - submitted_at) + " ms"));
  const bool has_waited =
      started_at < 0 || started_at > submitted_at + kFinishMs;
  return Verdict(site, has_waited && used_millicores < 6'144'000 / 2, "LOST");
}

// A job that lasts takes all accelerators. Then a team asks for those that it
// is guaranteed.
int GuaranteeBehindLastingJob(world& site, int minions_count) {
  constexpr std::int64_t kReclaimMs = 2900;
  if (site.Options().has_trouble) {
    const std::string large = JobId(1);
    site.UseKey("other-key");
    if (site.Call(0, "POST", "batch", large,
                  MakeJob(kLasts, minions_count, 100'000, 8))
            .status != 200) {
      return kCouldNotRun;
    }
    for (int i = 0; i < 100 && site.CountRunning(large) < minions_count; ++i) {
      world::Sleep(100);
    }
    if (site.CountRunning(large) < minions_count) {
      return kCouldNotRun;
    }
    world::Sleep(5000);
  }
  const std::string urgent = JobId(2);
  site.UseKey("team-key");
  if (site.Call(1, "POST", "urgent", urgent, MakeJob(2500, 1, 15'000, 8))
          .status != 200) {
    return kCouldNotRun;
  }
  const std::int64_t accepted_at = NowMs();
  std::int64_t started_at = -1;
  while (started_at < 0 && NowMs() < accepted_at + 30'000) {
    for (const run_event& event : site.Events()) {
      if (event.task.starts_with(urgent)) {
        started_at = event.at_ms;
      }
    }
    world::Sleep(20);
  }
  site.Call(2, "GET", "urgent", urgent);
  site.Note(started_at < 0
                ? "the guaranteed job was not started within 30 s"
                : "the guaranteed job was started after " +
                      std::to_string(started_at - accepted_at) + " ms");
  return Verdict(site, started_at < 0 || started_at > accepted_at + kReclaimMs,
                 "RECLAIM");
}

// A minion with a task of a step that lasts is lost for good. Then an urgent
// job needs room that other tasks of the step hold.
int EvictionAfterLoss(world& site, int minions_count) {
  constexpr std::int64_t kNoticeMs = 4500;
  constexpr int kMayMiss = 1;
  const std::string lasting = JobId(1);
  json job = MakeJob(kLasts, minions_count, 100'000, 8);
  job["steps"][0]["mayMiss"] = kMayMiss;
  if (site.Call(0, "POST", "batch", lasting, job).status != 200) {
    return kCouldNotRun;
  }
  for (int i = 0; i < 100 && site.CountRunning(lasting) < minions_count; ++i) {
    world::Sleep(100);
  }
  if (site.CountRunning(lasting) < minions_count) {
    return kCouldNotRun;
  }
  world::Sleep(5000);
  std::int64_t lost_at = -1;
  if (site.Options().has_trouble) {
    lost_at = NowMs();
    site.InLoop([&](store&, minions& fleet) { fleet.Crash("minion-103"); });
  }
  world::Sleep(kNoticeMs + 1500);
  if (site.Call(1, "POST", "urgent", JobId(2), MakeJob(2500, 1, 15'000, 8))
          .status != 200) {
    return kCouldNotRun;
  }
  world::Sleep(4000);
  bool is_broken = false;
  int stopped = 0;
  for (const run_event& event : site.Events()) {
    if (!event.task.starts_with(lasting) || event.how != "stopped") {
      continue;
    }
    ++stopped;
    // Tasks that were away for kNoticeMs when this one was stopped.
    const int away = lost_at >= 0 && event.ended_ms > lost_at + kNoticeMs;
    const int stopped_before = stopped - 1;
    site.Note("task " + event.task + " on " + event.minion +
              " was stopped while " + std::to_string(away + stopped_before) +
              " others of its step were away; it may miss " +
              std::to_string(kMayMiss));
    is_broken = is_broken || away + stopped_before >= kMayMiss;
  }
  return Verdict(site, is_broken, "AVAIL");
}

// The minions on which one task of a job that lasts runs crash, one after the
// other.
int CrashedMinions(world& site) {
  constexpr int kCrashes = 5;
  constexpr std::int64_t kAtWorkMs = 4000;
  constexpr std::int64_t kDownMs = 4500;
  const std::string id = JobId(1);
  const std::string task = id + ".0.0.0";
  if (site.Call(0, "POST", "batch", id, MakeJob(kLasts, 4, 11'000, 1)).status !=
      200) {
    return kCouldNotRun;
  }
  int crashes = 0;
  int failed_runs = 0;
  const std::int64_t until = NowMs() + 80'000;
  std::string state;
  while (NowMs() < until && state != "failed" && state != "cancelled") {
    std::string host;
    std::int64_t started = 0;
    failed_runs = 0;
    for (const run_event& event : site.Events()) {
      failed_runs += event.how == "failed" ? 1 : 0;
      if (event.task == task && event.ended_ms < 0) {
        host = event.minion;
        started = event.at_ms;
      }
    }
    if (site.Options().has_trouble && !host.empty() && crashes < kCrashes &&
        NowMs() - started >= kAtWorkMs) {
      ++crashes;
      site.InLoop([&](store&, minions& fleet) { fleet.Crash(host); });
      world::Sleep(kDownMs);
      site.InLoop([&](store&, minions& fleet) { fleet.Restart(host); });
    }
    const auto answer = site.Call(1, "GET", "batch", id, json(), 3000, true);
    const std::string now =
        answer.status == 200 ? answer.body.value("state", "") : "";
    if (!now.empty() && now != state) {
      state = now;
      site.Note("the job is shown as " + state);
    }
    world::Sleep(100);
  }
  world::Sleep(4000);
  site.Note("crashes " + std::to_string(crashes) +
            ", runs that ended as failed " + std::to_string(failed_runs) +
            ", state " + state + ", tasks at work " +
            std::to_string(site.CountRunning(id)) + " of 4");
  return Verdict(site, state == "failed" && failed_runs == 0, "LOST");
}

// The operator makes the policy of a queue slower. Its answer on the minions of
// one call then takes longer than before.
int SlowerPolicy(world& site) {
  constexpr int kMinionsPerCall = 30;
  const auto configure = [&](int version, int decision_ms, int period_ms) {
    json configuration = MakeConfiguration();
    configuration["version"] = version;
    configuration["routes"][1]["advice"] = {{"decisionMs", decision_ms},
                                            {"periodMs", period_ms},
                                            {"validityMs", 8000}};
    site.SetAdviceTimes(decision_ms, period_ms);
    site.Configure(configuration);
    world::Sleep(3000);
  };
  configure(2, 200, 20);
  const std::string before = JobId(1);
  if (site.Call(0, "POST", "simulation", before, MakeJob(2000, 2, 52'000, 4))
          .status != 200) {
    return kCouldNotRun;
  }
  world::Sleep(8000);
  if (site.Call(0, "GET", "simulation", before).body.value("state", "") !=
      "complete") {
    return kCouldNotRun;
  }
  if (site.Options().has_trouble) {
    configure(3, 200, 100);
  }
  const std::string after = JobId(2);
  if (site.Call(0, "POST", "simulation", after, MakeJob(2000, 2, 52'000, 4))
          .status != 200) {
    return kCouldNotRun;
  }
  world::Sleep(45'000);
  const std::string state =
      site.Call(1, "GET", "simulation", after).body.value("state", "");
  site.Note("45 s later the job is " + state + "; one call for " +
            std::to_string(kMinionsPerCall) + " minions");
  return Verdict(site, state == "queued", "LOST");
}

// The owner of the jobs is killed while long tasks that save their progress are
// at work.
int LongTasksAndNextOwner(world& site) {
  constexpr int kTasks = 4;
  constexpr std::int64_t kWorkMs = 250'000;
  constexpr std::int64_t kWatchMs = 45'000;
  constexpr std::int64_t kRecoveryMs = 12'000;
  constexpr std::int64_t kIdleMs = 3000;
  const std::string id = JobId(1);
  json job = MakeJob(kWorkMs, kTasks, 52'000, 4);
  job["steps"][0]["savesProgress"] = true;
  if (site.Call(0, "POST", "simulation", id, job).status != 200) {
    return kCouldNotRun;
  }
  world::Sleep(40'000);
  if (site.CountRunning(id) != kTasks) {
    return kCouldNotRun;
  }
  const std::size_t owner = site.Owner().value_or(0);
  if (site.Options().has_trouble) {
    site.Signal(owner, SIGKILL, "is killed; it owned the jobs");
  }
  const std::int64_t recovered_at = NowMs() + kRecoveryMs;
  std::int64_t idle_since = -1;
  std::int64_t longest_idle = 0;
  while (NowMs() < recovered_at + kWatchMs) {
    const bool is_idle = NowMs() >= recovered_at && site.CountRunning() == 0;
    idle_since = is_idle ? (idle_since < 0 ? NowMs() : idle_since) : -1;
    longest_idle = std::max(longest_idle,
                            is_idle ? NowMs() - idle_since : std::int64_t{0});
    world::Sleep(20);
  }
  const auto events = site.Events();
  const auto stops = std::count_if(
      events.begin(), events.end(),
      [](const run_event& event) { return event.how == "stopped"; });
  site.Note("runs " + std::to_string(events.size()) + ", stopped " +
            std::to_string(stops) + "; longest time in which no task ran: " +
            std::to_string(longest_idle) + " ms");
  site.Call((owner + 1) % 3, "GET", "simulation", id);
  return Verdict(site, longest_idle > kIdleMs, "LOST");
}

// One long task works on each minion and leaves most of it free. Then urgent
// jobs come.
int UrgentBesideLongTasks(world& site, int minions_count) {
  constexpr std::int64_t kLongMs = 1'200'000;
  constexpr int kUrgentJobs = 1;
  constexpr std::int64_t kIdleMs = 3000;
  const std::string large = JobId(1);
  if (site.Options().has_trouble) {
    json job = MakeJob(kLongMs, minions_count, 30'000, 2);
    job["steps"][0]["maxPerServer"] = 1;
    if (site.Call(0, "POST", "batch", large, job).status != 200) {
      return kCouldNotRun;
    }
  }
  world::Sleep(45'000);
  if (site.Options().has_trouble && site.CountRunning(large) != minions_count) {
    return kCouldNotRun;
  }
  std::map<std::string, std::int64_t> accepted_at;
  for (int number = 2; number < 2 + kUrgentJobs; ++number) {
    const std::string urgent = JobId(number);
    if (site.Call(1, "POST", "urgent", urgent, MakeJob(2500, 3, 15'000, 1))
            .status != 200) {
      return kCouldNotRun;
    }
    accepted_at[urgent] = NowMs();
    world::Sleep(4000);
  }
  world::Sleep(16'000);
  std::int64_t longest_wait = 0;
  for (const auto& [urgent, accepted] : accepted_at) {
    std::int64_t started_at = NowMs();
    for (const run_event& event : site.Events()) {
      if (event.task.starts_with(urgent)) {
        started_at = std::min(started_at, event.at_ms);
      }
    }
    site.Note("urgent job " + urgent + " waited " +
              std::to_string(started_at - accepted) + " ms");
    longest_wait = std::max(longest_wait, started_at - accepted);
  }
  site.Note("long tasks at work " + std::to_string(site.CountRunning(large)) +
            ", each on 30 of 128 cores and 2 of 8 accelerators of its minion");
  return Verdict(site, longest_wait > kIdleMs, "LOST");
}

int Main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() < 6) {
    std::cerr << "usage: review-cases CASE PREFIX PORT RECORD TROUBLE PID...\n";
    return kCouldNotRun;
  }
  world::options options;
  const std::string name = arguments[0];
  options.prefix = arguments[1];
  options.port = std::stoi(arguments[2]);
  options.record = arguments[3];
  options.has_trouble = arguments[4] != "0";
  for (std::size_t i = 5; i < arguments.size(); ++i) {
    options.pids.push_back(std::stoi(arguments[i]));
    options.entries.push_back(options.prefix + "." + std::to_string(i - 4) +
                              ":" + std::to_string(options.port));
  }
  minions::options fleet;
  fleet.address_prefix = options.prefix;
  fleet.port = options.port;
  fleet.count =
      name == "backlog" || name == "advice" || name == "long" ? 48 : 16;
  if (name == "resume") {
    fleet.count = 8;
  }
  fleet.max_lease_ms = name == "avail" ? 10'000 : 6000;
  world site(options, fleet);
  if (!site.Start(MakeConfiguration())) {
    return kCouldNotRun;
  }
  site.Note("trouble: " + std::string(options.has_trouble ? "yes" : "no") +
            ", owner: entry " + std::to_string(*site.Owner() + 1));
  if (name == "cancel") {
    return CancelledBeforeAccepted(site);
  }
  if (name == "backlog") {
    return BacklogOfWideJobs(site);
  }
  if (name == "reclaim") {
    return GuaranteeBehindLastingJob(site, fleet.count);
  }
  if (name == "avail") {
    return EvictionAfterLoss(site, fleet.count);
  }
  if (name == "crashes") {
    return CrashedMinions(site);
  }
  if (name == "resume") {
    return LongTasksAndNextOwner(site);
  }
  if (name == "long") {
    return UrgentBesideLongTasks(site, fleet.count);
  }
  if (name == "advice") {
    return SlowerPolicy(site);
  }
  return kCouldNotRun;
}

}  // namespace
}  // namespace sassafras::review

int main(int argc, char** argv) {
  return sassafras::review::Main(argc, argv);
}

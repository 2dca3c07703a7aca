#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

#include "review/standin-3/callers.h"
#include "review/standin-3/entries.h"
#include "review/standin-3/lab.h"
#include "review/standin-3/link.h"
#include "review/standin-3/minions.h"
#include "review/standin-3/store.h"
#include "sassafras/net/call_after.h"

namespace sassafras::review {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr char kHost[] = "lab.example";
constexpr char kKey[] = "key-of-the-only-team";
constexpr char kPrefix[] = "/batch/";
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
// finish_s of the deployments.
constexpr duration kFinish = 14s;
// A job with nothing running for this time, though there is room, is lost.
constexpr duration kMaxIdle = 3s;

std::ofstream record;
instant began;

// One task of a job that the case submits.
struct submitted_job {
  std::string id;
  int tasks = 1;  ///< In all occurrences.
  work what;
  int times = 0;  ///< 0: it is due at once.
  std::int64_t due_unix_ms = 0;
  std::int64_t interval_ms = 1000;
  bool is_due_later = false;  ///< After the end of the case.
};

// A small deployment with clients. Cases derive from it.
class lab {
 public:
  lab(std::string folder, bool has_trouble, minions::options workers)
      : folder_(std::move(folder)),
        has_trouble_(has_trouble),
        rows_(context_),
        workers_(context_, rows_, workers),
        clients_(context_, kHost, kKey),
        fronts_(folder_) {
    rows_.on_refusal = [this](const std::string& what) {
      if (++refusals_ <= 20) {
        Record("the store refused " + what);
      }
    };
  }
  virtual ~lab() = default;
  lab(const lab&) = delete;
  lab& operator=(const lab&) = delete;

  int Run() {
    store_address_ = FreeAddress();
    if (!rows_.Start(store_address_) || !workers_.Start()) {
      return kNotRun;
    }
    rows_.Put("op", "config", Configuration());
    StartEntries();
    WatchMemory();
    After(10s, [this] {
      if (CountRunning() < fronts_.Count()) {
        Record("not all entries have started");
        Finish(kNotRun);
        return;
      }
      Play();
    });
    context_.run();
    std::string peaks;
    for (const auto& [index, mb] : peak_mb_) {
      peaks += " " + std::to_string(static_cast<int>(mb));
    }
    Record("peak MB of the entries:" + peaks);
    Record("entries running at the end: " + std::to_string(CountRunning()) +
           "; calls that the store refused: " + std::to_string(refusals_));
    return result_;
  }

 protected:
  virtual void StartEntries() {
    for (int i = 0; i < 3; ++i) {
      StartEntry({store_address_});
    }
  }
  virtual void Play() = 0;
  virtual json Queues() const {
    return json::array({{{"name", "batch"},
                         {"host", kHost},
                         {"prefix", kPrefix},
                         {"service", "lab"},
                         {"priority", 1},
                         {"attempts", 3},
                         {"stretch", 3.0},
                         {"targetDurationMs", 60000}}});
  }

  void StartEntry(const entry_machine& machine) {
    const int index = fronts_.Start(machine);
    if (index < 0) {
      Finish(kNotRun);
      return;
    }
    clients_.fronts.push_back(fronts_.Callers(index));
  }

  void After(duration delay, std::function<void()> action) {
    CallAfter(context_, delay, std::move(action));
  }

  void Submit(const submitted_job& job, json step_fields = json::object()) {
    json step = {{"count", job.tasks / std::max(1, job.times)},
                 {"cpu", job.what.cpu},
                 {"memMb", 256},
                 {"estimateMs", job.what.run_ms}};
    step.update(step_fields);
    json body = {{"spec", EncodeWork(job.what)}, {"steps", {step}}};
    if (job.times > 0) {
      body["times"] = job.times;
      body["startAtMs"] = job.due_unix_ms;
      body["intervalMs"] = job.interval_ms;
    }
    jobs_.push_back(job);
    clients_.Submit(kPrefix, job.id, body);
  }

  // By the rule LOST: after the end of the traffic and kFinish, each accepted
  // job is asked for, and none may have nothing running for kMaxIdle while
  // there is room for its tasks.
  void JudgeAfterTraffic() {
    Record("end of the traffic");
    After(kFinish, [this] {
      Record("asking for all jobs");
      for (const submitted_job& job : jobs_) {
        if (clients_.jobs[job.id].is_accepted) {
          clients_.Ask(kPrefix, job.id);
        }
      }
      Watch(Now() + kMaxIdle + 500ms);
    });
  }

  void Finish(int result) {
    result_ = result;
    context_.stop();
  }

  // The platform kills a process that exceeds the memory of its machine.
  void WatchMemory() {
    for (int i = 0; i < fronts_.Count(); ++i) {
      const double mb = fronts_.MemoryMb(i);
      peak_mb_[i] = std::max(peak_mb_[i], mb);
      if (mb > fronts_.Machine(i).memory_mb) {
        ++memory_kills_[i];
        Record("entry " + std::to_string(i) + " has " +
               std::to_string(static_cast<int>(mb)) + " MB of " +
               std::to_string(fronts_.Machine(i).memory_mb) +
               ", the platform kills it");
        fronts_.Signal(i, SIGKILL);
        After(1s, [this, i] { fronts_.StartAgain(i); });
      }
    }
    After(50ms, [this] { WatchMemory(); });
  }

  int CountRunning() {
    int running = 0;
    for (int i = 0; i < fronts_.Count(); ++i) {
      running += fronts_.IsRunning(i) ? 1 : 0;
    }
    return running;
  }

  const std::string folder_;
  const bool has_trouble_;
  asio::io_context context_;
  std::string store_address_;
  store rows_;
  minions workers_;
  callers clients_;
  entries fronts_;
  std::vector<submitted_job> jobs_;
  int refusals_ = 0;
  std::map<int, int> memory_kills_;
  std::map<int, double> peak_mb_;

 private:
  json Configuration() const {
    return {{"version", 7},
            {"routes", Queues()},
            {"services",
             json::array({{{"name", "lab"}, {"admissionControl", false}}})},
            {"tenants", json::array({{{"name", "team"}, {"apiKeys", {kKey}}}})},
            {"limits", json::object()}};
  }

  bool IsUnfinished(const submitted_job& job) {
    const job_view& view = clients_.jobs[job.id];
    return view.is_accepted && !job.is_due_later &&
           (job.what.lasts || workers_.CountDone(job.id) < job.tasks);
  }

  void Watch(instant until) {
    const instant now = Now();
    const bool is_busy = workers_.UsedShare() >= 0.5;
    for (const submitted_job& job : jobs_) {
      const bool is_idle = IsUnfinished(job) && !is_busy &&
                           workers_.CountRunning(job.id) == 0 &&
                           workers_.RoomFor(job.what.cpu) >= 2 * job.what.gang;
      if (!is_idle) {
        idle_since_.erase(job.id);
      } else if (!idle_since_.contains(job.id)) {
        idle_since_[job.id] = now;
      } else if (now - idle_since_[job.id] >= kMaxIdle) {
        idle_.insert(job.id);
      }
    }
    if (now < until) {
      After(100ms, [this, until] { Watch(until); });
      return;
    }
    Judge();
  }

  void Judge() {
    int accepted = 0;
    int complete = 0;
    int lost = 0;
    for (const submitted_job& job : jobs_) {
      const job_view& view = clients_.jobs[job.id];
      std::string answers;
      for (const std::string& answer : view.answers) {
        answers += " " + answer;
      }
      std::string fault;
      if (view.is_accepted) {
        ++accepted;
        complete += view.last_state == "complete" ? 1 : 0;
        if (view.last_status == 0) {
          fault = "no answer about it in time";
        } else if (view.last_status == 410) {
          fault = "said not to exist";
        } else if (view.last_state == "failed" &&
                   workers_.CountFailed(job.id) == 0) {
          fault = "shown as failed, and no run of it ended failed";
        } else if (view.last_state == "cancelled") {
          fault = "shown as cancelled, and nobody cancelled it";
        } else if (idle_.contains(job.id)) {
          fault = "nothing of it runs for 3 s, with room for it";
        }
      }
      lost += fault.empty() ? 0 : 1;
      Record("job " + job.id + " answers" + answers + ", starts " +
             std::to_string(workers_.CountStarts(job.id)) + ", done " +
             std::to_string(workers_.CountDone(job.id)) + " of " +
             std::to_string(job.tasks) + ", running " +
             std::to_string(workers_.CountRunning(job.id)) + ", shown as " +
             (view.last_status == 200 ? view.last_state
                                      : std::to_string(view.last_status)) +
             (fault.empty() ? "" : "  LOST: " + fault));
    }
    Record("cores in use: " +
           std::to_string(static_cast<int>(workers_.UsedShare() * 100)) +
           "%; jobs accepted " + std::to_string(accepted) + ", complete " +
           std::to_string(complete) + ", LOST " + std::to_string(lost));
    // The rule on faults: processes on a tenth of the machines, two at least,
    // end by themselves three times.
    int machines_with_fault = 0;
    for (const auto& [index, kills] : memory_kills_) {
      machines_with_fault += kills >= 3 ? 1 : 0;
    }
    if (machines_with_fault >= 2) {
      Record("FAULT: on " + std::to_string(machines_with_fault) +
             " machines processes ended three times or more");
    }
    Finish(accepted == 0                          ? kNotRun
           : lost > 0 || machines_with_fault >= 2 ? kBroken
                                                  : kHeld);
  }

  int result_ = kNotRun;
  std::map<std::string, instant> idle_since_;
  std::set<std::string> idle_;
};

// One job with many occurrences, or several with as many together.
class long_schedule : public lab {
 public:
  long_schedule(const std::string& folder, bool has_trouble)
      : lab(folder, has_trouble, {.count = 16}) {}

 private:
  static constexpr int kOccurrences = 6000;
  static constexpr int kJobs = 4;
  static constexpr std::int64_t kIntervalMs = 6;

  void Play() override {
    const int jobs = has_trouble_ ? 1 : kJobs;
    for (int i = 0; i < jobs; ++i) {
      submitted_job job;
      job.id = callers::NewId(i + 1);
      job.times = kOccurrences / jobs;
      job.tasks = job.times;
      job.what = {200, false, 500, 1};
      job.due_unix_ms = UnixMs() + 1000;
      job.interval_ms = kIntervalMs * jobs;
      Submit(job);
    }
    Record(std::to_string(jobs) + " jobs with " +
           std::to_string(kOccurrences / jobs) + " occurrences each");
    for (int i = 0; i < 20; ++i) {
      After(i * 2500ms, [this, i] {
        submitted_job job;
        job.id = callers::NewId(1000 + i);
        job.tasks = 4;
        job.what = {500, false, 500, 1};
        Submit(job);
      });
    }
    After(51s, [this] { JudgeAfterTraffic(); });
  }
};

// Scheduled jobs with many tasks that are not due yet. The platform kills a
// process that exceeds the memory of its machine, and starts it again.
class schedules_fill_memory : public lab {
 public:
  schedules_fill_memory(const std::string& folder, bool has_trouble)
      : lab(folder, has_trouble, {.count = 16}) {}

 private:
  static constexpr int kJobs = 12;
  static constexpr int kTimes = 10'000;
  static constexpr int kCount = 10;

  void Play() override {
    for (int i = 0; i < kJobs; ++i) {
      After(i * 1s, [this, i] {
        submitted_job job;
        job.id = callers::NewId(i + 1);
        job.times = has_trouble_ ? kTimes : kTimes / 100;
        job.tasks = job.times * kCount;
        job.what = {200, false, 500, 1};
        job.due_unix_ms = UnixMs() + 3'600'000;
        job.interval_ms = 60'000;
        job.is_due_later = true;
        Submit(job);
      });
    }
    for (int i = 0; i < 20; ++i) {
      After(i * 2500ms, [this, i] {
        submitted_job job;
        job.id = callers::NewId(1000 + i);
        job.tasks = 4;
        job.what = {500, false, 500, 1};
        Submit(job);
      });
    }
    After(51s, [this] { JudgeAfterTraffic(); });
  }
};

// A large gang waits for a worker that a long job holds.
class large_gang_waits : public lab {
 public:
  large_gang_waits(const std::string& folder, bool has_trouble)
      : lab(folder, has_trouble, {.count = 8}) {}

 private:
  // Two such tasks fit on a worker of 128 cores, so that the gang needs all
  // eight.
  static constexpr int kMillicores = 52'000;
  static constexpr int kGang = 16;

  void Play() override {
    submitted_job holder;
    holder.id = callers::NewId(1);
    holder.what = {90'000, false, kMillicores, 1};
    Submit(holder);
    if (has_trouble_) {
      After(1s, [this] {
        Record("a gang of 16 tasks with 52 cores each is handed in");
        submitted_job gang;
        gang.id = callers::NewId(2);
        gang.tasks = kGang;
        gang.what = {11'000, false, kMillicores, kGang};
        Submit(gang, {{"gang", true}});
      });
    }
    After(2s, [this] {
      submitted_job lasting;
      lasting.id = callers::NewId(3);
      lasting.what = {1000, true, kMillicores, 1};
      Submit(lasting, {{"persistent", true}});
      for (int i = 0; i < 5; ++i) {
        submitted_job job;
        job.id = callers::NewId(10 + i);
        job.what = {100'000, false, kMillicores, 1};
        Submit(job);
      }
    });
    After(3s, [this] { JudgeAfterTraffic(); });
  }
};

// The machines with fast links are removed; those that stay have slow ones.
class slow_links_stay : public lab {
 public:
  slow_links_stay(const std::string& folder, bool has_trouble)
      : lab(folder, has_trouble, {.count = 16}) {}

 private:
  static constexpr int kStrong = 2;
  static constexpr int kWeak = 3;
  static constexpr std::size_t kSpecBytes = 1200;
  static constexpr duration kTraffic = 62s;
  static constexpr duration kStrongStay = 56s;

  void StartEntries() override {
    for (int i = 0; i < kStrong + kWeak; ++i) {
      entry_machine machine;
      const bool is_strong = i < kStrong;
      machine.cores = is_strong ? 0.5 : 0.12;
      machine.link_mbps = is_strong ? 200 : 10;
      machine.memory_mb = is_strong ? 512 : 160;
      links_.push_back(link::Make(context_, store_address_, machine.link_mbps));
      machine.store = links_.back()->Address();
      StartEntry(machine);
    }
  }

  void Play() override {
    end_ = Now() + kTraffic;
    SubmitNext();
    if (has_trouble_) {
      After(kStrongStay, [this] {
        Record("machines 0 and 1 are removed");
        for (int i = 0; i < kStrong; ++i) {
          fronts_.Signal(i, SIGKILL);
        }
      });
      // The platform stops sending new connections there.
      After(kStrongStay + 2s, [this] {
        clients_.fronts.erase(clients_.fronts.begin(),
                              clients_.fronts.begin() + kStrong);
      });
    }
    After(kTraffic, [this] { JudgeAfterTraffic(); });
  }

  void SubmitNext() {
    submitted_job job;
    job.id = callers::NewId(++number_);
    job.tasks = 2;
    job.what = {900, false, 2000, 1, kSpecBytes};
    Submit(job);
    if (Now() + 60ms < end_) {
      After(50ms, [this] { SubmitNext(); });
    }
  }

  std::vector<std::shared_ptr<link>> links_;
  std::uint64_t number_ = 0;
  instant end_;
};

// The owner of a job of very many tasks is killed when half of them are done.
class half_done_job_is_taken_over : public lab {
 public:
  half_done_job_is_taken_over(const std::string& folder, bool has_trouble)
      : lab(folder, has_trouble, {.count = 48}) {}

 private:
  static constexpr int kEntries = 9;
  static constexpr int kTimes = 10;
  static constexpr int kCount = 10'000;

  void StartEntries() override {
    for (int i = 0; i < kEntries; ++i) {
      StartEntry({store_address_});
    }
  }

  void Play() override {
    submitted_job wide;
    wide.id = callers::NewId(1);
    wide.tasks = kTimes * kCount;
    wide.times = kTimes;
    wide.interval_ms = 1;
    wide.due_unix_ms = UnixMs() + 500;
    wide.what = {100, false, 200, 1};
    Submit(wide);
    for (int i = 0; i < 12; ++i) {
      After(60s + i * 1s, [this, i] {
        submitted_job job;
        job.id = callers::NewId(1000 + i);
        job.tasks = 4;
        job.what = {500, false, 500, 1};
        Submit(job);
      });
    }
    if (has_trouble_) {
      After(66s, [this] {
        const int owner = Owner();
        Record("entry " + std::to_string(owner) + " is killed; tasks done: " +
               std::to_string(workers_.CountDone(jobs_.front().id)));
        fronts_.Signal(owner, SIGKILL);
        After(500ms, [this, owner] { fronts_.StartAgain(owner); });
      });
    }
    After(73s, [this] { JudgeAfterTraffic(); });
  }

  // The job takes most of the memory of its owner.
  int Owner() {
    int owner = 0;
    for (int i = 1; i < fronts_.Count(); ++i) {
      if (fronts_.MemoryMb(i) > fronts_.MemoryMb(owner)) {
        owner = i;
      }
    }
    return owner;
  }
};

int Main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: lab CASE RECORD\n";
    return kNotRun;
  }
  const std::string name = argv[1];
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  record.open(argv[2]);
  began = Now();
  std::string folder =
      (std::filesystem::temp_directory_path() / "lab-XXXXXX").string();
  if (!record || ::mkdtemp(folder.data()) == nullptr) {
    return kNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  Record("case " + name + (has_trouble ? "" : ", without the disruption"));
  int result = kNotRun;
  {
    std::unique_ptr<lab> played;
    if (name == "long-schedule") {
      played = std::make_unique<long_schedule>(folder, has_trouble);
    } else if (name == "schedules-fill-memory") {
      played = std::make_unique<schedules_fill_memory>(folder, has_trouble);
    } else if (name == "large-gang-waits") {
      played = std::make_unique<large_gang_waits>(folder, has_trouble);
    } else if (name == "half-done-job-is-taken-over") {
      played =
          std::make_unique<half_done_job_is_taken_over>(folder, has_trouble);
    } else if (name == "slow-links-stay") {
      played = std::make_unique<slow_links_stay>(folder, has_trouble);
    }
    if (played) {
      result = played->Run();
    }
  }
  Record(result == kBroken ? "BROKEN" : result == kHeld ? "held" : "not run");
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    std::cout << folder << '\n';
  }
  std::cout << (result == kBroken ? "BROKEN"
                : result == kHeld ? "held"
                                  : "not run")
            << '\n';
  return result;
}

}  // namespace

// A loopback address of its own and ports that are not given to outgoing
// connections keep a port free until the process that gets it has begun.
std::string FreeAddress() {
  static std::mt19937 random{std::random_device{}()};
  static const std::string host = "127." + std::to_string(20 + random() % 200) +
                                  "." + std::to_string(1 + random() % 250) +
                                  ".1";
  static std::uint16_t port = 12'000 + random() % 10'000;
  for (;;) {
    ++port;
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    const bool is_free = ::bind(socket, reinterpret_cast<sockaddr*>(&address),
                                sizeof address) == 0;
    ::close(socket);
    if (is_free) {
      return host + ":" + std::to_string(port);
    }
  }
}

void Record(const std::string& line) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now() - began);
  record << ms.count() << " ms " << line << std::endl;
}

}  // namespace sassafras::review

int main(int argc, char** argv) {
  return sassafras::review::Main(argc, argv);
}

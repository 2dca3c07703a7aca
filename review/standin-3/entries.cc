#include "review/standin-3/entries.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include "review/standin-3/lab.h"

namespace sassafras::review {

entries::~entries() {
  for (int i = 0; i < Count(); ++i) {
    Signal(i, SIGKILL);
  }
  for (const entry& item : list_) {
    if (item.pid > 0) {
      ::waitpid(item.pid, nullptr, 0);
    }
  }
}

std::string entries::Log(int index) const {
  return folder_ + "/entry-" + std::to_string(index) + ".log";
}

int entries::Start(const entry_machine& machine) {
  const int index = Count();
  entry started{FreeAddress(), FreeAddress(), FreeAddress()};
  const std::string settings =
      folder_ + "/entry-" + std::to_string(index) + ".yaml";
  std::ofstream(settings) << "id: front-" << index
                          << "\nplace: a\ncallers: " << started.callers
                          << "\nreadiness: " << started.readiness
                          << "\nstatus: " << started.status
                          << "\nstore: " << machine.store
                          << "\nprocessor_share: " << machine.cores
                          << "\ndescriptors: 4100\nlink_mbps: "
                          << machine.link_mbps
                          << "\nmemory_mb: " << machine.memory_mb << R"(
bounds:
  greatest_lease: 10000ms
  stop_time: 200ms
  checkpoint_seconds: 2
  restore_time: 250ms
  reclaim_time: 2700ms
  revoke_time: 5000ms
  stop_grace_seconds: 6
  state_seconds: 120
policy:
  hold_room_for_gangs: true
  order_by_objective: true
  share_between_teams: true
  protect_last_attempt: true
  weigh_owner_link: true
  admission_control: true
)";
  started.machine = machine;
  list_.push_back(started);
  Spawn(index);
  return list_.back().pid > 0 ? index : -1;
}

void entries::StartAgain(int index) {
  if (!IsRunning(index)) {
    Spawn(index);
  }
}

void entries::Spawn(int index) {
  const std::string settings =
      folder_ + "/entry-" + std::to_string(index) + ".yaml";
  const std::string log = Log(index);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    if (::getppid() == parent) {
      ::execl("target/bin/sassafras-entry", "target/bin/sassafras-entry",
              "--config", settings.c_str(), nullptr);
    }
    ::_exit(127);
  }
  list_.at(index).pid = pid;
  Record("entry " + std::to_string(index) + " started, pid " +
         std::to_string(pid));
}

double entries::MemoryMb(int index) {
  if (!IsRunning(index)) {
    return 0;
  }
  std::ifstream file("/proc/" + std::to_string(list_.at(index).pid) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

void entries::Signal(int index, int signal) {
  if (IsRunning(index)) {
    ::kill(list_.at(index).pid, signal);
  }
}

bool entries::IsRunning(int index) {
  entry& item = list_.at(index);
  if (item.pid > 0 && ::waitpid(item.pid, nullptr, WNOHANG) == item.pid) {
    item.pid = -1;
  }
  return item.pid > 0;
}

}  // namespace sassafras::review

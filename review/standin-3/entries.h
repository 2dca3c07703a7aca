#ifndef SASSAFRAS_REVIEW_STANDIN_3_ENTRIES_H_
#define SASSAFRAS_REVIEW_STANDIN_3_ENTRIES_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace sassafras::review {

/// Settings of one entry process that differ between machines.
struct entry_machine {
  std::string store;  ///< Address at which it reaches the store.
  double cores = 0.25;
  double link_mbps = 1000;
  int memory_mb = 260;
};

/// Entry processes, started with the command of the deploy file. They end with
/// this process.
class entries {
 public:
  /// `folder` takes settings and logs.
  explicit entries(std::string folder) : folder_(std::move(folder)) {}
  ~entries();
  entries(const entries&) = delete;
  entries& operator=(const entries&) = delete;

  /// Starts a process on `machine` and returns its index. -1 if that fails.
  int Start(const entry_machine& machine);
  /// Starts a process that has ended with the settings that it had.
  void StartAgain(int index);
  void Signal(int index, int signal);
  /// Returns the resident memory of a process; 0 if it does not run.
  double MemoryMb(int index);
  const entry_machine& Machine(int index) const {
    return list_.at(index).machine;
  }
  bool IsRunning(int index);
  const std::string& Callers(int index) const {
    return list_.at(index).callers;
  }
  const std::string& Status(int index) const { return list_.at(index).status; }
  int Count() const { return static_cast<int>(list_.size()); }
  /// Returns the path of the log of a process.
  std::string Log(int index) const;

 private:
  struct entry {
    std::string callers;
    std::string readiness;
    std::string status;
    pid_t pid = -1;
    entry_machine machine;
  };

  void Spawn(int index);

  std::string folder_;
  std::vector<entry> list_;
};

}  // namespace sassafras::review

#endif  // SASSAFRAS_REVIEW_STANDIN_3_ENTRIES_H_

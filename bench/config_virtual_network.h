#ifndef SASSAFRAS_BENCH_CONFIG_VIRTUAL_NETWORK_H_
#define SASSAFRAS_BENCH_CONFIG_VIRTUAL_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sassafras/core/random.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Messages between numbered processes in virtual time, with faults of links
/// and pauses of processes. For tests and measurements of decision classes.
class virtual_network {
 public:
  using receiver = std::function<void(const std::string& bytes)>;

  virtual_network(int processes, std::uint64_t seed)
      : random(seed),
        receivers_(static_cast<std::size_t>(processes)),
        paused_until_(static_cast<std::size_t>(processes)),
        bytes_(static_cast<std::size_t>(processes)) {}

  instant Now() const { return now_; }

  /// Calls `action` at Now() + `delay`; if `process` is paused then, when it
  /// wakes.
  void After(int process, duration delay, std::function<void()> action) {
    events_.emplace(now_ + delay, event{process, std::move(action)});
  }

  void RunFor(duration time) {
    const instant end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      event next = std::move(node.mapped());
      const instant wakes = paused_until_[Index(next.process)];
      if (wakes > now_) {
        events_.emplace(wakes, std::move(next));
        continue;
      }
      next.action();
    }
    now_ = end;
  }

  void SetReceiver(int process, receiver receive) {
    receivers_[Index(process)] = std::move(receive);
  }

  void Send(int from, int to, const std::string& bytes) {
    bytes_[Index(from)] += static_cast<std::int64_t>(bytes.size());
    ++messages_;
    const std::pair<int, int> link{from, to};
    if (cut.contains(link) || silent.contains(link) || IsLost() || IsLost(to)) {
      return;
    }
    const auto jitter =
        duration(static_cast<std::int64_t>(random() % kMaxJitterMicros));
    After(to, latency + jitter, [this, to, bytes] {
      if (receivers_[Index(to)]) {
        receivers_[Index(to)](bytes);
      }
    });
  }

  /// Replaces the link, which ends its silence.
  void Reset(int from, int to) { silent.erase({from, to}); }

  void Pause(int process, duration time) {
    paused_until_[Index(process)] = now_ + time;
  }

  std::int64_t BytesSent(int process) const { return bytes_[Index(process)]; }
  std::int64_t Messages() const { return messages_; }

  duration latency{1'000};
  double loss = 0;         ///< Part of messages lost.
  int lossy_process = -1;  ///< With `loss_to_it` besides.
  double loss_to_it = 0;
  std::set<std::pair<int, int>> cut;     ///< Links that lose everything.
  std::set<std::pair<int, int>> silent;  ///< The same, until replaced.
  random_engine random;

 private:
  static constexpr std::uint64_t kMaxJitterMicros = 2'000;

  struct event {
    int process = 0;
    std::function<void()> action;
  };

  static std::size_t Index(int process) {
    return static_cast<std::size_t>(process);
  }

  bool Happens(double chance) {
    return chance > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random) < chance;
  }
  bool IsLost() { return Happens(loss); }
  bool IsLost(int to) { return to == lossy_process && Happens(loss_to_it); }

  instant now_;
  std::multimap<instant, event> events_;
  std::vector<receiver> receivers_;
  std::vector<instant> paused_until_;
  std::vector<std::int64_t> bytes_;
  std::int64_t messages_ = 0;
};

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_CONFIG_VIRTUAL_NETWORK_H_

#ifndef SASSAFRAS_TESTS_SOAK_DRIVER_H_
#define SASSAFRAS_TESTS_SOAK_DRIVER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// One randomised run.
struct soak_options {
  std::uint64_t seed = 1;
  std::uint64_t steps = 20'000;  ///< Events until the failures stop.
  std::string trace;             ///< Prints events that contain it.
};

/// What a run showed.
struct soak_result {
  std::uint64_t steps = 0;
  std::string violation;  ///< Empty, or the invariant with the last events.
  /// How often each failure, counter and branch was met.
  std::map<std::string, std::uint64_t> met;
};

/// Virtual time, randomness and the journal of one run. Everything happens in
/// events; the same seed repeats a run exactly.
class soak_driver {
 public:
  explicit soak_driver(const soak_options& options)
      : random(options.seed), options_(options) {}

  /// A number from 0 to `count` - 1.
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random);
  }
  bool Chance(int percent) { return Pick(100) < percent; }

  /// One of the last few of `all`, which has at least one.
  const std::string& PickRecent(const std::vector<std::string>& all) {
    constexpr std::size_t kRecent = 10;
    const int count = static_cast<int>(std::min(kRecent, all.size()));
    return all[all.size() - 1 - Pick(count)];
  }

  /// A delay that is mostly short and seldom very long.
  duration Delay() {
    const int kind = Pick(100);
    const int scale = kind < 80 ? 5 : (kind < 97 ? 200 : 5'000);
    return std::chrono::microseconds(100 + Pick(scale * 1'000));
  }

  void After(duration delay, std::function<void()> act) {
    events_.emplace(std::pair(now + delay, ++sequence_), std::move(act));
  }

  /// Notes an event for the journal and counts it under `what`.
  void Note(std::string_view what, const std::string& detail = {}) {
    met.Add(what);
    journal_.push_back(std::to_string(step_) + " " + std::string(what) + " " +
                       detail);
    if (!options_.trace.empty() &&
        journal_.back().find(options_.trace) != std::string::npos) {
      std::cout << now.time_since_epoch().count() / 1000 << "ms "
                << journal_.back() << '\n';
    }
    if (journal_.size() > kJournal) {
      journal_.pop_front();
    }
  }

  /// Ends the run if `holds` is false.
  void Check(bool holds, std::string_view invariant) {
    if (holds || !violation_.empty()) {
      return;
    }
    violation_ = "seed " + std::to_string(options_.seed) + " step " +
                 std::to_string(step_) + " invariant " + std::string(invariant);
    for (const std::string& line : journal_) {
      violation_ += "\n  " + line;
    }
  }

  /// Whether failures are still brought about.
  bool IsFaulty() const { return step_ < options_.steps; }

  /// Runs events until the steps are used up, then `quiet` longer.
  void Run(duration quiet, const std::function<void()>& on_quiet) {
    instant end = instant::max();
    while (!events_.empty() && violation_.empty() && now < end) {
      auto node = events_.extract(events_.begin());
      now = std::max(now, node.key().first);
      ++step_;
      if (!IsFaulty() && end == instant::max()) {
        end = now + quiet;
        on_quiet();
      }
      node.mapped()();
    }
  }

  soak_result Result() const {
    const auto all = met.Snapshot();
    return {step_, violation_, {all.begin(), all.end()}};
  }

  bool IsViolated() const { return !violation_.empty(); }

  instant now{std::chrono::seconds(1'000'000)};
  random_engine random;
  counter_table met;

 private:
  static constexpr std::size_t kJournal = 60;
  soak_options options_;
  std::uint64_t step_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events_;
  std::deque<std::string> journal_;
  std::string violation_;
};

/// Several gateways over one store and a few minions.
soak_result SoakRequests(const soak_options& options);

/// Several schedulers over one store and a few workers.
soak_result SoakJobs(const soak_options& options);

}  // namespace sassafras

#endif  // SASSAFRAS_TESTS_SOAK_DRIVER_H_

#ifndef SASSAFRAS_TELEMETRY_METRICS_H_
#define SASSAFRAS_TELEMETRY_METRICS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Gauges and distributions of durations of one process. Thread-safe. Its mutex
/// is a leaf lock: no other lock is acquired while it is held.
class metrics {
 public:
  /// Exports `counters` with the gauges and distributions.
  explicit metrics(counter_table& counters);
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Sets the gauge `name` to `value`.
  void Set(std::string_view name, double value);

  /// Adds one observation to the distribution `name` of the class `label`.
  void Observe(std::string_view name, std::string_view label, duration value);

  /// Returns all counters, gauges and distributions (count, sum, median, p90
  /// and p99, in seconds) in the Prometheus text format. Names get the prefix
  /// "sassafras_".
  std::string ToText() const;

 private:
  class distribution;

  counter_table& counters_;
  mutable std::mutex mutex_;
  std::map<std::string, double, std::less<>> gauges_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<distribution>>
      distributions_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_TELEMETRY_METRICS_H_

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

/// Gauges and distributions of durations of one process. Safe to use from
/// several threads; its lock is innermost.
class metrics {
 public:
  explicit metrics(counter_table& counters);
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Sets a gauge.
  void Set(std::string_view name, double value);

  /// Adds one observation to the distribution `name`, labelled by class.
  void Observe(std::string_view name, std::string_view label, duration value);

  /// All counters, gauges and distributions (count, sum, median, p99) in the
  /// Prometheus text format. Names get the prefix "sassafras_".
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

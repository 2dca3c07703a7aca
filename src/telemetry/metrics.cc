#include "sassafras/telemetry/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <vector>

namespace sassafras {
namespace {

namespace acc = boost::accumulators;

constexpr std::string_view kPrefix = "sassafras_";
constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

using accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count,
               acc::tag::sum,
               acc::tag::extended_p_square_quantile_quadratic>>;

double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

prometheus::MetricFamily MakeFamily(std::string_view name,
                                    prometheus::MetricType type) {
  prometheus::MetricFamily family;
  family.name = std::string(kPrefix) + std::string(name);
  family.help = std::string(name);
  family.type = type;
  return family;
}

}  // namespace

class metrics::distribution {
 public:
  void Add(double value) { values_(value); }

  prometheus::ClientMetric ToMetric(const std::string& label) const {
    prometheus::ClientMetric metric;
    metric.label.push_back({"class", label});
    metric.summary.sample_count = acc::count(values_);
    metric.summary.sample_sum = acc::sum(values_);
    for (const double quantile : kQuantiles) {
      prometheus::ClientMetric::Quantile entry;
      entry.quantile = quantile;
      entry.value =
          acc::quantile(values_, acc::quantile_probability = quantile);
      metric.summary.quantile.push_back(entry);
    }
    return metric;
  }

 private:
  accumulator values_{acc::extended_p_square_probabilities = kQuantiles};
};

metrics::metrics(counter_table& counters) : counters_(counters) {}
metrics::~metrics() = default;

void metrics::Set(std::string_view name, double value) {
  const std::lock_guard lock(mutex_);
  gauges_.insert_or_assign(std::string(name), value);
}

void metrics::Observe(std::string_view name,
                      std::string_view label,
                      duration value) {
  const std::lock_guard lock(mutex_);
  auto& entry = distributions_[{std::string(name), std::string(label)}];
  if (!entry) {
    entry = std::make_unique<distribution>();
  }
  entry->Add(ToSeconds(value));
}

std::string metrics::ToText() const {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& [name, value] : counters_.Snapshot()) {
    auto family = MakeFamily(name + "_total", prometheus::MetricType::Counter);
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    family.metric.push_back(std::move(metric));
    families.push_back(std::move(family));
  }
  const std::lock_guard lock(mutex_);
  for (const auto& [name, value] : gauges_) {
    auto family = MakeFamily(name, prometheus::MetricType::Gauge);
    prometheus::ClientMetric metric;
    metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
    families.push_back(std::move(family));
  }
  for (const auto& [key, values] : distributions_) {
    const std::string full = key.first + "_seconds";
    if (families.empty() ||
        families.back().name != std::string(kPrefix) + full) {
      families.push_back(MakeFamily(full, prometheus::MetricType::Summary));
    }
    families.back().metric.push_back(values->ToMetric(key.second));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace sassafras

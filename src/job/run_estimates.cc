#include "src/job/run_estimates.h"

#include <cmath>

namespace sassafras {
namespace {

namespace acc = boost::accumulators;

constexpr double kUpperQuantile = 0.9;
constexpr double kDefaultFactor = 2.0;   // Of the declared time.
constexpr std::size_t kMinSamples = 20;  // Fewer give no reliable quantile.

duration Scale(duration declared, double factor) {
  const double scaled = static_cast<double>(declared.count()) * factor;
  return duration(std::llround(scaled));
}

}  // namespace

run_estimates::accumulator run_estimates::MakeAccumulator() {
  return accumulator(acc::quantile_probability = kUpperQuantile);
}

void run_estimates::Add(const team_id& team,
                        const class_id& job_class,
                        duration declared,
                        duration actual) {
  if (declared.count() <= 0) {
    return;
  }
  const double ratio = static_cast<double>(actual.count()) /
                       static_cast<double>(declared.count());
  by_team_.try_emplace({team, job_class}, MakeAccumulator())
      .first->second(ratio);
  by_class_.try_emplace(job_class, MakeAccumulator()).first->second(ratio);
}

duration run_estimates::UpperEstimate(const team_id& team,
                                      const class_id& job_class,
                                      duration declared) const {
  const auto of_team = by_team_.find({team, job_class});
  if (of_team != by_team_.end() && acc::count(of_team->second) >= kMinSamples) {
    return Scale(declared, acc::p_square_quantile(of_team->second));
  }
  const auto of_class = by_class_.find(job_class);
  if (of_class != by_class_.end() &&
      acc::count(of_class->second) >= kMinSamples) {
    return Scale(declared, acc::p_square_quantile(of_class->second));
  }
  return Scale(declared, kDefaultFactor);
}

}  // namespace sassafras

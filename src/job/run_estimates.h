#ifndef SASSAFRAS_JOB_RUN_ESTIMATES_H_
#define SASSAFRAS_JOB_RUN_ESTIMATES_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <utility>

#include "sassafras/core/id.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Estimates running times from the ratio of actual to declared time of earlier
/// jobs. Keeps a quantile of the ratio per team and class, and per class.
class run_estimates {
 public:
  /// Records that a job succeeded after running for `actual`.
  void Add(const team_id& team,
           const class_id& job_class,
           duration declared,
           duration actual);

  /// Returns the running time that one job in ten is expected to exceed. Uses
  /// the samples of the team and class, or those of the class if there are too
  /// few, or else a constant factor of `declared`.
  duration UpperEstimate(const team_id& team,
                         const class_id& job_class,
                         duration declared) const;

 private:
  using accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;

  static accumulator MakeAccumulator();

  std::map<std::pair<team_id, class_id>, accumulator> by_team_;
  std::map<class_id, accumulator> by_class_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_JOB_RUN_ESTIMATES_H_

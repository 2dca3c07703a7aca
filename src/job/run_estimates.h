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

/// Learns by how much jobs outrun their declared running times, as quantiles
/// of actual over declared time, per team and class and per class.
class run_estimates {
 public:
  /// Notes that a job ended well after `actual`.
  void Add(const team_id& team,
           const class_id& job_class,
           duration declared,
           duration actual);

  /// Returns a running time that the job exceeds once in ten times. Uses the
  /// team's and class's experience, else the class's, else a fixed factor.
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

#ifndef SASSAFRAS_BENCH_POLICY_SITE_H_
#define SASSAFRAS_BENCH_POLICY_SITE_H_

#include <string>
#include <vector>

#include "sassafras/config/config_set.h"
#include "sassafras/core/result.h"

namespace sassafras {

/// One kind of job of a site's load.
struct load_part {
  class_id job_class;
  shape_id shape;
  std::vector<team_id> teams;  ///< Each job is of one of them.
  double weight = 0;           ///< Its part of the offered accelerator time.
  duration median{0};          ///< Median running time.
  int burst = 1;  ///< Greatest number of jobs that arrive together.
};

/// A site to measure: its configuration and its load.
struct policy_site {
  config_ptr config;
  std::vector<load_part> load;
  double offered = 0.9;  ///< Accelerator time asked for, of what there is.
  duration length{0};    ///< Time in which jobs arrive.
  duration warm_up{0};   ///< Part of it that fills the site, not measured.
  int large_gang = 0;    ///< Accelerators from which a gang counts as large.
};

/// Returns the site "piwhma", "kitaran" or "target". The first two are read
/// from the directory `examples`. Fails with kNotFound or kInvalidConfig.
result<policy_site> MakePolicySite(const std::string& name);

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_POLICY_SITE_H_

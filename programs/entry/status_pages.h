#ifndef SASSAFRAS_PROGRAMS_ENTRY_STATUS_PAGES_H_
#define SASSAFRAS_PROGRAMS_ENTRY_STATUS_PAGES_H_

#include <string>

#include "programs/entry/caller_service.h"
#include "programs/entry/config_watch.h"
#include "programs/entry/forecast_watch.h"
#include "programs/entry/job_owner.h"
#include "programs/entry/store_watch.h"
#include "sassafras/net/http_types.h"
#include "sassafras/telemetry/metrics.h"

namespace sassafras {

/// HTTP pages of an entry process for operators: /metrics in the Prometheus
/// text format, /v1/status (owner, ages, load, forecasts, teams, minions) and
/// /v1/jobs/ID (one sentence about a job, from the owner only). All objects
/// passed by reference must outlive it.
class status_pages {
 public:
  status_pages(std::string id,
               metrics& metrics_registry,
               const config_watch& config,
               const store_watch& store,
               const job_owner& owner,
               const caller_service& callers,
               const forecast_watch* forecasts);

  /// Returns the page under `path`, or a not-found error.
  http_response Answer(const std::string& path) const;

 private:
  void SetGauges() const;
  std::string MakeStatusJson() const;

  const std::string id_;
  metrics& metrics_;
  const config_watch& config_;
  const store_watch& store_;
  const job_owner& owner_;
  const caller_service& callers_;
  const forecast_watch* forecasts_;  // Null: admission control is off.
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_STATUS_PAGES_H_

#ifndef SASSAFRAS_PROGRAMS_LOAD_LOAD_DRIVER_H_
#define SASSAFRAS_PROGRAMS_LOAD_LOAD_DRIVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "programs/load/load_plan.h"
#include "programs/load/load_record.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/core/random.h"
#include "sassafras/net/http_client.h"

namespace sassafras {

/// Sends a plan's requests and jobs to gateways and records the answers. Acts
/// like a caller behind a load balancer: each attempt goes to a random gateway.
/// A request is retried if no byte was sent; a request that must run at most
/// once is also retried after a lost answer, with the same idempotency key.
class load_driver {
 public:
  load_driver(load_plan plan, std::uint64_t seed);

  /// Runs the plan. Returns when all requests and jobs have ended.
  void Run();

  const load_record& Record() const { return record_; }

  /// Reads executions by key, as counted by the stand-in minions and workers.
  std::map<std::string, int> ReadExecutions();

  /// Reads selected metrics, summed over all schedulers.
  std::map<std::string, double> ReadSchedulerMetrics();

 private:
  struct pending_request;
  struct pending_job;

  void StartRequests(const request_load_plan& stream);
  void StartJobs(const job_load_plan& stream);
  void SendRequest(const std::shared_ptr<pending_request>& request);
  void OnRequestAnswer(const std::shared_ptr<pending_request>& request,
                       const http_answer& answer);
  void EndRequest(const pending_request& request, run_outcome outcome);
  void SubmitJob(const std::shared_ptr<pending_job>& job);
  void OnSubmitted(const std::shared_ptr<pending_job>& job,
                   const http_answer& answer);
  void PollJob(const std::shared_ptr<pending_job>& job);
  void EndJob(const pending_job& job, const std::string& outcome);
  void ScheduleAfter(duration delay, std::function<void()> action);
  void CountRefusal(const http_answer& answer);
  const std::string& PickGateway();
  std::string NewKey();
  http_answer CallAndWait(const std::string& address, const std::string& path);

  load_plan plan_;
  std::string run_name_;
  random_engine random_;
  boost::asio::io_context context_;
  counter_table counters_;
  std::shared_ptr<http_client> client_;
  std::chrono::steady_clock::time_point send_deadline_;
  std::chrono::steady_clock::time_point settle_deadline_;
  std::uint64_t next_key_ = 0;
  load_record record_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_LOAD_LOAD_DRIVER_H_

#ifndef SASSAFRAS_PROGRAMS_STANDIN_WORKER_TASKS_H_
#define SASSAFRAS_PROGRAMS_STANDIN_WORKER_TASKS_H_

#include <map>
#include <string>

#include "sassafras/core/time.h"
#include "sassafras/net/http_types.h"
#include "sassafras/net/worker_port.h"

namespace sassafras {

/// The tasks of one stand-in worker. The payload of a task is JSON with
/// "run_ms" (time it works before it ends) and optionally "fail": true.
class worker_tasks {
 public:
  /// Serves /tasks, /tasks/start, /tasks/throttle, /tasks/renew,
  /// /tasks/checkpoint and /tasks/stop.
  http_response Handle(const http_request& request, instant now, bool fail_all);

  /// Number of tasks that ever left the held state, by job.
  const std::map<std::string, int>& Executions() const { return executions_; }

  /// Forgets all tasks, as a reboot does.
  void Reboot() { tasks_.clear(); }

 private:
  struct task {
    task_report report;
    instant lease_end;
    instant last_seen;
    double run_us = 0;
    int throttle_percent = 0;
    bool fails = false;
  };

  http_response Start(const http_request& request, instant now, bool fail_all);
  http_response Renew(const http_request& request, instant now);
  http_response ChangeOne(const http_request& request);
  void AdvanceAll(instant now);
  static void Advance(task& running, instant now);
  void SetThrottle(task& changed, int percent);

  std::map<std::string, task> tasks_;
  std::map<std::string, int> executions_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_STANDIN_WORKER_TASKS_H_

#include "programs/standin/worker_tasks.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "sassafras/net/json_codec.h"

namespace sassafras {
namespace {

constexpr double kWholePercent = 100;

http_response Reports(const std::vector<task_report>& reports) {
  return {200, {}, "application/json", EncodeReports(reports)};
}

bool IsLive(const task_report& report) {
  return report.state == task_state::kHeld ||
         report.state == task_state::kRunning;
}

}  // namespace

http_response worker_tasks::Handle(const http_request& request,
                                   instant now,
                                   bool fail_all) {
  AdvanceAll(now);
  if (request.path == "/tasks") {
    std::vector<task_report> reports;
    for (const auto& [id, item] : tasks_) {
      reports.push_back(item.report);
    }
    return Reports(reports);
  }
  if (request.path == "/tasks/start") {
    return Start(request, now, fail_all);
  }
  if (request.path == "/tasks/renew") {
    return Renew(request, now);
  }
  return ChangeOne(request);
}

http_response worker_tasks::Start(const http_request& request,
                                  instant now,
                                  bool fail_all) {
  const auto start = DecodeTaskStart(request.body);
  if (!start) {
    return ErrorResponse(start.error());
  }
  const task_start& wanted = start.value();
  const auto [it, is_new] = tasks_.try_emplace(wanted.task.value);
  task& item = it->second;
  if (!is_new) {
    return Reports({item.report});
  }
  item.report = {wanted.task, wanted.job, wanted.attempt, task_state::kHeld,
                 wanted.need};
  item.lease_end = now + wanted.lease;
  item.last_seen = now;
  const auto payload = nlohmann::json::parse(wanted.payload, nullptr, false);
  if (payload.is_object()) {
    item.run_us = payload.value("run_ms", 0.0) * 1'000;
    item.fails = payload.value("fail", false);
  }
  if (fail_all) {
    item.report.state = task_state::kFailed;
    return Reports({item.report});
  }
  SetThrottle(item, wanted.throttle_percent);
  return Reports({item.report});
}

void worker_tasks::SetThrottle(task& changed, int percent) {
  changed.throttle_percent = percent;
  if (percent > 0 && changed.report.state == task_state::kHeld) {
    changed.report.state = task_state::kRunning;
    ++executions_[changed.report.job.value];
  }
}

http_response worker_tasks::Renew(const http_request& request, instant now) {
  const auto document = nlohmann::json::parse(request.body, nullptr, false);
  if (!document.is_object() || !document.contains("tasks")) {
    return ErrorResponse(Fail(error_kind::kMalformed));
  }
  const duration lease(document.value("lease_us", std::int64_t{0}));
  std::vector<task_report> reports;
  for (const auto& name : document["tasks"]) {
    const auto it = tasks_.find(name.get<std::string>());
    if (it == tasks_.end()) {
      task_report absent;
      absent.task.value = name;
      reports.push_back(absent);
      continue;
    }
    if (IsLive(it->second.report)) {
      it->second.lease_end = now + lease;
    }
    reports.push_back(it->second.report);
  }
  return Reports(reports);
}

http_response worker_tasks::ChangeOne(const http_request& request) {
  const auto document = nlohmann::json::parse(request.body, nullptr, false);
  if (!document.is_object() || !document.contains("task")) {
    return ErrorResponse(Fail(error_kind::kMalformed));
  }
  // A stop of an unknown task is remembered, so that a late start has no
  // effect.
  task& item = tasks_[document["task"]];
  item.report.task.value = document["task"];
  if (!IsLive(item.report)) {
    return Reports({item.report});
  }
  if (request.path == "/tasks/throttle") {
    SetThrottle(item, document.value("throttle_percent", 0));
  } else if (request.path == "/tasks/checkpoint") {
    item.report.checkpoint =
        item.report.task.value + "-" + std::to_string(item.report.progress);
  } else if (request.path == "/tasks/stop") {
    item.report.state = task_state::kStopped;
  }
  return Reports({item.report});
}

void worker_tasks::AdvanceAll(instant now) {
  for (auto& [id, item] : tasks_) {
    Advance(item, now);
  }
}

void worker_tasks::Advance(task& running, instant now) {
  const instant until = std::min(now, running.lease_end);
  if (running.report.state == task_state::kRunning &&
      until > running.last_seen) {
    const auto worked =
        static_cast<double>((until - running.last_seen).count());
    running.report.progress += worked * running.throttle_percent /
                               kWholePercent / std::max(1.0, running.run_us);
    if (running.report.progress >= 1) {
      running.report.progress = 1;
      running.report.state =
          running.fails ? task_state::kFailed : task_state::kEnded;
    }
  }
  running.last_seen = now;
  if (IsLive(running.report) && now >= running.lease_end) {
    running.report.state = task_state::kStopped;
  }
}

}  // namespace sassafras

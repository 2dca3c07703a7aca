#include "sassafras/sched/job_model.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace sassafras::sched {
namespace {

constexpr duration kMaxTaskTime = std::chrono::hours(24 * 366);
// Latest due time of an occurrence, far from an overflow of any clock.
constexpr std::int64_t kMaxUnixMs = std::int64_t{1} << 50;

bool IsInRange(std::int64_t value, std::int64_t min, std::int64_t max) {
  return value >= min && value <= max;
}

bool IsTimeInRange(duration time) {
  return IsInRange(time.count(), 0, kMaxTaskTime.count());
}

// A step may depend on earlier steps only, which excludes cycles.
const char* FindFaultOfStep(const step_spec& step, int position) {
  if (!IsInRange(step.count, 1, kMaxTasksPerStep)) {
    return "count is out of range";
  }
  if (!IsInRange(step.needs)) {
    return "an amount that a task needs is out of range";
  }
  if (!IsTimeInRange(step.estimate) ||
      !IsTimeInRange(step.tail_latency_target)) {
    return "a time is out of range";
  }
  if (step.max_per_minion < 0 || step.max_unavailable < 0) {
    return "a limit of tasks is negative";
  }
  const bool depends_on_earlier_only =
      std::all_of(step.after.begin(), step.after.end(),
                  [&](int other) { return IsInRange(other, 0, position - 1); });
  return depends_on_earlier_only ? nullptr
                                 : "it depends on itself or a later step";
}

const char* FindFaultOfSchedule(const job_spec& spec) {
  if (!IsInRange(spec.occurrences, 0, kMaxOccurrences)) {
    return "the number of occurrences is out of range";
  }
  if (!IsInRange(spec.first_due_unix_ms, 0, kMaxUnixMs) ||
      !IsInRange(spec.interval_ms, 0,
                 (kMaxUnixMs - spec.first_due_unix_ms) /
                     std::max(1, spec.occurrences))) {
    return "a due time is out of range";
  }
  return nullptr;
}

}  // namespace

bool IsInRange(const resource_amounts& amounts) {
  return IsInRange(amounts.millicores, 0, kMaxAmount) &&
         IsInRange(amounts.memory_mb, 0, kMaxAmount) &&
         IsInRange(amounts.accelerators, 0, kMaxAmount);
}

std::optional<std::string> FindFault(const job_spec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return "the number of steps is out of range";
  }
  if (const char* fault = FindFaultOfSchedule(spec)) {
    return fault;
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const int position = static_cast<int>(i);
    if (const char* fault = FindFaultOfStep(spec.steps[i], position)) {
      return "step " + std::to_string(position) + ": " + fault;
    }
    tasks += spec.steps[i].count;
  }
  if (tasks * std::max(1, spec.occurrences) > kMaxTasksPerJob) {
    return "it has more than " + std::to_string(kMaxTasksPerJob) + " tasks";
  }
  return std::nullopt;
}

std::string_view GetName(job_state state) {
  constexpr std::array<std::string_view, 5> kNames = {
      "queued", "running", "complete", "failed", "cancelled"};
  return kNames.at(static_cast<std::size_t>(state));
}

std::string_view GetName(run_end how) {
  constexpr std::array<std::string_view, 7> kNames = {
      "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"};
  return kNames.at(static_cast<std::size_t>(how));
}

}  // namespace sassafras::sched

#ifndef SASSAFRAS_TELEMETRY_LOG_H_
#define SASSAFRAS_TELEMETRY_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sassafras {

/// Fields of a line, in order.
using log_fields =
    std::initializer_list<std::pair<std::string_view, std::string>>;

/// Lines about single decisions that one process writes in a second by
/// default: more than its decisions on a heavy day, and little processor time.
inline constexpr int kDefaultDecisionLinesPerSecond = 150;

/// Sends log lines to standard output, each with time and `process`. A thread
/// of its own writes them from a bounded queue: lines that find it full are
/// dropped and counted, the caller never waits. `decision_lines_per_second` is
/// the budget of LogDecision() in lines a second.
void StartLog(const std::string& process,
              int decision_lines_per_second = kDefaultDecisionLinesPerSecond);

/// Writes what is queued and ends the thread. Lines after it are lost.
void StopLog();

/// Writes one structured line: `event` and its fields as key="value". For
/// changes of state; what happens often is counted.
void LogEvent(std::string_view event, log_fields fields);

/// As LogEvent(), for decisions about single requests, jobs and runs: within
/// the budget. What is left out is counted, and the count is logged.
void LogDecision(std::string_view event, log_fields fields);

/// Lines left out so far, for want of budget or of room in the queue.
std::uint64_t SuppressedLogLineCount();

}  // namespace sassafras

#endif  // SASSAFRAS_TELEMETRY_LOG_H_

#ifndef SASSAFRAS_TELEMETRY_LOG_H_
#define SASSAFRAS_TELEMETRY_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "sassafras/telemetry/log_rate_limiter.h"

namespace sassafras {

/// Names and values of the fields of a log line, in output order.
using log_fields =
    std::initializer_list<std::pair<std::string_view, std::string>>;

/// Default limit of LogDecision() for one process. It exceeds the decisions per
/// second of a heavy day and costs little processor time.
inline constexpr int kDefaultDecisionLinesPerSecond = 150;

/// Starts writing log lines to standard output, each with a timestamp and the
/// name `process`. A background thread writes them from a bounded queue. When
/// the queue is full, lines are dropped and counted; callers never block.
/// `decision_lines_per_second` limits the lines of LogDecision().
void StartLog(const std::string& process,
              int decision_lines_per_second = kDefaultDecisionLinesPerSecond);

/// Flushes the queue and stops the background thread. Later lines are lost.
void StopLog();

/// Writes one structured line: `event`, then each field as key="value". Meant
/// for state changes; count frequent occurrences in a counter_table instead.
void LogEvent(std::string_view event, log_fields fields);

/// Writes a line like LogEvent(), for decisions on single requests, jobs and
/// runs. Lines above the rate limit are suppressed, and their count is logged
/// with the first call in a later second. Routine lines are suppressed first.
void LogDecision(std::string_view event,
                 log_fields fields,
                 line_weight weight = line_weight::kNormal);

/// Returns the number of lines dropped so far by the rate limit (as far as it
/// was logged) or by a full queue.
std::uint64_t SuppressedLogLineCount();

}  // namespace sassafras

#endif  // SASSAFRAS_TELEMETRY_LOG_H_

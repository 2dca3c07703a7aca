#ifndef SASSAFRAS_TELEMETRY_LOG_H_
#define SASSAFRAS_TELEMETRY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sassafras {

/// Sends log lines to standard error, each with time and `process`.
void StartLog(const std::string& process);

/// Writes one structured line: `event` and its fields as key="value". Used for
/// changes of state only; what happens often is counted.
void LogEvent(
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> fields);

}  // namespace sassafras

#endif  // SASSAFRAS_TELEMETRY_LOG_H_

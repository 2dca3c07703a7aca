#ifndef SASSAFRAS_PROGRAMS_LOAD_LOAD_RECORD_H_
#define SASSAFRAS_PROGRAMS_LOAD_LOAD_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sassafras/core/error.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Outcomes of the requests or jobs of one class.
struct class_record {
  std::uint64_t submitted = 0;
  std::uint64_t answered = 0;  ///< Ran and answered completely.
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::vector<duration> completion_times;  ///< Of answered ones only.
};

/// Expected executions of one idempotency key or job.
struct keyed_record {
  run_outcome reported_outcome = run_outcome::kUnknown;
  int max_executions = 0;  ///< 0: no limit.
  int min_executions = 0;  ///< Required if reported as run.
};

/// One guarantee that a caller can check, and its number of violations.
struct guarantee_check {
  std::string name;
  std::uint64_t violations = 0;
};

/// Results recorded by sassafras-load.
struct load_record {
  std::map<std::string, class_record> classes;
  std::map<std::string, keyed_record> keys;  ///< By idempotency key or job id.
  std::map<std::string, std::uint64_t> refusals;  ///< By error name.
  std::uint64_t wrong_answers = 0;         ///< Body differs from the request.
  std::uint64_t jobs_without_outcome = 0;  ///< Accepted, no outcome.
};

/// Compares the record with the executions by key that minions and workers
/// counted. A run is correct if all returned checks have 0 violations.
std::vector<guarantee_check> CheckGuarantees(
    const load_record& record,
    const std::map<std::string, int>& executions);

/// Prints classes, refusals, scheduler metrics and guarantee checks.
void PrintRecord(const load_record& record,
                 const std::map<std::string, double>& scheduler_metrics,
                 const std::vector<guarantee_check>& checks);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_LOAD_LOAD_RECORD_H_

#ifndef SASSAFRAS_PROGRAMS_LOAD_LOAD_RECORD_H_
#define SASSAFRAS_PROGRAMS_LOAD_LOAD_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sassafras/core/error.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// What became of the requests or jobs of one class.
struct class_record {
  std::uint64_t submitted = 0;
  std::uint64_t answered = 0;  ///< Ran, with the whole answer.
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::vector<duration> completion_times;  ///< Of the answered.
};

/// One key whose work a caller can check afterwards.
struct keyed_record {
  run_outcome reported_outcome = run_outcome::kUnknown;
  int max_executions = 0;  ///< Executions allowed at most.
  int min_executions = 0;  ///< Executions that the answer promises.
};

/// One promise that a caller can check, and how often it was broken.
struct guarantee_check {
  std::string name;
  std::uint64_t violations = 0;
};

/// Everything that sassafras-load saw.
struct load_record {
  std::map<std::string, class_record> classes;
  std::map<std::string, keyed_record> keys;  ///< By idempotency key or job id.
  std::map<std::string, std::uint64_t> refusals;  ///< By error name.
  std::uint64_t wrong_answers = 0;  ///< Another request's answer, or a part.
  std::uint64_t jobs_without_outcome =
      0;  ///< Accepted, but without an outcome.
};

/// Compares the record with the executions that minions and workers counted,
/// by key. Every returned check must be 0.
std::vector<guarantee_check> CheckGuarantees(
    const load_record& record,
    const std::map<std::string, int>& executions);

/// Prints a table of classes, refusals and promises.
void PrintRecord(const load_record& record,
                 const std::map<std::string, double>& scheduler_metrics,
                 const std::vector<guarantee_check>& checks);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_LOAD_LOAD_RECORD_H_

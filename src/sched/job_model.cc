#include "sassafras/sched/job_model.h"

#include <array>

namespace sassafras::sched {

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

#include <algorithm>
#include <array>

#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

// Reason why a job holds no workers.
enum class wait_reason : std::uint8_t {
  kUnknownJob,
  kHoldsWorkers,
  kShapeGone,
  kClassGone,
  kTeamGone,
  kVictims,
  kBrokenGuarantee,
  kPromised,
  kReserved,
  kNoGroup,
  kLowerPriority,
};

struct reason_row {
  wait_reason reason;
  std::string_view text;
};

constexpr std::array<reason_row, 11> kReasons = {{
    {wait_reason::kUnknownJob, "the planner does not know it"},
    {wait_reason::kHoldsWorkers, "it does not wait: it holds its workers"},
    {wait_reason::kShapeGone, "its shape is not in the configuration: "},
    {wait_reason::kClassGone, "its class is not in the configuration: "},
    {wait_reason::kTeamGone, "its team is not in the configuration: "},
    {wait_reason::kVictims,
     "its workers are chosen, and the jobs that give way are stopping"},
    {wait_reason::kBrokenGuarantee,
     "too few workers are usable for the guarantees of "},
    {wait_reason::kPromised,
     "the free workers are promised to teams, and its class cannot be "
     "restarted: it may not borrow"},
    {wait_reason::kReserved,
     "the free workers are kept for the older, larger job "},
    {wait_reason::kNoGroup,
     "no guarantee of its team is unused, and no group has enough free "
     "workers: "},
    {wait_reason::kLowerPriority, "it is another team's turn"},
}};

std::string Sentence(wait_reason reason, const std::string& rest = {}) {
  return std::string(kReasons.at(static_cast<std::size_t>(reason)).text) +
         rest + ".";
}

std::string_view GroupName(shape_level level) {
  switch (level) {
    case shape_level::kWorker:
      return "on one worker";
    case shape_level::kRack:
      return "in one rack";
    case shape_level::kPlace:
      return "in one place";
  }
  return "";
}

}  // namespace

// Returns, for example, "it needs 4 with 8 accelerators each in one rack, at
// most 2 are free".
std::string planner::impl::DescribeNeed(const shape& wanted) const {
  std::map<int, int> free;
  int max_free = 0;
  for (int i = 0; i < workers_.size(); ++i) {
    const worker_state& state = workers_[i];
    if (!state.is_usable || !state.Free().Holds(wanted.per_worker)) {
      continue;
    }
    const bool in_rack = wanted.level == shape_level::kRack;
    const int group = wanted.level == shape_level::kWorker ? i
                      : in_rack                            ? state.rack
                                                           : state.place;
    max_free = std::max(max_free, ++free[group]);
  }
  return "it needs " + std::to_string(wanted.workers) + " with " +
         std::to_string(wanted.per_worker.accelerators) +
         " accelerators each " + std::string(GroupName(wanted.level)) +
         ", at most " + std::to_string(max_free) + " are free";
}

bool planner::impl::HasFreeGroup(int job,
                                 bool require_unpromised,
                                 bool exclude_reserved) const {
  const shape& wanted = *jobs_[job].wanted;
  const std::uint64_t allowed = AllowedReservations(job);
  const auto cost = [&](int worker) -> std::optional<double> {
    const worker_state& state = workers_[worker];
    const std::uint64_t other_reservations =
        reserved_on_.empty()
            ? 0
            : reserved_on_[static_cast<std::size_t>(worker)] & ~allowed;
    const bool fits =
        state.Free().Holds(wanted.per_worker) &&
        (!require_unpromised || state.Unpromised().Holds(wanted.per_worker)) &&
        (!exclude_reserved || other_reservations == 0);
    return fits ? std::optional<double>(0) : std::nullopt;
  };
  return FindGroup(workers_, wanted.level, wanted.workers,
                   group_order::kTightest, cost)
      .has_value();
}

std::string planner::impl::Explain(const job_id& job) const {
  const int index = jobs_.Find(job);
  if (index < 0) {
    return Sentence(wait_reason::kUnknownJob);
  }
  const job_entry& entry = jobs_[index];
  if (entry.claiming) {
    return Sentence(wait_reason::kVictims);
  }
  if (entry.terms != hold_terms::kNone) {
    return Sentence(wait_reason::kHoldsWorkers);
  }
  if (entry.wanted == nullptr) {
    return Sentence(wait_reason::kShapeGone, entry.job.shape.value);
  }
  if (entry.class_object == nullptr) {
    return Sentence(wait_reason::kClassGone, entry.job.job_class.value);
  }
  if (entry.team < 0) {
    return Sentence(wait_reason::kTeamGone, entry.job.team.value);
  }
  return ExplainPlaceable(index);
}

std::string planner::impl::ExplainPlaceable(int job) const {
  const job_entry& entry = jobs_[job];
  if (!HasFreeGroup(job, /*require_unpromised=*/false,
                    /*exclude_reserved=*/false)) {
    return Sentence(wait_reason::kNoGroup, DescribeNeed(*entry.wanted));
  }
  const bool is_firm = TermsOutsideGuarantee(entry) == hold_terms::kFirm;
  const std::vector<team_id> broken = BrokenGuarantees();
  if (is_firm && !broken.empty()) {
    return Sentence(wait_reason::kBrokenGuarantee,
                    "team " + broken.front().value);
  }
  if (is_firm && !HasFreeGroup(job, /*require_unpromised=*/true,
                               /*exclude_reserved=*/false)) {
    return Sentence(wait_reason::kPromised);
  }
  if (!HasFreeGroup(job, is_firm, /*exclude_reserved=*/true) &&
      !reservations_.empty()) {
    return Sentence(wait_reason::kReserved,
                    jobs_[reservations_.front().job].job.id.value);
  }
  return Sentence(wait_reason::kLowerPriority);
}

}  // namespace sassafras

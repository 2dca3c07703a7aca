#include "sassafras/job/planner.h"

#include <array>

#include "src/job/planner_impl.h"

namespace sassafras {
namespace {

struct policy_row {
  planner_policy policy;
  std::string_view name;
};

constexpr std::array<policy_row, 3> kPolicies = {{
    {planner_policy::kFirstFit, "first_fit"},
    {planner_policy::kBestFit, "best_fit"},
    {planner_policy::kReserve, "reserve"},
}};

}  // namespace

std::string_view GetName(planner_policy policy) {
  return kPolicies.at(static_cast<std::size_t>(policy)).name;
}

planner::planner(planner_options options, counter_table& counters)
    : impl_(std::make_unique<impl>(options, counters)) {}

planner::~planner() = default;

void planner::SetConfig(const config_ptr& config) {
  impl_->SetConfig(config);
}

void planner::SetUsable(const worker_id& worker, bool is_usable) {
  impl_->SetUsable(worker, is_usable);
}

std::optional<error> planner::Add(const planned_job& job) {
  return impl_->Add(job);
}

void planner::AddPlaced(const planned_job& job,
                        const std::vector<worker_id>& workers,
                        bool is_borrowed,
                        job_phase phase,
                        instant started) {
  impl_->AddPlaced(job, workers, is_borrowed, phase, started);
}

void planner::SetPhase(const job_id& job, job_phase phase, instant now) {
  impl_->SetPhase(job, phase, now);
}

void planner::SetCheckpointed(const job_id& job, instant now) {
  impl_->SetCheckpointed(job, now);
}

void planner::Remove(const job_id& job, std::optional<duration> run) {
  impl_->Remove(job, run);
}

plan planner::Decide(instant now) {
  return impl_->Decide(now);
}

std::string planner::Explain(const job_id& job) const {
  return impl_->Explain(job);
}

std::vector<team_id> planner::BrokenGuarantees() const {
  return impl_->BrokenGuarantees();
}

}  // namespace sassafras

#include <algorithm>
#include <chrono>
#include <tuple>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Maximum number of minions in one request: each adds to the response time.
constexpr std::size_t kMinionsPerRequest = 30;
// Time for which a ticket must remain valid at placement. The record is written
// and the start is sent within it.
constexpr duration kMinTicketValidity = std::chrono::milliseconds(400);

step_key StepOf(const job_entry& job, const work_unit& unit) {
  return {job.accepted.id, unit.occurrence, unit.step};
}

}  // namespace

bool work_core::impl::NeedsAdvice(const job_entry& job) const {
  const job_queue* queue =
      config_ ? config_->FindQueueByName(job.accepted.queue) : nullptr;
  return queue != nullptr && queue->advice.has_value();
}

// Returns the minions with a ticket that will still be valid when the start
// arrives.
std::vector<minion_view> work_core::impl::AdvisedViews(
    instant now,
    const job_entry& job,
    const work_unit& unit,
    const std::vector<minion_view>& views) const {
  std::vector<minion_view> advised;
  for (const minion_view& view : views) {
    const auto it = minions_.find(view.id);
    const minion_incarnation incarnation{
        view.id, it->second.report.incarnation_unix_ms, ""};
    if (view.is_usable &&
        !TicketOf(now + kMinTicketValidity, job, unit, incarnation).empty()) {
      advised.push_back(view);
      advised.back().is_evictable_current = false;
    }
  }
  return advised;
}

std::string work_core::impl::TicketOf(instant now,
                                      const job_entry& job,
                                      const work_unit& unit,
                                      const minion_incarnation& minion) const {
  const auto step = advice_.find(StepOf(job, unit));
  if (step == advice_.end()) {
    return {};
  }
  const auto ticket = step->second.tickets.find(minion.id);
  const bool is_valid =
      ticket != step->second.tickets.end() &&
      ticket->second.incarnation_unix_ms == minion.incarnation_unix_ms &&
      now < ticket->second.valid_until;
  return is_valid ? ticket->second.text : std::string();
}

// Sends one request at a time, because the policy processes a caller's requests
// in sequence. Minions that had a ticket come first, then those on which the
// task fits, with the most free accelerators first.
void work_core::impl::RequestAdvice(instant now,
                                    const job_entry& job,
                                    const work_unit& unit,
                                    const std::vector<minion_view>& views) {
  if (is_advice_in_flight_) {
    return;
  }
  const step_key step = StepOf(job, unit);
  const step_advice& advice = advice_[step];
  const resource_amounts needs =
      job.accepted.spec.steps.at(unit.step).Reserved();
  std::vector<const minion_view*> candidates;
  for (const minion_view& view : views) {
    const minion_incarnation incarnation{
        view.id, minions_.at(view.id).report.incarnation_unix_ms, ""};
    if (view.is_usable && view.capacity.Holds(needs) &&
        !advice.denied_minions.contains(view.id) &&
        TicketOf(now + kMinTicketValidity, job, unit, incarnation).empty()) {
      candidates.push_back(&view);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const auto rank = [&](const minion_view* view) {
    return std::tuple(!advice.tickets.contains(view->id),
                      !view->free.Holds(needs), -view->free.accelerators);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const minion_view* left, const minion_view* right) {
                     return rank(left) < rank(right);
                   });
  advice_request request{step, {}};
  for (const minion_view* view : candidates) {
    if (request.minions.size() < kMinionsPerRequest) {
      request.minions.push_back(view->id);
    }
  }
  counters_.Add("sched_advice_asked");
  is_advice_in_flight_ = true;
  actions_.advice = std::move(request);
}

void work_core::impl::HandleAdvice(instant now,
                                   const advice_request& request,
                                   const advice_answer& answer) {
  is_advice_in_flight_ = false;
  should_place_ = true;
  if (!answer.is_answered) {
    counters_.Add("sched_advice_not_answered");
    return;
  }
  step_advice& advice = advice_[request.step];
  for (const std::string& id : request.minions) {
    const auto allowed = std::find_if(
        answer.eligible.begin(), answer.eligible.end(),
        [&](const advised_minion& minion) { return minion.id == id; });
    const minion_entry* minion = FindMinion(id);
    if (allowed == answer.eligible.end()) {
      advice.denied_minions.insert(id);
    } else if (minion != nullptr) {
      advice.tickets[id] = {allowed->ticket, minion->report.incarnation_unix_ms,
                            now + answer.ticket_validity};
    }
  }
  LogEvent("advice", request.step.job,
           std::to_string(request.step.occurrence) + "." +
               std::to_string(request.step.step),
           "",
           std::to_string(answer.eligible.size()) + " of " +
               std::to_string(request.minions.size()) + " minions may run it");
}

}  // namespace sassafras::sched

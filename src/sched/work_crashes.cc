#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "src/sched/work_impl.h"

namespace sassafras::sched {
namespace {

// Minimum interval between two comparisons of lives by address.
constexpr duration kLifeCheckInterval = std::chrono::milliseconds(100);

}  // namespace

// Ends the lives of silent minions at whose address a later incarnation has
// answered, under whatever id: an address is served by one process at a time.
// Without this proof, only the end of the lease shows that a run is over.
void work_core::impl::EndSucceededLives(instant now) {
  if (!has_new_answers_ || now < next_life_check_) {
    return;
  }
  has_new_answers_ = false;
  next_life_check_ = now + kLifeCheckInterval;
  std::vector<minion_entry*> silent;
  for (auto& [id, minion] : minions_) {
    if (!minion.members.empty() && !minion.is_responsive &&
        !minion.report.address.empty() &&
        minion.report.incarnation_unix_ms > 0) {
      silent.push_back(&minion);
    }
  }
  if (silent.empty()) {
    return;
  }
  std::map<std::string, std::int64_t> latest_by_address;
  for (const auto& [id, minion] : minions_) {
    if (minion.is_responsive) {
      std::int64_t& latest = latest_by_address[minion.report.address];
      latest = std::max(latest, minion.report.incarnation_unix_ms);
    }
  }
  for (minion_entry* minion : silent) {
    const auto latest = latest_by_address.find(minion->report.address);
    if (latest != latest_by_address.end() &&
        latest->second > minion->report.incarnation_unix_ms) {
      EndLife(now, *minion);
    }
  }
}

// Terminates all runs of a minion that is known to run no more.
void work_core::impl::EndLife(instant now, minion_entry& minion) {
  counters_.Add("sched_lives_succeeded");
  LogEvent("minion_succeeded", "", "", minion.report.id,
           "another life answers at " + minion.report.address);
  const auto select_all = [](const run_key&, const member_ref&) {
    return true;
  };
  for (const run_key& run : RunsWhere(minion, select_all)) {
    const member_ref ref = FindMember(run, minion.report.id);
    if (ref.member != nullptr) {
      HandleTerminatedMember(now, ref, close_cause::kRestarted);
    }
  }
}

}  // namespace sassafras::sched

#include "src/sched/large_tasks.h"

#include <cmath>
#include <cstdint>

namespace sassafras::sched {
namespace {

// Weight of a new gang in the moving average of its queue's needs.
constexpr double kLatestWeight = 0.125;

double Average(double usual, std::int64_t latest) {
  return usual + (static_cast<double>(latest) - usual) * kLatestWeight;
}

// Sum of the parts of a minion's resources that a task takes.
double SizeOf(const resource_amounts& needs, const resource_amounts& capacity) {
  const auto part = [](std::int64_t need, std::int64_t available) {
    return available > 0
               ? static_cast<double>(need) / static_cast<double>(available)
               : 0.0;
  };
  return part(needs.millicores, capacity.millicores) +
         part(needs.memory_mb, capacity.memory_mb) +
         part(needs.accelerators, capacity.accelerators);
}

}  // namespace

resource_amounts large_tasks::mean_needs::Rounded() const {
  return {std::llround(millicores), std::llround(memory_mb),
          std::llround(accelerators)};
}

void large_tasks::OnGang(const std::string& queue,
                         const resource_amounts& needs) {
  const auto [it, is_new] = usual_needs_.try_emplace(queue);
  mean_needs& usual = it->second;
  if (is_new) {
    usual = {static_cast<double>(needs.millicores),
             static_cast<double>(needs.memory_mb),
             static_cast<double>(needs.accelerators)};
    return;
  }
  usual = {Average(usual.millicores, needs.millicores),
           Average(usual.memory_mb, needs.memory_mb),
           Average(usual.accelerators, needs.accelerators)};
}

std::optional<resource_amounts> large_tasks::FindScarce(
    const fleet_view& fleet,
    const resource_amounts& capacity) const {
  resource_amounts largest;
  for (const auto& [queue, usual] : usual_needs_) {
    const resource_amounts needs = usual.Rounded();
    if (SizeOf(needs, capacity) > SizeOf(largest, capacity)) {
      largest = needs;
    }
  }
  const std::int64_t per_minion = CountFitting(capacity, largest);
  if (per_minion < 1 || per_minion > kMaxPerMinion) {
    return std::nullopt;
  }
  std::int64_t rooms = 0;
  std::int64_t free = 0;
  for (const minion_view& minion : fleet.Minions()) {
    if (minion.is_usable) {
      rooms += CountFitting(minion.capacity, largest);
      free += CountFitting(minion.free, largest);
    }
  }
  const bool is_scarce =
      static_cast<double>(free) < kScarceShare * static_cast<double>(rooms);
  return is_scarce ? std::optional(largest) : std::nullopt;
}

}  // namespace sassafras::sched

#include "sassafras/sched/minion_orders.h"

#include <array>

namespace sassafras::sched {

std::string_view GetName(order_outcome outcome) {
  constexpr std::array<std::string_view, 11> kNames = {
      "done",      "fenced",     "no_ticket", "old_run",  "too_late", "no_room",
      "unhealthy", "other_life", "rejected",  "not_sent", "unknown"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace sassafras::sched

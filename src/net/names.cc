#include <array>

#include "sassafras/net/answer.h"
#include "sassafras/net/worker_port.h"

namespace sassafras {

std::string_view GetName(answer_state state) {
  constexpr std::array<std::string_view, 3> kNames = {"done", "not_done",
                                                      "unknown"};
  return kNames.at(static_cast<std::size_t>(state));
}

std::string_view GetName(task_state state) {
  constexpr std::array<std::string_view, 5> kNames = {
      "held", "running", "ended", "failed", "stopped"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace sassafras

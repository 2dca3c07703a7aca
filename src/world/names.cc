#include <array>

#include "sassafras/world/job_class.h"
#include "sassafras/world/shape.h"
#include "sassafras/world/team.h"

namespace sassafras {

std::string_view GetName(shape_level level) {
  constexpr std::array<std::string_view, 3> kNames = {"worker", "rack",
                                                      "place"};
  return kNames.at(static_cast<std::size_t>(level));
}

std::string_view GetName(token_role role) {
  constexpr std::array<std::string_view, 2> kNames = {"caller", "operator"};
  return kNames.at(static_cast<std::size_t>(role));
}

std::string_view GetName(class_kind kind) {
  constexpr std::array<std::string_view, 2> kNames = {"request", "job"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::string_view GetName(urgency value) {
  constexpr std::array<std::string_view, 3> kNames = {"urgent", "normal",
                                                      "batch"};
  return kNames.at(static_cast<std::size_t>(value));
}

std::string_view GetName(member_loss_policy policy) {
  constexpr std::array<std::string_view, 2> kNames = {"requeue", "end"};
  return kNames.at(static_cast<std::size_t>(policy));
}

}  // namespace sassafras

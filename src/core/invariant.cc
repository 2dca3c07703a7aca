#include "sassafras/core/invariant.h"

#include <cstdlib>
#include <iostream>
#include <utility>

namespace sassafras {
namespace {

void AbortWithName(std::string_view name) {
  std::cerr << "invariant violated: " << name << std::endl;
  std::abort();
}

invariant_handler& CurrentHandler() {
  static invariant_handler handler = AbortWithName;
  return handler;
}

}  // namespace

void SetInvariantHandler(invariant_handler handler) {
  CurrentHandler() = std::move(handler);
}

void CheckInvariant(bool holds, std::string_view name) {
  if (!holds) {
    CurrentHandler()(name);
  }
}

}  // namespace sassafras

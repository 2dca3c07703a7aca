#include "sassafras/core/id.h"

#include <algorithm>

namespace sassafras {
namespace {

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsNameCharacter(char c) {
  return IsAlphanumeric(c) || c == '-' || c == '_' || c == '.';
}

}  // namespace

bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) {
    return false;
  }
  return IsAlphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace sassafras

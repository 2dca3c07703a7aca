#include "sassafras/request/slot_shares.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace sassafras {

namespace {

// 64-bit FNV-1a. Unlike std::hash it gives the same value in every build, so
// all gateways compute the same shares.
constexpr std::uint64_t kHashStart = 14695981039346656037ULL;
constexpr std::uint64_t kHashPrime = 1099511628211ULL;

std::uint64_t HashName(const std::string& name) {
  std::uint64_t hash = kHashStart;
  for (const char letter : name) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kHashPrime;
  }
  return hash;
}

}  // namespace

int SlotShare(const minion_id& minion, int slots, int member, int members) {
  if (members <= 0 || member < 0 || member >= members) {
    return 0;
  }
  const int first = static_cast<int>(HashName(minion.value) %
                                     static_cast<std::uint64_t>(members));
  const int offset = (member - first + members) % members;
  return (slots / members) + (offset < slots % members ? 1 : 0);
}

int ConnectionShare(int connections, int gateways) {
  return connections / std::max(1, gateways);
}

}  // namespace sassafras

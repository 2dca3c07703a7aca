#include "programs/entry/entry_peers.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

namespace sassafras {
namespace {

// A peer without the store may reach it again soon; one that is silent is cut
// off or gone.
constexpr duration kRefusedPause = std::chrono::milliseconds(500);
constexpr duration kSilentPause = std::chrono::seconds(3);
// After refusals in a row by more than half of the peers, and at least by so
// many, the store counts as away for all.
constexpr std::size_t kMinRefusalsInARow = 4;
constexpr duration kAllRefusedPause = std::chrono::milliseconds(700);

}  // namespace

void entry_peers::SetPeers(std::set<std::string> addresses) {
  addresses_ = std::move(addresses);
  std::erase_if(avoided_until_, [this](const auto& item) {
    return !addresses_.contains(item.first);
  });
}

std::optional<std::string> entry_peers::Choose(
    instant now,
    const std::set<std::string>& asked) {
  if (now < all_avoided_until_) {
    return std::nullopt;
  }
  std::vector<std::string> candidates;
  for (const std::string& address : addresses_) {
    const auto avoided = avoided_until_.find(address);
    const bool is_avoided =
        avoided != avoided_until_.end() && now < avoided->second;
    if (!is_avoided && !asked.contains(address)) {
      candidates.push_back(address);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> position(0, candidates.size() - 1);
  return candidates[position(random_)];
}

void entry_peers::OnOutcome(instant now,
                            const std::string& address,
                            peer_outcome outcome) {
  switch (outcome) {
    case peer_outcome::kServed:
      avoided_until_.erase(address);
      refusals_in_a_row_ = 0;
      return;
    case peer_outcome::kRefused:
      avoided_until_[address] = now + kRefusedPause;
      if (++refusals_in_a_row_ >=
          std::max(kMinRefusalsInARow, addresses_.size() / 2 + 1)) {
        all_avoided_until_ = now + kAllRefusedPause;
        refusals_in_a_row_ = 0;
      }
      return;
    case peer_outcome::kSilent:
      avoided_until_[address] = now + kSilentPause;
      return;
  }
}

}  // namespace sassafras

#include "sassafras/request/minion_pool.h"

#include <algorithm>
#include <tuple>

#include "sassafras/core/invariant.h"
#include "sassafras/request/slot_shares.h"

namespace sassafras {
namespace {

constexpr int kFailuresToEject = 3;
constexpr int kSuccessesToReinstate = 5;
constexpr int kMaxEjectedPercent = 40;
constexpr int kPercent = 100;
constexpr int kMaxDoublings = 4;
constexpr duration kSuspectDuration = std::chrono::seconds(2);
constexpr duration kEjectBase = std::chrono::seconds(5);
constexpr duration kRefusalDuration = std::chrono::seconds(30);

void SetIfEarlier(std::optional<instant>& first,
                  instant candidate,
                  instant now) {
  if (candidate > now && (!first || candidate < *first)) {
    first = candidate;
  }
}

}  // namespace

void minion_pool::Configure(const target& definition,
                            int gateway_count,
                            instant now) {
  for (auto& [id, item] : minions_) {
    item.is_configured = false;
  }
  for (const minion& configured : definition.minions) {
    minion_state& item = minions_[configured.id];
    const bool starts_leaving =
        (configured.is_leaving || definition.is_leaving) &&
        !item.definition.is_leaving;
    item.definition = configured;
    item.definition.is_leaving = configured.is_leaving || definition.is_leaving;
    item.is_configured = true;
    item.max_connections =
        ConnectionShare(configured.connections, gateway_count);
    if (starts_leaving) {
      addresses_to_close_.push_back(configured.address);
    }
  }
  for (auto it = minions_.begin(); it != minions_.end();) {
    if (it->second.is_configured) {
      ++it;
      continue;
    }
    addresses_to_close_.push_back(it->second.definition.address);
    it = it->second.in_flight == 0 ? minions_.erase(it) : std::next(it);
  }
  SetMembers(member_index_, member_count_, now);
}

int minion_pool::CurrentShare(const minion_state& item, instant now) {
  return now >= item.next_share_from ? item.next_share : item.share;
}

void minion_pool::UpdateShare(minion_state& item, instant now) const {
  const int share = SlotShare(item.definition.id, item.definition.slots,
                              member_index_, member_count_);
  if (share == item.next_share) {
    return;
  }
  item.share = std::min(CurrentShare(item, now), share);
  item.next_share = share;
  item.next_share_from = now + kSlotHandover;
}

void minion_pool::SetMembers(int member_index, int member_count, instant now) {
  member_index_ = member_index;
  member_count_ = member_count;
  for (auto& [id, item] : minions_) {
    UpdateShare(item, now);
  }
}

void minion_pool::SetLeaving(const std::set<minion_id>& leaving) {
  for (auto& [id, item] : minions_) {
    const bool is_leaving = leaving.count(id) > 0;
    if (is_leaving && !item.is_listed_leaving) {
      addresses_to_close_.push_back(item.definition.address);
      counters_.Add("minion_leaving_listed");
    }
    item.is_listed_leaving = is_leaving;
  }
}

void minion_pool::RecordRefusal(const minion_id& minion, instant now) {
  const auto it = minions_.find(minion);
  if (it == minions_.end()) {
    return;
  }
  it->second.refused_until = now + kRefusalDuration;
  addresses_to_close_.push_back(it->second.definition.address);
  counters_.Add("minion_refused_leaving");
}

int minion_pool::OwnSlots(const minion_state& item, instant now) const {
  return std::max(0, CurrentShare(item, now) - loans_.Lent(item.definition.id));
}

bool minion_pool::CanTakeWork(const minion_state& item, instant now) const {
  return item.is_configured && !item.definition.is_leaving &&
         !item.is_listed_leaving && now >= item.refused_until;
}

bool minion_pool::IsOnProbation(const minion_state& item, instant now) const {
  return item.ejections > 0 && now >= item.ejected_until &&
         item.successes_since_ejection < kSuccessesToReinstate;
}

int minion_pool::FreeSlotsOf(const minion_state& item, instant now) const {
  if (member_count_ == 0 || !CanTakeWork(item, now) ||
      now < item.ejected_until) {
    return 0;
  }
  int limit = OwnSlots(item, now) + loans_.Usable(item.definition.id);
  limit = std::min(limit, item.max_connections);
  if (IsOnProbation(item, now)) {
    limit = std::min(limit, 1);
  }
  return std::max(0, limit - item.in_flight);
}

std::optional<minion_id> minion_pool::Choose(const minion_requirements& need,
                                             instant now,
                                             random_engine& random) const {
  std::vector<const minion_state*> best;
  std::tuple<bool, bool, bool, int, bool> best_rank;
  for (const auto& [id, item] : minions_) {
    if (FreeSlotsOf(item, now) <= 0) {
      continue;
    }
    // Urgent and non-idempotent requests go to a minion on probation only if no
    // other untried minion has a free slot.
    const bool is_risky =
        IsOnProbation(item, now) && (need.is_urgent || !need.is_idempotent);
    const std::tuple<bool, bool, bool, int, bool> rank(
        need.avoid.count(id) > 0, is_risky, now < item.suspect_until,
        item.in_flight, item.definition.place != place_);
    if (best.empty() || rank < best_rank) {
      best.clear();
      best_rank = rank;
    }
    if (rank == best_rank) {
      best.push_back(&item);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
  return best[pick(random)]->definition.id;
}

void minion_pool::AcquireSlot(const minion_id& minion) {
  minion_state& item = minions_.at(minion);
  ++item.in_flight;
  ++total_in_flight_;
  CheckInvariant(item.in_flight <= item.max_connections,
                 "request_connection_limit");
}

void minion_pool::ReleaseSlot(const minion_id& minion,
                              send_result outcome,
                              instant now,
                              random_engine& random) {
  const auto it = minions_.find(minion);
  CheckInvariant(it != minions_.end() && it->second.in_flight > 0,
                 "request_slot_accounting");
  if (it == minions_.end()) {
    return;
  }
  minion_state& item = it->second;
  --item.in_flight;
  --total_in_flight_;
  if (outcome == send_result::kSuccess) {
    item.consecutive_failures = 0;
    item.suspect_until = now;
    ++item.successes_since_ejection;
    if (item.ejections > 0 &&
        item.successes_since_ejection >= kSuccessesToReinstate) {
      item.ejections = 0;
      counters_.Add("minion_returned");
    }
  } else if (outcome == send_result::kFailure) {
    RecordFailure(minion, now, random);
  }
  if (!item.is_configured && item.in_flight == 0) {
    minions_.erase(it);
  }
}

void minion_pool::RecordFailure(const minion_id& minion,
                                instant now,
                                random_engine& random) {
  const auto it = minions_.find(minion);
  if (it == minions_.end()) {
    return;
  }
  minion_state& item = it->second;
  ++item.consecutive_failures;
  item.suspect_until = now + kSuspectDuration;
  if (item.consecutive_failures >= kFailuresToEject ||
      IsOnProbation(item, now)) {
    Eject(item, now, random);
  }
}

int minion_pool::CountEjected(instant now) const {
  return static_cast<int>(std::count_if(
      minions_.begin(), minions_.end(),
      [&](const auto& entry) { return now < entry.second.ejected_until; }));
}

void minion_pool::Eject(minion_state& item,
                        instant now,
                        random_engine& random) {
  if (now < item.ejected_until) {
    return;
  }
  const int limit =
      static_cast<int>(minions_.size()) * kMaxEjectedPercent / kPercent;
  if (CountEjected(now) >= limit) {
    counters_.Add("minion_ejection_capped");
    return;
  }
  const duration base =
      kEjectBase * (1 << std::min(item.ejections, kMaxDoublings));
  std::uniform_int_distribution<std::int64_t> wait(base.count(),
                                                   2 * base.count());
  item.ejected_until = now + duration(wait(random));
  ++item.ejections;
  item.successes_since_ejection = 0;
  counters_.Add("minion_ejected");
}

int minion_pool::UsableSlots(instant now) const {
  return FreeSlots(now) + total_in_flight_;
}

int minion_pool::FreeSlots(instant now) const {
  int total = 0;
  for (const auto& [id, item] : minions_) {
    total += FreeSlotsOf(item, now);
  }
  return total;
}

bool minion_pool::HasMinions(instant now) const {
  return std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) {
    return CanTakeWork(entry.second, now);
  });
}

std::vector<minion_id> minion_pool::FreeOwnSlots(int count, instant now) const {
  std::vector<minion_id> slots;
  for (const auto& [id, item] : minions_) {
    if (static_cast<int>(slots.size()) >= count) {
      break;
    }
    if (FreeSlotsOf(item, now) > 0 && OwnSlots(item, now) > item.in_flight &&
        !IsOnProbation(item, now)) {
      slots.push_back(id);
    }
  }
  return slots;
}

void minion_pool::ReleaseSlotAt(const minion_id& minion,
                                instant at,
                                instant now,
                                random_engine& random) {
  RecordFailure(minion, now, random);
  pending_releases_.emplace(at, minion);
}

void minion_pool::Advance(instant now, random_engine& random) {
  while (!pending_releases_.empty() &&
         pending_releases_.begin()->first <= now) {
    const minion_id minion = pending_releases_.begin()->second;
    pending_releases_.erase(pending_releases_.begin());
    ReleaseSlot(minion, send_result::kNeutral, now, random);
  }
  loans_.ReturnExpired(
      [&](const minion_id& minion) {
        const auto it = minions_.find(minion);
        return it == minions_.end()
                   ? 0
                   : it->second.in_flight - OwnSlots(it->second, now);
      },
      now);
}

const std::string& minion_pool::Address(const minion_id& minion) const {
  return minions_.at(minion).definition.address;
}

int minion_pool::InFlight(const minion_id& minion) const {
  const auto it = minions_.find(minion);
  return it == minions_.end() ? 0 : it->second.in_flight;
}

int minion_pool::MaxConnections(const minion_id& minion) const {
  return minions_.at(minion).max_connections;
}

bool minion_pool::IsLeaving(const minion_id& minion, instant now) const {
  const auto it = minions_.find(minion);
  return it == minions_.end() || !CanTakeWork(it->second, now);
}

std::vector<std::string> minion_pool::TakeAddressesToClose() {
  std::vector<std::string> closing = std::move(addresses_to_close_);
  addresses_to_close_.clear();
  return closing;
}

std::optional<instant> minion_pool::NextWake(instant now) const {
  std::optional<instant> first;
  if (!pending_releases_.empty()) {
    first = pending_releases_.begin()->first;
  }
  for (const auto& [id, item] : minions_) {
    SetIfEarlier(first, item.next_share_from, now);
    SetIfEarlier(first, item.ejected_until, now);
    SetIfEarlier(first, item.refused_until, now);
  }
  return first;
}

}  // namespace sassafras

#include "sassafras/request/minion_pool.h"

#include <algorithm>
#include <tuple>

#include "sassafras/core/invariant.h"
#include "sassafras/request/slot_shares.h"

namespace sassafras {
namespace {

constexpr int kBadToEject = 3;
constexpr int kGoodToReturn = 5;
constexpr int kMaxEjectedPercent = 40;
constexpr int kPercent = 100;
constexpr int kMaxDoublings = 4;
constexpr duration kSuspectTime = std::chrono::seconds(2);
constexpr duration kEjectBase = std::chrono::seconds(5);
constexpr duration kRefusalTime = std::chrono::seconds(30);

void Earliest(std::optional<instant>& first, instant candidate, instant now) {
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
        (configured.leaving || definition.leaving) && !item.definition.leaving;
    item.definition = configured;
    item.definition.leaving = configured.leaving || definition.leaving;
    item.is_configured = true;
    item.max_connections =
        ConnectionShare(configured.connections, gateway_count);
    if (starts_leaving) {
      closing_.push_back(configured.address);
    }
  }
  for (auto it = minions_.begin(); it != minions_.end();) {
    if (it->second.is_configured) {
      ++it;
      continue;
    }
    closing_.push_back(it->second.definition.address);
    it = it->second.in_work == 0 ? minions_.erase(it) : std::next(it);
  }
  SetMembers(member_, members_, now);
}

int minion_pool::Share(const minion_state& item, instant now) {
  return now >= item.gain_from ? item.next_share : item.share;
}

void minion_pool::UpdateShare(minion_state& item, instant now) const {
  const int share =
      SlotShare(item.definition.id, item.definition.slots, member_, members_);
  if (share == item.next_share) {
    return;
  }
  item.share = std::min(Share(item, now), share);
  item.next_share = share;
  item.gain_from = now + kSlotHandover;
}

void minion_pool::SetMembers(int member, int members, instant now) {
  member_ = member;
  members_ = members;
  for (auto& [id, item] : minions_) {
    UpdateShare(item, now);
  }
}

void minion_pool::SetLeaving(const std::set<minion_id>& leaving) {
  for (auto& [id, item] : minions_) {
    const bool is_leaving = leaving.count(id) > 0;
    if (is_leaving && !item.is_listed_leaving) {
      closing_.push_back(item.definition.address);
      counters_.Add("minion_leaving_listed");
    }
    item.is_listed_leaving = is_leaving;
  }
}

void minion_pool::NoteRefusal(const minion_id& minion, instant now) {
  const auto it = minions_.find(minion);
  if (it == minions_.end()) {
    return;
  }
  it->second.refused_until = now + kRefusalTime;
  closing_.push_back(it->second.definition.address);
  counters_.Add("minion_refused_leaving");
}

int minion_pool::OwnSlots(const minion_state& item, instant now) const {
  return std::max(0, Share(item, now) - loans_.Lent(item.definition.id));
}

bool minion_pool::MayTakeWork(const minion_state& item, instant now) const {
  return item.is_configured && !item.definition.leaving &&
         !item.is_listed_leaving && now >= item.refused_until;
}

bool minion_pool::IsProbation(const minion_state& item, instant now) const {
  return item.ejections > 0 && now >= item.ejected_until &&
         item.good_since < kGoodToReturn;
}

int minion_pool::Free(const minion_state& item, instant now) const {
  if (members_ == 0 || !MayTakeWork(item, now) || now < item.ejected_until) {
    return 0;
  }
  int limit = OwnSlots(item, now) + loans_.Usable(item.definition.id);
  limit = std::min(limit, item.max_connections);
  if (IsProbation(item, now)) {
    limit = std::min(limit, 1);
  }
  return std::max(0, limit - item.in_work);
}

std::optional<minion_id> minion_pool::Choose(const minion_need& need,
                                             instant now,
                                             random_engine& random) const {
  std::vector<const minion_state*> best;
  std::tuple<bool, bool, bool, int, bool> best_rank;
  for (const auto& [id, item] : minions_) {
    if (Free(item, now) <= 0) {
      continue;
    }
    // A minion on probation gets no work that suffers from its failure.
    const bool is_risky =
        IsProbation(item, now) && (need.is_urgent || !need.is_idempotent);
    const std::tuple<bool, bool, bool, int, bool> rank(
        need.avoid.count(id) > 0, is_risky, now < item.suspect_until,
        item.in_work, item.definition.place != place_);
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

void minion_pool::Start(const minion_id& minion) {
  minion_state& item = minions_.at(minion);
  ++item.in_work;
  ++total_in_work_;
  CheckInvariant(item.in_work <= item.max_connections,
                 "request_connection_limit");
}

void minion_pool::Finish(const minion_id& minion,
                         send_verdict verdict,
                         instant now,
                         random_engine& random) {
  const auto it = minions_.find(minion);
  CheckInvariant(it != minions_.end() && it->second.in_work > 0,
                 "request_slot_accounting");
  if (it == minions_.end()) {
    return;
  }
  minion_state& item = it->second;
  --item.in_work;
  --total_in_work_;
  if (verdict == send_verdict::kGood) {
    item.bad_in_row = 0;
    item.suspect_until = now;
    ++item.good_since;
    if (item.ejections > 0 && item.good_since >= kGoodToReturn) {
      item.ejections = 0;
      counters_.Add("minion_returned");
    }
  } else if (verdict == send_verdict::kBad) {
    NoteBad(minion, now, random);
  }
  if (!item.is_configured && item.in_work == 0) {
    minions_.erase(it);
  }
}

void minion_pool::NoteBad(const minion_id& minion,
                          instant now,
                          random_engine& random) {
  const auto it = minions_.find(minion);
  if (it == minions_.end()) {
    return;
  }
  minion_state& item = it->second;
  ++item.bad_in_row;
  item.suspect_until = now + kSuspectTime;
  if (item.bad_in_row >= kBadToEject || IsProbation(item, now)) {
    Eject(item, now, random);
  }
}

int minion_pool::Ejected(instant now) const {
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
  if (Ejected(now) >= limit) {
    counters_.Add("minion_ejection_capped");
    return;
  }
  const duration base =
      kEjectBase * (1 << std::min(item.ejections, kMaxDoublings));
  std::uniform_int_distribution<std::int64_t> wait(base.count(),
                                                   2 * base.count());
  item.ejected_until = now + duration(wait(random));
  ++item.ejections;
  item.good_since = 0;
  counters_.Add("minion_ejected");
}

int minion_pool::Slots(instant now) const {
  return FreeSlots(now) + total_in_work_;
}

int minion_pool::FreeSlots(instant now) const {
  int total = 0;
  for (const auto& [id, item] : minions_) {
    total += Free(item, now);
  }
  return total;
}

bool minion_pool::HasMinions(instant now) const {
  return std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) {
    return MayTakeWork(entry.second, now);
  });
}

std::vector<minion_id> minion_pool::FreeOwnSlots(int count, instant now) const {
  std::vector<minion_id> slots;
  for (const auto& [id, item] : minions_) {
    if (static_cast<int>(slots.size()) >= count) {
      break;
    }
    if (Free(item, now) > 0 && OwnSlots(item, now) > item.in_work &&
        !IsProbation(item, now)) {
      slots.push_back(id);
    }
  }
  return slots;
}

void minion_pool::FinishLater(const minion_id& minion,
                              instant at,
                              instant now,
                              random_engine& random) {
  NoteBad(minion, now, random);
  lingering_.emplace(at, minion);
}

void minion_pool::Advance(instant now, random_engine& random) {
  while (!lingering_.empty() && lingering_.begin()->first <= now) {
    const minion_id minion = lingering_.begin()->second;
    lingering_.erase(lingering_.begin());
    Finish(minion, send_verdict::kNeutral, now, random);
  }
  loans_.GiveBack(
      [&](const minion_id& minion) {
        const auto it = minions_.find(minion);
        return it == minions_.end()
                   ? 0
                   : it->second.in_work - OwnSlots(it->second, now);
      },
      now);
}

const std::string& minion_pool::Address(const minion_id& minion) const {
  return minions_.at(minion).definition.address;
}

int minion_pool::InWork(const minion_id& minion) const {
  const auto it = minions_.find(minion);
  return it == minions_.end() ? 0 : it->second.in_work;
}

int minion_pool::MaxConnections(const minion_id& minion) const {
  return minions_.at(minion).max_connections;
}

bool minion_pool::IsLeaving(const minion_id& minion, instant now) const {
  const auto it = minions_.find(minion);
  return it == minions_.end() || !MayTakeWork(it->second, now);
}

std::vector<std::string> minion_pool::TakeClosing() {
  std::vector<std::string> closing = std::move(closing_);
  closing_.clear();
  return closing;
}

std::optional<instant> minion_pool::NextWake(instant now) const {
  std::optional<instant> first;
  if (!lingering_.empty()) {
    first = lingering_.begin()->first;
  }
  for (const auto& [id, item] : minions_) {
    Earliest(first, item.gain_from, now);
    Earliest(first, item.ejected_until, now);
    Earliest(first, item.refused_until, now);
  }
  return first;
}

}  // namespace sassafras

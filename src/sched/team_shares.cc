#include "src/sched/team_shares.h"

#include <algorithm>
#include <cmath>

namespace sassafras::sched {

double team_shares::DecayedAmount(const account& entry, instant now) {
  const duration age = std::max(now - entry.at, duration(0));
  return entry.amount * std::exp2(-std::chrono::duration<double>(age) /
                                  std::chrono::duration<double>(kHalfLife));
}

void team_shares::Add(instant now,
                      const std::string& team,
                      double minion_seconds) {
  account& entry = accounts_[team];
  entry = {std::max(DecayedAmount(entry, now) + minion_seconds, 0.0), now};
}

double team_shares::GivenTo(instant now, const std::string& team) const {
  const auto it = accounts_.find(team);
  return it == accounts_.end() ? 0 : DecayedAmount(it->second, now);
}

std::map<std::string, double> team_shares::Accounts(instant now) const {
  std::map<std::string, double> amounts;
  for (const auto& [team, entry] : accounts_) {
    amounts[team] = DecayedAmount(entry, now);
  }
  return amounts;
}

void team_shares::Restore(instant now,
                          const std::map<std::string, double>& accounts) {
  accounts_.clear();
  for (const auto& [team, amount] : accounts) {
    const bool is_sound = std::isfinite(amount) && amount >= 0;
    accounts_[team] = {is_sound ? amount : 0, now};
  }
}

}  // namespace sassafras::sched

#ifndef SASSAFRAS_SRC_SCHED_TEAM_SHARES_H_
#define SASSAFRAS_SRC_SCHED_TEAM_SHARES_H_

#include <chrono>
#include <map>
#include <string>

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// Answers the load in which teams compete at equal priority: accounts of what
/// each team was given lately, in minion-seconds. Amounts decay by half each
/// kHalfLife, so that a burst is paid for within seconds and an idle team saves
/// up nothing.
class team_shares {
 public:
  static constexpr duration kHalfLife = std::chrono::seconds(10);

  /// Adds what a team is given with a run that is placed now; a negative amount
  /// returns what a run that ends early did not use.
  void Add(instant now, const std::string& team, double minion_seconds);

  double GivenTo(instant now, const std::string& team) const;

  /// All accounts, for the next owner of the jobs.
  std::map<std::string, double> Accounts(instant now) const;

  /// Replaces all accounts. Amounts that are not finite or negative count as 0.
  void Restore(instant now, const std::map<std::string, double>& accounts);

 private:
  struct account {
    double amount = 0;
    instant at;
  };

  static double DecayedAmount(const account& entry, instant now);

  std::map<std::string, account> accounts_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_TEAM_SHARES_H_

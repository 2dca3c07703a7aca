#ifndef SASSAFRAS_SCHED_EVACUATIONS_H_
#define SASSAFRAS_SCHED_EVACUATIONS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "sassafras/core/time.h"

namespace sassafras::sched {

/// The operator's request that nothing more be started in a data centre, or the
/// end of that request.
struct evacuation_row {
  std::string place;          ///< Name of the data centre.
  bool is_withdrawn = false;  ///< The request has been taken back.
};

/// The data centres that the operator has evacuated, as known from scans and
/// the change feed of the operator's table. A state machine without I/O. Not
/// safe for concurrent use.
class evacuations {
 public:
  /// Replaces the set by the rows of a complete scan that was sent at `sent`. A
  /// scan older than what is already known is ignored, and does not confirm.
  void OnScan(instant sent,
              std::uint64_t store_version,
              const std::vector<evacuation_row>& rows);

  /// Applies the rows of an answer of the change feed, in order.
  void OnChanges(instant sent,
                 std::uint64_t store_version,
                 const std::vector<evacuation_row>& rows);

  const std::set<std::string>& Places() const { return places_; }

  /// Time at which the set was certainly complete; instant() if never. A
  /// request made later may be missing.
  instant ConfirmedAt() const { return confirmed_at_; }

 private:
  std::set<std::string> places_;
  std::uint64_t store_version_ = 0;
  instant confirmed_at_;
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_EVACUATIONS_H_

#ifndef SASSAFRAS_SRC_SCHED_CLOSE_CAUSE_H_
#define SASSAFRAS_SRC_SCHED_CLOSE_CAUSE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sassafras::sched {

/// Why a run was closed. Each has a counter, "sched_closed_" and its name.
enum class close_cause : std::uint8_t {
  kDone,            ///< Its end was listed as done.
  kFailed,          ///< Its end was listed as failed.
  kEndedOtherwise,  ///< Its end was listed as stopped, broken or alike.
  kCancelled,       ///< By its caller.
  kJobFailed,       ///< Another unit has used up the attempts.
  kEvicted,         ///< For a job that goes first.
  kClaimExpired,    ///< What was evicted for it did not become free.
  kDraining,        ///< Its minion leaves.
  kUpkeep,          ///< Its minion's upkeep is due.
  kRestarted,       ///< Its minion started again.
  kNotListed,       ///< Its minion does not list it any more.
  kLeaseExpired,    ///< Its minion was silent for longer than any lease.
  kStalled,         ///< It made no progress.
  kUnanswered,      ///< Starts of it were not answered.
  kRefused,         ///< Its minion refused a start of it.
  kMinionUnusable,  ///< A chosen minion became unfit before the start.
};

struct close_cause_info {
  std::string_view name;         ///< In metrics.
  std::string_view description;  ///< In logs.
};

inline constexpr std::array<close_cause_info, 16> kCloseCauses = {{
    {"done", "done"},
    {"failed", "failed"},
    {"ended_otherwise", "ended otherwise"},
    {"cancelled", "cancelled by its caller"},
    {"job_failed", "the job has failed"},
    {"evicted", "evicted"},
    {"claim_expired", "claimed room did not become free"},
    {"draining", "its minion is draining"},
    {"upkeep", "its minion's upkeep is due"},
    {"reborn", "its minion was reborn"},
    {"not_listed", "its minion does not list it"},
    {"lapsed", "its lease has run out"},
    {"stood_still", "it stands still"},
    {"unanswered", "start not answered"},
    {"refused", "start refused"},
    {"unfit", "a chosen minion became unfit"},
}};

inline const close_cause_info& GetInfo(close_cause cause) {
  return kCloseCauses.at(static_cast<std::size_t>(cause));
}

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_CLOSE_CAUSE_H_

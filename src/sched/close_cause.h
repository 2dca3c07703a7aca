#ifndef SASSAFRAS_SRC_SCHED_CLOSE_CAUSE_H_
#define SASSAFRAS_SRC_SCHED_CLOSE_CAUSE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sassafras::sched {

/// Why a run was closed. Each cause has a counter, "sched_closed_" plus its
/// name.
enum class close_cause : std::uint8_t {
  kDone,            ///< Its minion listed its end as done.
  kDoneEarlier,     ///< An earlier run of its unit was done.
  kFailed,          ///< Its minion listed its end as failed.
  kEndedOtherwise,  ///< Listed as stopped, broken or similar.
  kCancelled,       ///< Its caller cancelled the job.
  kJobFailed,       ///< Another unit has no attempts left.
  kEvicted,         ///< Its capacity went to another job.
  kClaimExpired,    ///< Runs evicted for it did not end in time.
  kDraining,        ///< Its minion drains.
  kUpkeep,          ///< Its minion's upkeep is due.
  kRestarted,       ///< Its minion restarted, under its id or another.
  kNotListed,       ///< Its minion no longer lists it.
  kLeaseExpired,    ///< Its minion is silent and its lease expired.
  kStalled,         ///< It made no progress.
  kUnanswered,      ///< Its starts were not answered.
  kRefused,         ///< A minion refused its start.
  kMinionUnusable,  ///< A chosen minion became unusable.
  kRecordTooLarge,  ///< It was not started: the record has no room for it.
};

struct close_cause_info {
  std::string_view name;         ///< In metrics.
  std::string_view description;  ///< In logs.
};

inline constexpr std::array<close_cause_info, 18> kCloseCauses = {{
    {"done", "done"},
    {"done_earlier", "an earlier run was done"},
    {"failed", "failed"},
    {"ended_otherwise", "ended as"},
    {"cancelled", "cancelled by its caller"},
    {"job_failed", "the job has failed"},
    {"evicted", "evicted"},
    {"claim_expired", "evicted runs did not free the claimed capacity in time"},
    {"draining", "its minion is draining"},
    {"upkeep", "its minion's upkeep is due"},
    {"reborn", "its minion has restarted"},
    {"not_listed", "its minion no longer lists it"},
    {"lapsed", "its lease has expired"},
    {"stood_still", "it makes no progress"},
    {"unanswered", "its starts were not answered"},
    {"refused", "its start was refused"},
    {"unfit", "a chosen minion became unusable"},
    {"record_too_large", "its job's record has no room for it"},
}};

inline const close_cause_info& GetInfo(close_cause cause) {
  return kCloseCauses.at(static_cast<std::size_t>(cause));
}

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_CLOSE_CAUSE_H_

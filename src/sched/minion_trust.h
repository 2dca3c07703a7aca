#ifndef SASSAFRAS_SRC_SCHED_MINION_TRUST_H_
#define SASSAFRAS_SRC_SCHED_MINION_TRUST_H_

#include <map>
#include <set>
#include <string>

#include "sassafras/core/time.h"
#include "sassafras/sched/job_model.h"

namespace sassafras::sched {

/// What is believed about whether one incarnation of a minion works, from the
/// outcomes and the progress of its runs. Its own report is not evidence: a
/// minion may report well and fail or stall whatever it starts.
class minion_trust {
 public:
  /// A run has progressed or has ended as done.
  void OnProgress(instant now) { progressed_at_ = now; }

  /// A run of `job` has ended. Returns whether the minion should be avoided:
  /// runs of several jobs have failed on it without a success in between. The
  /// failures of one job may be its own fault.
  bool OnEnd(instant now, const std::string& job, run_end outcome);

  /// Adds a sample of a run's speed, relative to its estimate.
  void AddSpeedSample(double speed);
  /// Whether its runs progress much more slowly than estimated.
  bool IsSlow() const;
  void ResetSpeed() { speed_ = 1; }

  /// Keeps tasks off the minion for `base_pause`, doubled with each penalty
  /// since its last success. Returns false, without effect, if it is avoided
  /// already.
  bool Avoid(instant now, duration base_pause);
  bool IsAvoided(instant now) const { return now < avoided_until_; }
  instant AvoidedUntil() const { return avoided_until_; }

  /// Whether no run has succeeded since it was avoided.
  bool IsOnProbation() const { return penalties_ > 0; }

  /// Whether a run has succeeded seconds ago and none has failed since.
  bool HasSucceeded(instant now) const;

  /// Whether a run has progressed so recently that a new one is likely to.
  bool IsProven(instant now) const;

 private:
  double speed_ = 1;  // Moving average of progress over estimate.
  instant progressed_at_;
  instant succeeded_at_;  // Default value: none since the last failure.
  instant avoided_until_;
  std::set<std::string> failed_jobs_;  // Since the last success.
  int penalties_ = 0;
};

/// Detects that runs stall on several minions at about the same time. Answers
/// the load in which a part of the minions hangs: an urgent job that is moved
/// off one of them would meet the next with even odds.
class stall_alert {
 public:
  void OnStall(instant now, const std::string& minion);

  bool IsRaised(instant now) const;

 private:
  std::map<std::string, instant> stalled_at_;  // Last stall, by minion.
};

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SRC_SCHED_MINION_TRUST_H_

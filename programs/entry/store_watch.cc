#include "programs/entry/store_watch.h"

#include <utility>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

// Number of consecutive failures that count as an outage; a single lost answer
// does not. Calls are made at least once per second, so that the second failure
// follows soon.
constexpr int kOutageFailureCount = 2;

bool IsAnswered(const commit_answer& answer) {
  return answer.state == answer_state::kDone ||
         (answer.state == answer_state::kNotDone &&
          answer.reason == error_kind::kConflict);
}

}  // namespace

store_watch::store_watch(std::function<instant()> now, counter_table& counters)
    : now_(std::move(now)), counters_(counters) {}

table_port store_watch::Wrap(table_port port) {
  table_port wrapped;
  wrapped.commit = [this, commit = port.commit](
                       const table_transaction& transaction,
                       const std::function<void(commit_answer)>& done) {
    commit(transaction, [this, done](const commit_answer& answer) {
      RecordOutcome(IsAnswered(answer));
      done(answer);
    });
  };
  wrapped.read = [this, read = port.read](
                     const std::vector<std::string>& keys,
                     const std::function<void(read_answer)>& done) {
    read(keys, [this, done](const read_answer& answer) {
      RecordOutcome(answer.state == answer_state::kDone);
      done(answer);
    });
  };
  wrapped.scan = [this, scan = port.scan](
                     const std::string& prefix, const std::string& after,
                     std::size_t limit,
                     const std::function<void(read_answer)>& done) {
    scan(prefix, after, limit, [this, done](const read_answer& answer) {
      RecordOutcome(answer.state == answer_state::kDone);
      done(answer);
    });
  };
  wrapped.follow = [this, follow = port.follow](
                       const std::string& prefix, std::uint64_t after,
                       duration wait,
                       const std::function<void(follow_answer)>& done) {
    follow(prefix, after, wait, [this, done](const follow_answer& answer) {
      RecordOutcome(answer.state == answer_state::kDone ||
                    answer.is_history_truncated);
      done(answer);
    });
  };
  return wrapped;
}

bool store_watch::IsUnavailable() const {
  const std::lock_guard lock(mutex_);
  return consecutive_failures_ >= kOutageFailureCount;
}

duration store_watch::OutageDuration() const {
  const std::lock_guard lock(mutex_);
  return consecutive_failures_ >= kOutageFailureCount
             ? now_() - first_failure_at_
             : duration(0);
}

void store_watch::RecordOutcome(bool is_answered) {
  int failures = 0;
  int previous_failures = 0;
  {
    const std::lock_guard lock(mutex_);
    previous_failures = consecutive_failures_;
    consecutive_failures_ = is_answered ? 0 : consecutive_failures_ + 1;
    failures = consecutive_failures_;
    if (failures == 1) {
      first_failure_at_ = now_();
    }
  }
  if (failures == kOutageFailureCount) {
    counters_.Add("store_lost");
    LogEvent("store_lost", {});
  } else if (is_answered && previous_failures >= kOutageFailureCount) {
    counters_.Add("store_regained");
    LogEvent("store_regained", {});
  }
}

}  // namespace sassafras

#include "programs/entry/store_watch.h"

#include <utility>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

// One lost answer is no outage; calls go on at least once a second.
constexpr int kFailuresOfOutage = 2;

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
      Note(IsAnswered(answer));
      done(answer);
    });
  };
  wrapped.read = [this, read = port.read](
                     const std::vector<std::string>& keys,
                     const std::function<void(read_answer)>& done) {
    read(keys, [this, done](const read_answer& answer) {
      Note(answer.state == answer_state::kDone);
      done(answer);
    });
  };
  wrapped.scan = [this, scan = port.scan](
                     const std::string& prefix, const std::string& after,
                     std::size_t limit,
                     const std::function<void(read_answer)>& done) {
    scan(prefix, after, limit, [this, done](const read_answer& answer) {
      Note(answer.state == answer_state::kDone);
      done(answer);
    });
  };
  wrapped.follow = [this, follow = port.follow](
                       const std::string& prefix, std::uint64_t after,
                       duration wait,
                       const std::function<void(follow_answer)>& done) {
    follow(prefix, after, wait, [this, done](const follow_answer& answer) {
      Note(answer.state == answer_state::kDone || answer.is_history_gone);
      done(answer);
    });
  };
  return wrapped;
}

bool store_watch::IsAway() const {
  const std::lock_guard lock(mutex_);
  return failures_ >= kFailuresOfOutage;
}

duration store_watch::AwayFor() const {
  const std::lock_guard lock(mutex_);
  return failures_ >= kFailuresOfOutage ? now_() - away_since_ : duration(0);
}

void store_watch::Note(bool is_answered) {
  int failures = 0;
  int before = 0;
  {
    const std::lock_guard lock(mutex_);
    before = failures_;
    failures_ = is_answered ? 0 : failures_ + 1;
    failures = failures_;
    if (failures == 1) {
      away_since_ = now_();
    }
  }
  if (failures == kFailuresOfOutage) {
    counters_.Add("store_lost");
    LogEvent("store_lost", {});
  } else if (is_answered && before >= kFailuresOfOutage) {
    counters_.Add("store_regained");
    LogEvent("store_regained", {});
  }
}

}  // namespace sassafras

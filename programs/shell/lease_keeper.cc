#include "programs/shell/lease_keeper.h"

#include <utility>

namespace sassafras {

std::shared_ptr<lease_keeper> lease_keeper::Make(lease_options options,
                                                 table_port table,
                                                 counter_table& counters,
                                                 hooks hooks) {
  return std::shared_ptr<lease_keeper>(new lease_keeper(
      std::move(options), std::move(table), counters, std::move(hooks)));
}

lease_keeper::lease_keeper(lease_options options,
                           table_port table,
                           counter_table& counters,
                           hooks hooks)
    : key_(options.key),
      table_(std::move(table)),
      hooks_(std::move(hooks)),
      counters_(counters),
      lease_(std::move(options), counters) {}

void lease_keeper::Tick() {
  ReportHolderChange();
  StartNextOperation(read_permission::kAllowed);
}

bool lease_keeper::MayAct() const {
  const std::lock_guard lock(mutex_);
  return lease_.MayAct(hooks_.now());
}

bool lease_keeper::IsHeld() const {
  const std::lock_guard lock(mutex_);
  return lease_.IsHeld();
}

std::uint64_t lease_keeper::Epoch() const {
  const std::lock_guard lock(mutex_);
  return lease_.Epoch();
}

std::string lease_keeper::LastHolder() const {
  const std::lock_guard lock(mutex_);
  return lease_.LastHolder();
}

void lease_keeper::Commit(table_transaction transaction,
                          std::function<void(commit_answer)> done) {
  {
    const std::lock_guard lock(mutex_);
    pending_commits_.push_back({std::move(transaction), std::move(done)});
  }
  StartNextOperation(read_permission::kDeferred);
}

void lease_keeper::Stop(std::function<void()> done) {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    on_stopped_ = std::move(done);
  }
  StartNextOperation(read_permission::kDeferred);
}

// Starts the next operation on the lease row if none is in flight. The order
// is: yield, due read, queued guarded transactions, release. Reads are started
// only by Tick(), so that a failing store is not called again at once.
void lease_keeper::StartNextOperation(read_permission permission) {
  std::unique_lock lock(mutex_);
  if (is_operation_in_flight_) {
    return;
  }
  const instant now = hooks_.now();
  if (!is_stopping_ && lease_.ShouldYield()) {
    is_operation_in_flight_ = true;
    lock.unlock();
    SendYield(now);
    return;
  }
  if (permission == read_permission::kAllowed && !is_stopping_ &&
      lease_.IsReadDue(now)) {
    is_operation_in_flight_ = true;
    const bool can_renew = lease_.CanRenewUnread(now);
    lock.unlock();
    if (can_renew) {
      counters_.Add("lease_renewed_after_expiry");
      SendGuardedCommit(now, {{}, [](const commit_answer& /*answer*/) {}});
    } else {
      SendRead(now);
    }
    return;
  }
  if (!pending_commits_.empty()) {
    guarded_commit commit = std::move(pending_commits_.front());
    pending_commits_.pop_front();
    if (!lease_.MayAct(now)) {
      lock.unlock();
      commit.done({answer_state::kNotDone, error_kind::kLeaseLost, {}});
      StartNextOperation(read_permission::kDeferred);
      return;
    }
    is_operation_in_flight_ = true;
    lock.unlock();
    SendGuardedCommit(now, std::move(commit));
    return;
  }
  if (is_stopping_ && on_stopped_) {
    is_operation_in_flight_ = true;
    lock.unlock();
    SendRelease();
  }
}

void lease_keeper::SendRead(instant sent) {
  table_.read({key_}, [self = shared_from_this(), sent](read_answer answer) {
    std::optional<table_write> write;
    instant now;
    {
      const std::lock_guard lock(self->mutex_);
      now = self->hooks_.now();
      if (answer.state == answer_state::kDone && answer.rows.size() == 1) {
        write = self->lease_.OnRow(sent, now, answer.rows.front());
      }
      self->is_operation_in_flight_ = write.has_value();
    }
    if (write) {
      self->SendWrite(now, std::move(*write));
      return;
    }
    self->ReportHolderChange();
    self->StartNextOperation(read_permission::kDeferred);
  });
}

void lease_keeper::SendWrite(instant sent, table_write write) {
  table_.commit({std::move(write)},
                [self = shared_from_this(), sent](const commit_answer& answer) {
                  {
                    const std::lock_guard lock(self->mutex_);
                    self->lease_.OnCommit(sent, self->hooks_.now(), answer);
                    self->is_operation_in_flight_ = false;
                  }
                  self->ReportHolderChange();
                  self->StartNextOperation(read_permission::kDeferred);
                });
}

void lease_keeper::SendGuardedCommit(instant sent, guarded_commit commit) {
  table_transaction transaction = commit.transaction;
  {
    const std::lock_guard lock(mutex_);
    if (auto guard = lease_.Guard(sent)) {
      transaction.push_back(std::move(*guard));
    }
  }
  table_.commit(std::move(transaction),
                [self = shared_from_this(), sent,
                 commit = std::move(commit)](commit_answer answer) mutable {
                  bool should_retry = false;
                  const auto done = commit.done;
                  {
                    const std::lock_guard lock(self->mutex_);
                    const instant now = self->hooks_.now();
                    self->lease_.OnGuarded(sent, now, answer);
                    should_retry = self->NeedsRetry(answer, now);
                    if (should_retry) {
                      self->pending_commits_.push_front(std::move(commit));
                    }
                    self->is_operation_in_flight_ = false;
                  }
                  if (!should_retry) {
                    done(std::move(answer));
                  }
                  self->ReportHolderChange();
                  self->StartNextOperation(read_permission::kDeferred);
                });
}

// Whether the transaction failed only because its guard was out of date, which
// happens after an earlier answer was lost.
bool lease_keeper::NeedsRetry(const commit_answer& answer, instant now) const {
  return answer.state == answer_state::kNotDone &&
         answer.reason == error_kind::kConflict && answer.rows.size() == 1 &&
         answer.rows.front().key == key_ && lease_.MayAct(now);
}

void lease_keeper::SendRelease() {
  std::optional<table_write> write;
  std::function<void()> done;
  {
    const std::lock_guard lock(mutex_);
    write = lease_.Release(hooks_.now());
    done = std::exchange(on_stopped_, nullptr);
    is_operation_in_flight_ = write.has_value();
  }
  if (!write) {
    done();
    return;
  }
  table_.commit({std::move(*write)},
                [self = shared_from_this(),
                 done = std::move(done)](const commit_answer& /*answer*/) {
                  {
                    const std::lock_guard lock(self->mutex_);
                    self->is_operation_in_flight_ = false;
                  }
                  done();
                });
}

// Reports the loss before the write that releases the lease, since this process
// must not act once another may.
void lease_keeper::SendYield(instant sent) {
  std::optional<table_write> write;
  {
    const std::lock_guard lock(mutex_);
    write = lease_.Yield(sent);
  }
  counters_.Add("lease_yielded");
  ReportHolderChange();
  table_.commit({std::move(*write)},
                [self = shared_from_this()](const commit_answer& /*answer*/) {
                  {
                    const std::lock_guard lock(self->mutex_);
                    self->is_operation_in_flight_ = false;
                  }
                  self->StartNextOperation(read_permission::kDeferred);
                });
}

// Calls the hooks on_gained and on_lost, once per change.
void lease_keeper::ReportHolderChange() {
  bool is_held = false;
  std::uint64_t epoch = 0;
  {
    const std::lock_guard lock(mutex_);
    is_held = lease_.MayAct(hooks_.now());
    if (is_held == was_reported_held_) {
      return;
    }
    was_reported_held_ = is_held;
    epoch = lease_.Epoch();
  }
  if (is_held) {
    hooks_.on_gained(epoch);
  } else {
    hooks_.on_lost();
  }
}

}  // namespace sassafras

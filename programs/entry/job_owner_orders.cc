#include "programs/entry/job_owner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

// Interval at which the core checks time-outs and due times.
constexpr duration kDecisionInterval = 50ms;

}  // namespace

void job_owner::UpdateCore(
    std::uint64_t tenure,
    const std::function<void(sched::work_core&, instant)>& update) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    update(*core_, hooks_.now());
  }
  ScheduleDecision(kDecisionBatchDelay);
}

void job_owner::ScheduleDecision(duration delay) {
  duration pause{0};
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || is_decision_scheduled_) {
      return;
    }
    is_decision_scheduled_ = true;
    pause = pace_.RemainingPause(hooks_.now());
  }
  hooks_.after(std::max(delay, pause), [weak = weak_from_this()] {
    if (const auto alive = weak.lock()) {
      alive->DecideNow();
    }
  });
}

// Schedules a decision every kDecisionInterval while the tenure lasts, for
// time-outs and due times, which no event announces.
void job_owner::ScheduleTimedDecisions() {
  std::uint64_t tenure = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!core_) {
      return;
    }
    tenure = tenure_;
  }
  hooks_.after(kDecisionInterval, [weak = weak_from_this(), tenure] {
    const auto alive = weak.lock();
    if (!alive) {
      return;
    }
    {
      const std::lock_guard lock(alive->mutex_);
      if (!alive->core_ || alive->tenure_ != tenure) {
        return;
      }
    }
    alive->ScheduleDecision(duration(0));
    alive->ScheduleTimedDecisions();
  });
}

void job_owner::DecideNow() {
  const instant began = hooks_.now();
  const sched::evacuations evacuated = hooks_.evacuations();
  sched::work_actions actions;
  std::uint64_t tenure = 0;
  {
    const std::lock_guard lock(mutex_);
    is_decision_scheduled_ = false;
    if (!core_ || !is_owner_ || !are_jobs_loaded_) {
      return;
    }
    tenure = tenure_;
    core_->OnEvacuations(evacuated);
    actions = core_->Decide(began, hooks_.wall_unix_ms());
  }
  ExecuteActions(tenure, std::move(actions));
  const std::lock_guard lock(mutex_);
  if (settings_.policy.pace_decisions) {
    pace_.RecordDecision(began, hooks_.now());
  }
}

// Sends the orders and the commit of one decision. The lease is checked before
// each order, since the process may have been suspended after the decision.
void job_owner::ExecuteActions(std::uint64_t tenure,
                               sched::work_actions actions) {
  for (const sched::log_event& entry : actions.log_events) {
    LogDecision(
        entry.event,
        {{"job", entry.job},
         {"task", entry.task},
         {"minion", entry.minion},
         {"detail", entry.detail}},
        entry.is_routine ? line_weight::kRoutine : line_weight::kNormal);
  }
  RecordTakeoverTimes(actions);
  for (sched::start_order& order : actions.starts) {
    SendStart(tenure, std::move(order));
  }
  for (sched::stop_order& order : actions.stops) {
    SendStop(tenure, std::move(order));
  }
  for (sched::poll_order& order : actions.polls) {
    SendPoll(tenure, std::move(order));
  }
  for (sched::pace_order& order : actions.paces) {
    SendPace(tenure, std::move(order));
  }
  if (actions.advice) {
    SendAdvice(tenure, std::move(*actions.advice));
  }
  if (actions.commit) {
    const instant sent = hooks_.now();
    {
      const std::lock_guard lock(mutex_);
      last_commit_at_ = sent;
    }
    lease_->Commit(
        std::move(*actions.commit),
        [self = shared_from_this(), tenure, sent](const commit_answer& answer) {
          self->metrics_.Observe("owner_commit", GetName(answer.state),
                                 self->hooks_.now() - sent);
          self->UpdateCore(tenure, [&](sched::work_core& core, instant now) {
            core.OnCommit(now, answer);
          });
        });
  }
}

// Records, once per tenure, the time from the gain of ownership to the first
// poll of a minion and to the first start of a run.
void job_owner::RecordTakeoverTimes(const sched::work_actions& actions) {
  const std::lock_guard lock(mutex_);
  const auto record_once = [&](bool is_present, bool& is_recorded,
                               std::string_view event) {
    if (!is_present || is_recorded) {
      return;
    }
    is_recorded = true;
    const duration passed = hooks_.now() - gained_at_;
    metrics_.Observe("owner_takeover", event, passed);
    LogEvent(event,
             {{"since_gained_ms", std::to_string(passed.count() / 1000)}});
  };
  record_once(!actions.polls.empty(), has_sent_poll_, "first_look");
  record_once(!actions.starts.empty(), has_sent_start_, "first_start");
}

void job_owner::SendStart(std::uint64_t tenure, sched::start_order order) {
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::order_answer answer) {
    self->UpdateCore(tenure, [&](sched::work_core& core, instant now) {
      core.OnStarted(now, order, answer);
    });
  };
  if (!lease_->MayAct()) {
    done({sched::order_outcome::kNotSent});
    return;
  }
  adapter_.orders.start(std::move(order), done);
}

void job_owner::SendStop(std::uint64_t tenure, sched::stop_order order) {
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::order_answer answer) {
    self->UpdateCore(tenure, [&](sched::work_core& core, instant now) {
      core.OnStopped(now, order, answer);
    });
  };
  if (!lease_->MayAct()) {
    done({sched::order_outcome::kNotSent});
    return;
  }
  adapter_.orders.stop(std::move(order), done);
}

void job_owner::SendPace(std::uint64_t tenure, sched::pace_order order) {
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::order_answer answer) {
    self->UpdateCore(tenure, [&](sched::work_core& core, instant /*now*/) {
      core.OnPaced(order, answer);
    });
  };
  if (!lease_->MayAct()) {
    done({sched::order_outcome::kNotSent});
    return;
  }
  adapter_.orders.pace(std::move(order), done);
}

void job_owner::SendAdvice(std::uint64_t tenure,
                           sched::advice_request request) {
  const auto done = [self = shared_from_this(), tenure,
                     request](const sched::advice_answer& answer) {
    self->UpdateCore(tenure, [&](sched::work_core& core, instant now) {
      core.OnAdvice(now, request, answer);
    });
  };
  if (!adapter_.orders.advise) {
    LogEvent("advice_not_configured", {{"job", request.step.job}});
    done({});
    return;
  }
  adapter_.orders.advise(std::move(request), done);
}

void job_owner::SendPoll(std::uint64_t tenure, sched::poll_order order) {
  const instant sent = hooks_.now();
  const auto done = [self = shared_from_this(), tenure, sent,
                     order](const sched::poll_answer& answer) {
    self->UpdateCore(tenure, [&](sched::work_core& core, instant now) {
      core.OnPolled(now, sent, order, answer);
    });
  };
  if (!lease_->MayAct()) {
    sched::poll_answer refused;
    refused.outcome = sched::order_outcome::kNotSent;
    done(refused);
    return;
  }
  adapter_.orders.poll(std::move(order), done);
}

}  // namespace sassafras

#include "programs/scheduler/job_scheduler.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "sassafras/core/digest.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

constexpr duration kGaugeInterval = std::chrono::seconds(1);
constexpr std::string_view kStatusPath = "/v1/scheduler";

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string NewIncarnation() {
  std::random_device device;
  return Sha256Hex(std::to_string(device()) + std::to_string(device()) +
                   std::to_string(device()));
}

lease_options LeaseOptions(const process_settings& settings) {
  lease_options options;
  options.key = "lease/jobs";
  options.holder = settings.id;
  options.incarnation = NewIncarnation();
  options.term = settings.lease_time;
  return options;
}

template <class Id>
nlohmann::json NamesOf(const std::vector<Id>& ids) {
  nlohmann::json list = nlohmann::json::array();
  for (const Id& id : ids) {
    list.push_back(id.value);
  }
  return list;
}

}  // namespace

job_scheduler::job_scheduler(node& owner)
    : node_(owner), core_({}, owner.Counters()) {
  lease_keeper::hooks hooks;
  hooks.now = [] { return Now(); };
  hooks.on_gained = [](std::uint64_t epoch) {
    LogEvent("jobs_owned", {{"epoch", std::to_string(epoch)}});
  };
  hooks.on_lost = [] { LogEvent("jobs_given_up", {}); };
  keeper_ = lease_keeper::Make(LeaseOptions(node_.Settings()), node_.Table(),
                               node_.Counters(), std::move(hooks));
}

void job_scheduler::Start() {
  node_.Every(lease_keeper::kTickInterval, [this] {
    keeper_->Tick();
    Dispatch(job::tick{});
  });
  node_.Every(kGaugeInterval, [this] { UpdateGauges(); });
}

void job_scheduler::OnConfig(const config_ptr& config) {
  Dispatch(job::config_changed{config});
}

void job_scheduler::Stop(std::function<void()> done) {
  keeper_->Stop(std::move(done));
}

job::job_ownership job_scheduler::Ownership() const {
  job::job_ownership ownership;
  ownership.may_act = keeper_->MayAct();
  ownership.epoch = keeper_->Epoch();
  const std::string holder = keeper_->LastHolder();
  // A holder that died is replaced within a term, as long as the store is
  // there.
  ownership.is_other_alive = !ownership.may_act && !holder.empty() &&
                             holder != node_.Settings().id.value &&
                             is_store_answering_.load();
  return ownership;
}

void job_scheduler::Dispatch(const job::job_event& event) {
  std::vector<job::job_action> actions;
  {
    const std::lock_guard lock(mutex_);
    actions = core_.Handle(Now(), Ownership(), event);
  }
  for (job::job_action& action : actions) {
    std::visit([this](auto& one) { Carry(std::move(one)); }, action);
  }
}

void job_scheduler::Carry(job::scan_rows action) {
  node_.Table().scan(
      std::move(action.prefix), std::move(action.after), action.limit,
      [this, scan = action.scan](read_answer answer) {
        is_store_answering_ = answer.state == answer_state::kDone;
        Dispatch(job::rows_scanned{scan, WallMs(), std::move(answer)});
      });
}

void job_scheduler::Carry(job::read_rows action) {
  node_.Table().read(
      std::move(action.keys), [this, read = action.read](read_answer answer) {
        Dispatch(job::rows_read{read, WallMs(), std::move(answer)});
      });
}

void job_scheduler::Carry(job::commit_rows action) {
  keeper_->Commit(std::move(action.transaction),
                  [this, commit = action.commit](commit_answer answer) {
                    Dispatch(job::rows_committed{commit, std::move(answer)});
                  });
}

std::function<void(task_answer)> job_scheduler::OnTask(job::task_call call,
                                                       const worker_id& worker,
                                                       const task_id& task) {
  return [this, call, worker, task](task_answer answer) {
    Dispatch(job::task_answered{call, worker, task, std::move(answer)});
  };
}

// The process may have been paused since the decision.
bool job_scheduler::RefuseUnlessOwner(job::task_call call,
                                      const worker_id& worker,
                                      const task_id& task) {
  if (keeper_->MayAct()) {
    return false;
  }
  node_.Counters().AddError(error_kind::kLeaseLost);
  OnTask(call, worker, task)({answer_state::kNotDone, {}});
  return true;
}

void job_scheduler::Carry(job::start_task action) {
  const task_id task = action.start.task;
  if (RefuseUnlessOwner(job::task_call::kStart, action.worker, task)) {
    return;
  }
  node_.Workers().start(std::move(action.address), std::move(action.start),
                        OnTask(job::task_call::kStart, action.worker, task));
}

void job_scheduler::Carry(job::throttle_task action) {
  if (RefuseUnlessOwner(job::task_call::kThrottle, action.worker,
                        action.task)) {
    return;
  }
  node_.Workers().throttle(
      std::move(action.address), action.task, action.throttle_percent,
      OnTask(job::task_call::kThrottle, action.worker, action.task));
}

void job_scheduler::Carry(job::checkpoint_task action) {
  if (RefuseUnlessOwner(job::task_call::kCheckpoint, action.worker,
                        action.task)) {
    return;
  }
  node_.Workers().checkpoint(
      std::move(action.address), action.task,
      OnTask(job::task_call::kCheckpoint, action.worker, action.task));
}

void job_scheduler::Carry(job::stop_task action) {
  if (RefuseUnlessOwner(job::task_call::kStop, action.worker, action.task)) {
    return;
  }
  node_.Workers().stop(
      std::move(action.address), action.task,
      OnTask(job::task_call::kStop, action.worker, action.task));
}

void job_scheduler::Carry(job::renew_tasks action) {
  node_.Workers().renew(
      std::move(action.address), std::move(action.tasks), action.lease,
      [this, worker = action.worker, sent = action.sent](report_answer answer) {
        Dispatch(job::tasks_renewed{worker, sent, std::move(answer)});
      });
}

void job_scheduler::Carry(job::list_tasks action) {
  node_.Workers().report(
      std::move(action.address),
      [this, worker = action.worker, sent = action.sent](report_answer answer) {
        Dispatch(job::tasks_listed{worker, sent, std::move(answer)});
      });
}

void job_scheduler::Carry(job::state_changed action) {
  LogEvent("job_state", {{"subject", action.subject},
                         {"state", action.state},
                         {"reason", action.reason}});
}

void job_scheduler::UpdateGauges() {
  const std::lock_guard lock(mutex_);
  for (const job_state state : {job_state::kWaiting, job_state::kPlacing,
                                job_state::kRunning, job_state::kStopping}) {
    node_.Metrics().Set("jobs_now_" + std::string(GetName(state)),
                        static_cast<double>(core_.Count(state)));
  }
  node_.Metrics().Set("jobs_owner", core_.IsReady() ? 1 : 0);
  node_.Metrics().Set("workers_quarantined_now",
                      static_cast<double>(core_.Quarantined().size()));
  if (core_.IsReady()) {
    node_.Metrics().Set("guarantees_broken_teams",
                        static_cast<double>(core_.BrokenGuarantees().size()));
  }
}

void job_scheduler::Handle(http_exchange exchange) {
  if (exchange.request.path != kStatusPath) {
    node_.Counters().AddError(error_kind::kNotFound);
    exchange.reply(
        ErrorResponse(Fail(error_kind::kNotFound, exchange.request.path)));
    return;
  }
  nlohmann::json body;
  {
    const std::lock_guard lock(mutex_);
    body = {{"owner", core_.IsReady()},
            {"holder", keeper_->LastHolder()},
            {"waiting", core_.Count(job_state::kWaiting)},
            {"placing", core_.Count(job_state::kPlacing)},
            {"running", core_.Count(job_state::kRunning)},
            {"stopping", core_.Count(job_state::kStopping)},
            {"quarantined", NamesOf(core_.Quarantined())},
            {"broken_guarantees", NamesOf(core_.BrokenGuarantees())}};
  }
  exchange.reply({200, {}, "application/json", body.dump()});
}

}  // namespace sassafras

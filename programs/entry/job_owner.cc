#include "programs/entry/job_owner.h"

#include <chrono>
#include <random>
#include <utility>

#include "sassafras/sched/job_codec.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

constexpr char kLeaseKey[] = "lease/jobs";
// Time without an owner after a crash against calls to the store: each
// contender reads the lease three times a term.
constexpr duration kLeaseTerm = 800ms;
constexpr duration kLeaseMargin = 200ms;
// While the store answers slowly. Bounds how long a crash of the owner can go
// unnoticed then.
constexpr duration kGreatestLeaseTerm = 4s;
// The owner's decisions need a tenth of a core at 350 minions; VMs with less
// than twice that leave the ownership to others for a while.
constexpr double kSmallShare = 0.2;
constexpr duration kSmallDelay = 700ms;
// The owner renews this often where no record is written meanwhile.
constexpr duration kRenewInterval = 200ms;
// Events that come together are decided on together.
constexpr duration kDecisionDelay = 2ms;
// The core looks at time-outs and due times so often.
constexpr duration kDecisionInterval = 50ms;
// A leaving minion must get no task after 2 s.
constexpr duration kListInterval = 600ms;
constexpr duration kFeedWait = 2s;
constexpr duration kRetryPause = 100ms;
// Counts of waiting jobs may be 2 s old.
constexpr duration kWaitingInterval = 700ms;
constexpr duration kExpiryInterval = 10s;
constexpr duration kUpkeepInterval = 100ms;
// Readings of the list of machines are rated for all processes together.
constexpr duration kMachineListInterval = 500ms;
constexpr std::size_t kPageRows = 500;
constexpr std::size_t kMaxErasedPerCommit = 30;
// Fences of one epoch: each time that ownership was lost and regained
// without another owner between has its own.
constexpr std::uint64_t kFencesPerEpoch = 1000;

std::string MakeIncarnation() {
  std::random_device random;
  return std::to_string((std::uint64_t{random()} << 32U) | random());
}

sched::work_options OptionsOf(const entry_settings& settings) {
  sched::work_options options;
  options.greatest_lease = settings.greatest_lease;
  options.stop_time = settings.stop_time;
  options.gang_timeout = settings.gang_timeout;
  options.state_retention = settings.state_time * 5 / 4;
  return options;
}

}  // namespace

std::shared_ptr<job_owner> job_owner::Make(const outside& world,
                                           const table_port& table,
                                           const entry_settings& settings,
                                           counter_table& counters,
                                           metrics& measured,
                                           hooks program) {
  return std::shared_ptr<job_owner>(new job_owner(
      world, table, settings, counters, measured, std::move(program)));
}

job_owner::job_owner(const outside& world,
                     const table_port& table,
                     const entry_settings& settings,
                     counter_table& counters,
                     metrics& measured,
                     hooks program)
    : world_(world),
      table_(table),
      settings_(settings),
      counters_(counters),
      measured_(measured),
      program_(std::move(program)) {}

void job_owner::Start() {
  lease_options options;
  options.key = kLeaseKey;
  options.holder = settings_.id;
  options.incarnation = MakeIncarnation();
  options.term = kLeaseTerm;
  options.greatest_term = kGreatestLeaseTerm;
  options.is_id_exclusive = true;
  if (settings_.processor_share < kSmallShare) {
    options.take_delay = kSmallDelay;
  }
  options.margin = kLeaseMargin;
  const std::weak_ptr<job_owner> weak = weak_from_this();
  lease_keeper::hooks hooks;
  hooks.now = program_.now;
  hooks.on_gained = [weak](std::uint64_t epoch) {
    if (const auto alive = weak.lock()) {
      alive->OnGained(epoch);
    }
  };
  hooks.on_lost = [weak] {
    if (const auto alive = weak.lock()) {
      alive->OnLost();
    }
  };
  lease_ = lease_keeper::Make(std::move(options), table_, counters_,
                              std::move(hooks));
  Tick();
}

void job_owner::Tick() {
  lease_->Tick();
  Renew();
  program_.after(lease_keeper::kTickInterval, [weak = weak_from_this()] {
    if (const auto alive = weak.lock()) {
      alive->Tick();
    }
  });
}

// A guarded commit renews the lease in one call, where reading and renewing
// takes two.
void job_owner::Renew() {
  {
    const std::lock_guard lock(mutex_);
    if (!holds_ || is_renewal_out_ ||
        program_.now() < last_commit_ + kRenewInterval) {
      return;
    }
    is_renewal_out_ = true;
    last_commit_ = program_.now();
  }
  lease_->Commit({}, [self = shared_from_this()](const commit_answer&) {
    const std::lock_guard lock(self->mutex_);
    self->is_renewal_out_ = false;
  });
}

void job_owner::OnConfig(sched::service_config_ptr config) {
  std::uint64_t tenure = 0;
  {
    const std::lock_guard lock(mutex_);
    config_ = config;
    tenure = tenure_;
  }
  Change(tenure, [&](sched::work_core& core, instant /*now*/) {
    core.OnConfig(config);
  });
}

void job_owner::OnOperatorRow(const table_row& row) {
  const auto wave = world_.decode_wave(row);
  if (!wave) {
    counters_.Add("operator_row_unknown");
    return;
  }
  const std::lock_guard lock(mutex_);
  waves_[wave->number] = *wave;
  if (upkeep_) {
    upkeep_->OnWave(program_.now(), *wave);
  }
}

void job_owner::Stop(std::function<void()> done) {
  OnLost();
  lease_->Stop(std::move(done));
}

bool job_owner::IsOwner() const {
  const std::lock_guard lock(mutex_);
  return holds_;
}

std::string job_owner::LastOwner() const {
  return lease_ ? lease_->LastHolder() : std::string();
}

std::string job_owner::Explain(const std::string& job) const {
  const std::lock_guard lock(mutex_);
  return core_ ? core_->Explain(job) : std::string();
}

std::vector<sched::minion_status> job_owner::Minions() const {
  const std::lock_guard lock(mutex_);
  return core_ ? core_->Minions() : std::vector<sched::minion_status>();
}

void job_owner::OnGained(std::uint64_t epoch) {
  std::uint64_t tenure = 0;
  std::uint64_t fence = 0;
  {
    const std::lock_guard lock(mutex_);
    tenure = ++tenure_;
    holds_ = true;
    fence = epoch * kFencesPerEpoch + tenure % kFencesPerEpoch;
    core_ = std::make_unique<sched::work_core>(OptionsOf(settings_), fence,
                                               program_.now(), counters_);
    waiting_written_.clear();
    upkeep_ = std::make_unique<sched::upkeep_core>(settings_.id.value, fence,
                                                   counters_);
    for (const auto& [number, wave] : waves_) {
      upkeep_->OnWave(program_.now(), wave);
    }
  }
  counters_.Add("ownership_gained");
  RepeatDecision();
  LogEvent("ownership_gained", {{"epoch", std::to_string(epoch)},
                                {"fence", std::to_string(fence)}});
  Load(tenure, std::make_shared<loaded_rows>());
}

void job_owner::OnLost() {
  {
    const std::lock_guard lock(mutex_);
    if (!holds_) {
      return;
    }
    holds_ = false;
    core_.reset();
    upkeep_.reset();
  }
  counters_.Add("ownership_lost");
  LogEvent("ownership_lost", {});
}

// The version to follow from is taken before the rows, so that no change
// between is missed.
void job_owner::Load(std::uint64_t tenure, std::shared_ptr<loaded_rows> rows) {
  LoadPage(tenure, rows, sched::kRecordTable, &loaded_rows::records);
}

void job_owner::LoadPage(std::uint64_t tenure,
                         std::shared_ptr<loaded_rows> rows,
                         std::string prefix,
                         std::vector<table_row> loaded_rows::*into) {
  std::vector<table_row>& page = (*rows).*into;
  const std::string after = page.empty() ? std::string() : page.back().key;
  table_.scan(
      prefix, after, kPageRows,
      [self = shared_from_this(), tenure, rows, prefix,
       into](const read_answer& answer) {
        {
          const std::lock_guard lock(self->mutex_);
          if (!self->holds_ || self->tenure_ != tenure) {
            return;
          }
        }
        if (answer.state != answer_state::kDone) {
          self->counters_.Add("owner_load_failed");
          self->program_.after(kRetryPause, [self, tenure, rows, prefix, into] {
            self->LoadPage(tenure, rows, prefix, into);
          });
          return;
        }
        if (rows->from_version == 0) {
          rows->from_version = answer.store_version;
        }
        std::vector<table_row>& loaded = (*rows).*into;
        loaded.insert(loaded.end(), answer.rows.begin(), answer.rows.end());
        if (answer.has_more) {
          self->LoadPage(tenure, rows, prefix, into);
        } else if (into == &loaded_rows::records) {
          self->LoadPage(tenure, rows, sched::kJobTable, &loaded_rows::jobs);
        } else {
          self->BeginWork(tenure, *rows);
        }
      });
}

void job_owner::BeginWork(std::uint64_t tenure, const loaded_rows& rows) {
  std::map<std::string, const table_row*> records;
  for (const table_row& row : rows.records) {
    records[row.key] = &row;
  }
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    core_->OnConfig(config_);
    for (const table_row& row : rows.jobs) {
      TakeRow(row, records);
    }
  }
  LogEvent("jobs_loaded", {{"jobs", std::to_string(rows.jobs.size())},
                           {"records", std::to_string(rows.records.size())},
                           {"version", std::to_string(rows.from_version)}});
  FollowJobs(tenure, rows.from_version);
  ListMinions(tenure);
  PublishWaiting(tenure);
  DropExpired(tenure);
  if (world_.machines.list) {
    DecideUpkeep(tenure);
  }
  ScheduleDecision(kDecisionDelay);
}

// Called with the lock held.
void job_owner::TakeRow(
    const table_row& row,
    const std::map<std::string, const table_row*>& records) {
  if (row.is_erased) {
    return;
  }
  const instant now = program_.now();
  const std::string cancelled = sched::CancelledId(row.key);
  if (!cancelled.empty()) {
    core_->OnCancel(now, cancelled, row.version);
    return;
  }
  const auto decoded = sched::DecodeJobRow(row.value);
  if (!decoded) {
    counters_.Add("job_row_malformed");
    LogEvent("job_row_malformed",
             {{"key", row.key}, {"detail", decoded.error().detail}});
    return;
  }
  if (decoded.value().is_refusal) {
    return;
  }
  const sched::accepted_job& job = decoded.value().job;
  const auto it = records.find(sched::kRecordTable + job.id);
  if (it == records.end()) {
    core_->OnJob(now, job, row.version, std::nullopt, 0);
    return;
  }
  const auto record = sched::DecodeRecord(it->second->value);
  if (!record) {
    counters_.Add("record_malformed");
    LogEvent("record_malformed",
             {{"job", job.id}, {"detail", record.error().detail}});
    return;
  }
  core_->OnJob(now, job, row.version, record.value(), it->second->version);
}

void job_owner::FollowJobs(std::uint64_t tenure, std::uint64_t after) {
  table_.follow(
      sched::kJobTable, after, kFeedWait,
      [self = shared_from_this(), tenure, after](const follow_answer& answer) {
        {
          const std::lock_guard lock(self->mutex_);
          if (!self->core_ || self->tenure_ != tenure) {
            return;
          }
          for (const table_row& row : answer.rows) {
            self->TakeRow(row, {});
          }
        }
        if (answer.is_history_gone) {
          self->counters_.Add("owner_history_gone");
          LogEvent("owner_history_gone", {});
          self->ReadJobsAnew(tenure, std::make_shared<loaded_rows>());
          return;
        }
        if (answer.state != answer_state::kDone) {
          self->program_.after(kRetryPause, [self, tenure, after] {
            self->FollowJobs(tenure, after);
          });
          return;
        }
        if (!answer.rows.empty()) {
          self->ScheduleDecision(kDecisionDelay);
        }
        self->FollowJobs(tenure, std::max(after, answer.store_version));
      });
}

// After lost history: jobs that are known already are taken once only.
void job_owner::ReadJobsAnew(std::uint64_t tenure,
                             std::shared_ptr<loaded_rows> rows) {
  const std::string after =
      rows->jobs.empty() ? std::string() : rows->jobs.back().key;
  table_.scan(
      sched::kJobTable, after, kPageRows,
      [self = shared_from_this(), tenure, rows](const read_answer& answer) {
        if (answer.state != answer_state::kDone) {
          self->program_.after(kRetryPause, [self, tenure, rows] {
            self->ReadJobsAnew(tenure, rows);
          });
          return;
        }
        {
          const std::lock_guard lock(self->mutex_);
          if (!self->core_ || self->tenure_ != tenure) {
            return;
          }
          for (const table_row& row : answer.rows) {
            self->TakeRow(row, {});
          }
        }
        if (rows->from_version == 0) {
          rows->from_version = answer.store_version;
        }
        if (answer.has_more) {
          rows->jobs = answer.rows;
          self->ReadJobsAnew(tenure, rows);
          return;
        }
        self->ScheduleDecision(kDecisionDelay);
        self->FollowJobs(tenure, rows->from_version);
      });
}

void job_owner::ListMinions(std::uint64_t tenure) {
  table_.scan(world_.minion_table, "", kPageRows,
              [self = shared_from_this(), tenure](const read_answer& answer) {
                self->TakeMinionRows(tenure, answer);
              });
}

void job_owner::TakeMinionRows(std::uint64_t tenure,
                               const read_answer& answer) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    if (answer.state == answer_state::kDone) {
      std::vector<sched::minion_report> minions;
      for (const table_row& row : answer.rows) {
        auto report = world_.decode_minion(row);
        if (report) {
          minions.push_back(std::move(report.value()));
        } else {
          counters_.Add("minion_entry_skipped");
        }
      }
      core_->OnMinions(program_.now(), minions);
    }
  }
  ScheduleDecision(kDecisionDelay);
  program_.after(kListInterval, [self = shared_from_this(), tenure] {
    self->ListMinions(tenure);
  });
}

void job_owner::PublishWaiting(std::uint64_t tenure) {
  std::string text;
  std::uint64_t expected = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    text = sched::EncodeWaiting(core_->WaitingByQueue());
    expected = waiting_version_;
    if (text == waiting_written_) {
      text.clear();
    }
  }
  const auto again = [self = shared_from_this(), tenure] {
    self->program_.after(kWaitingInterval,
                         [self, tenure] { self->PublishWaiting(tenure); });
  };
  if (text.empty()) {
    again();
    return;
  }
  lease_->Commit(
      {{sched::kWaitingKey, expected, text}},
      [self = shared_from_this(), text, again](const commit_answer& answer) {
        {
          const std::lock_guard lock(self->mutex_);
          const table_row* row = FindRow(answer.rows, sched::kWaitingKey);
          if (row != nullptr) {
            self->waiting_version_ = row->version;
          }
          if (answer.state == answer_state::kDone) {
            self->waiting_written_ = text;
          }
        }
        again();
      });
}

// Rows of jobs that ended long ago go: job, cancel mark and record together.
void job_owner::DropExpired(std::uint64_t tenure) {
  std::vector<sched::expired_job> expired;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    expired = core_->TakeExpired(program_.now(), kMaxErasedPerCommit);
  }
  for (const sched::expired_job& job : expired) {
    table_transaction erased;
    erased.push_back(
        {sched::kJobTable + job.id, job.accepted_version, "", true});
    if (job.record_version != 0) {
      erased.push_back(
          {sched::kRecordTable + job.id, job.record_version, "", true});
    }
    if (job.cancel_version != 0) {
      erased.push_back(
          {sched::CancelKey(job.id), job.cancel_version, "", true});
    }
    lease_->Commit(std::move(erased), [this](const commit_answer& answer) {
      counters_.Add(answer.state == answer_state::kDone
                        ? "expired_jobs_erased"
                        : "expired_jobs_not_erased");
    });
  }
  program_.after(kExpiryInterval, [self = shared_from_this(), tenure] {
    self->DropExpired(tenure);
  });
}

void job_owner::DecideUpkeep(std::uint64_t tenure) {
  sched::upkeep_actions actions;
  bool is_list_due = false;
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    const instant now = program_.now();
    sched::upkeep_core::hooks work;
    work.cordon = [&](const std::string& minion, bool is_cordoned) {
      core_->Cordon(minion, is_cordoned);
    };
    work.clear = [&](const std::string& minion, bool is_forced) {
      return core_->Clear(now, minion, is_forced);
    };
    actions = upkeep_->Decide(now, work);
    is_list_due = actions.wants_machines && !is_machine_list_out_;
    is_machine_list_out_ = is_machine_list_out_ || is_list_due;
  }
  if (is_list_due) {
    ListMachines(tenure);
  }
  for (const sched::wave_status& status : actions.statuses) {
    WriteWaveStatus(tenure, status, 0);
  }
  for (const sched::upkeep_order& order : actions.orders) {
    SendUpkeep(tenure, order);
  }
  program_.after(kUpkeepInterval, [self = shared_from_this(), tenure] {
    self->DecideUpkeep(tenure);
  });
}

void job_owner::SendUpkeep(std::uint64_t tenure,
                           const sched::upkeep_order& order) {
  LogEvent("upkeep_ordered",
           {{"machine", order.machine}, {"wave", std::to_string(order.wave)}});
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::upkeep_outcome outcome) {
    const std::lock_guard lock(self->mutex_);
    if (self->upkeep_ && self->tenure_ == tenure) {
      self->upkeep_->OnOrdered(self->program_.now(), order, outcome);
    }
  };
  if (lease_->MayAct()) {
    world_.machines.begin_upkeep(order, done);
  } else {
    done(sched::upkeep_outcome::kThrottled);
  }
}

void job_owner::ListMachines(std::uint64_t tenure) {
  world_.machines.list(
      [self = shared_from_this(), tenure](
          bool is_whole, const std::vector<sched::machine_row>& rows) {
        {
          const std::lock_guard lock(self->mutex_);
          if (is_whole && self->upkeep_ && self->tenure_ == tenure) {
            self->upkeep_->OnMachines(self->program_.now(), rows);
          }
        }
        self->program_.after(kMachineListInterval, [self] {
          const std::lock_guard lock(self->mutex_);
          self->is_machine_list_out_ = false;
        });
      });
}

// Written until it stands: on a conflict with the version that is there.
void job_owner::WriteWaveStatus(std::uint64_t tenure,
                                const sched::wave_status& status,
                                std::uint64_t expected_version) {
  table_write write = world_.encode_wave_status(status);
  write.expected_version = expected_version;
  const std::string key = write.key;
  lease_->Commit(
      {std::move(write)}, [self = shared_from_this(), tenure, status, key,
                           expected_version](const commit_answer& answer) {
        if (answer.state == answer_state::kDone) {
          LogEvent("wave_status",
                   {{"wave", std::to_string(status.wave)},
                    {"state", status.is_complete ? "complete" : "running"}});
          return;
        }
        {
          const std::lock_guard lock(self->mutex_);
          if (!self->core_ || self->tenure_ != tenure) {
            return;
          }
        }
        const table_row* row = FindRow(answer.rows, key);
        const std::uint64_t version =
            row == nullptr ? expected_version : row->version;
        if (!status.is_complete && version != 0) {
          return;  // An earlier owner has announced the wave, or finished it.
        }
        self->program_.after(kRetryPause, [self, tenure, status, version] {
          self->WriteWaveStatus(tenure, status, version);
        });
      });
}

void job_owner::Change(
    std::uint64_t tenure,
    const std::function<void(sched::work_core&, instant)>& change) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || tenure_ != tenure) {
      return;
    }
    change(*core_, program_.now());
  }
  ScheduleDecision(kDecisionDelay);
}

void job_owner::ScheduleDecision(duration delay) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || is_decision_due_) {
      return;
    }
    is_decision_due_ = true;
  }
  program_.after(delay, [weak = weak_from_this()] {
    if (const auto alive = weak.lock()) {
      alive->DecideNow();
    }
  });
}

// Decisions that no event brings about: time-outs, due times.
void job_owner::RepeatDecision() {
  std::uint64_t tenure = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!core_) {
      return;
    }
    tenure = tenure_;
  }
  program_.after(kDecisionInterval, [weak = weak_from_this(), tenure] {
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
    alive->RepeatDecision();
  });
}

void job_owner::DecideNow() {
  sched::work_actions actions;
  std::uint64_t tenure = 0;
  {
    const std::lock_guard lock(mutex_);
    is_decision_due_ = false;
    if (!core_) {
      return;
    }
    tenure = tenure_;
    actions = core_->Decide(program_.now(), program_.wall_unix_ms());
  }
  CarryOut(tenure, std::move(actions));
}

// The lease is asked before each order: the process may have been frozen
// since the decision.
void job_owner::CarryOut(std::uint64_t tenure, sched::work_actions actions) {
  for (const sched::work_note& note : actions.notes) {
    LogDecision(note.event, {{"job", note.job},
                             {"task", note.task},
                             {"minion", note.minion},
                             {"detail", note.detail}});
  }
  for (sched::start_order& order : actions.starts) {
    SendStart(tenure, std::move(order));
  }
  for (sched::stop_order& order : actions.stops) {
    SendStop(tenure, std::move(order));
  }
  for (sched::look_order& order : actions.looks) {
    SendLook(tenure, std::move(order));
  }
  for (sched::pace_order& order : actions.paces) {
    SendPace(tenure, std::move(order));
  }
  if (actions.advice) {
    SendAdvice(tenure, std::move(*actions.advice));
  }
  if (actions.commit) {
    const instant sent = program_.now();
    {
      const std::lock_guard lock(mutex_);
      last_commit_ = sent;
    }
    lease_->Commit(
        std::move(*actions.commit),
        [self = shared_from_this(), tenure, sent](const commit_answer& answer) {
          self->measured_.Observe("owner_commit", GetName(answer.state),
                                  self->program_.now() - sent);
          self->Change(tenure, [&](sched::work_core& core, instant now) {
            core.OnCommit(now, answer);
          });
        });
  }
}

void job_owner::SendStart(std::uint64_t tenure, sched::start_order order) {
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::order_answer answer) {
    self->Change(tenure, [&](sched::work_core& core, instant now) {
      core.OnStarted(now, order, answer);
    });
  };
  if (!lease_->MayAct()) {
    done({sched::order_outcome::kNotSent});
    return;
  }
  world_.orders.start(std::move(order), done);
}

void job_owner::SendStop(std::uint64_t tenure, sched::stop_order order) {
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::order_answer answer) {
    self->Change(tenure, [&](sched::work_core& core, instant now) {
      core.OnStopped(now, order, answer);
    });
  };
  if (!lease_->MayAct()) {
    done({sched::order_outcome::kNotSent});
    return;
  }
  world_.orders.stop(std::move(order), done);
}

void job_owner::SendPace(std::uint64_t tenure, sched::pace_order order) {
  const auto done = [self = shared_from_this(), tenure,
                     order](sched::order_answer answer) {
    self->Change(tenure, [&](sched::work_core& core, instant /*now*/) {
      core.OnPaced(order, answer);
    });
  };
  if (!lease_->MayAct()) {
    done({sched::order_outcome::kNotSent});
    return;
  }
  world_.orders.pace(std::move(order), done);
}

void job_owner::SendAdvice(std::uint64_t tenure,
                           sched::advice_request request) {
  const auto done = [self = shared_from_this(), tenure,
                     request](const sched::advice_answer& answer) {
    self->Change(tenure, [&](sched::work_core& core, instant now) {
      core.OnAdvice(now, request, answer);
    });
  };
  if (!world_.orders.advise) {
    LogEvent("advice_not_configured", {{"job", request.step.job}});
    done({});
    return;
  }
  world_.orders.advise(std::move(request), done);
}

void job_owner::SendLook(std::uint64_t tenure, sched::look_order order) {
  const instant sent = program_.now();
  const auto done = [self = shared_from_this(), tenure, sent,
                     order](const sched::look_answer& answer) {
    self->Change(tenure, [&](sched::work_core& core, instant now) {
      core.OnLooked(now, sent, order, answer);
    });
  };
  if (!lease_->MayAct()) {
    sched::look_answer refused;
    refused.outcome = sched::order_outcome::kNotSent;
    done(refused);
    return;
  }
  world_.orders.look(std::move(order), done);
}

}  // namespace sassafras

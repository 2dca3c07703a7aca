#include "programs/entry/job_owner.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "sassafras/sched/job_codec.h"
#include "sassafras/telemetry/log.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

constexpr char kLeaseKey[] = "lease/jobs";
// A shorter term means less time without an owner after a crash, but more calls
// to the store: each contender reads the lease row about once per term.
constexpr duration kLeaseTerm = 800ms;
constexpr duration kLeaseMargin = 200ms;
// Upper bound of the term, which is extended while the store answers slowly. It
// limits how long a crash of the owner can then go undetected.
constexpr duration kMaxLeaseTerm = 4s;
// At 350 minions the owner's decisions need a tenth of a core. A process with
// less than twice that waits before it acquires a free lease, so that a process
// with more processor time can acquire it first.
constexpr double kLowProcessorShare = 0.2;
constexpr duration kLowShareAcquireDelay = 700ms;
// Time after the last commit at which the owner renews the lease. Any commit
// renews it as well.
constexpr duration kRenewInterval = 200ms;
// Part of the bound on evacuations that is left for a decision and its orders.
constexpr duration kEvacuationMargin = 1200ms;
// Number of fencing tokens per epoch of the lease. If ownership is lost and
// regained without another owner in between, the epoch stays the same, but the
// new tenure needs a token of its own.
constexpr std::uint64_t kFencesPerEpoch = 1000;

// Bandwidth below which orders and polls wait for the link. At 350 minions and
// 10 Mbit/s half as many urgent jobs again are late.
constexpr double kSufficientLinkMbps = 100;

std::string MakeIncarnation() {
  std::random_device random;
  return std::to_string((std::uint64_t{random()} << 32U) | random());
}

sched::work_options MakeWorkOptions(const entry_settings& settings,
                                    int max_long_polls) {
  sched::work_options options;
  options.max_long_polls = max_long_polls;
  options.policy = settings.policy;
  options.max_lease = settings.max_lease;
  options.stop_time = settings.stop_time;
  options.checkpoint_interval = settings.checkpoint_interval;
  options.restore_time = settings.restore_time;
  options.reclaim_time = settings.reclaim_time;
  if (settings.evacuate_time > duration(0)) {
    options.max_evacuation_age =
        std::max(settings.evacuate_time - kEvacuationMargin, duration(1));
  }
  options.state_retention = settings.state_time * 5 / 4;
  return options;
}

}  // namespace

double OwnerCapacityOf(const entry_settings& settings) {
  const double link_share =
      settings.policy.weigh_owner_link && settings.link_mbps > 0
          ? std::min(settings.link_mbps / kSufficientLinkMbps, 1.0)
          : 1.0;
  return settings.processor_share * link_share;
}

std::shared_ptr<job_owner> job_owner::Make(const platform_adapter& adapter,
                                           const table_port& table,
                                           const entry_settings& settings,
                                           int max_long_polls,
                                           counter_table& counters,
                                           metrics& metrics_registry,
                                           hooks hooks) {
  return std::shared_ptr<job_owner>(
      new job_owner(adapter, table, settings, max_long_polls, counters,
                    metrics_registry, std::move(hooks)));
}

job_owner::job_owner(const platform_adapter& adapter,
                     const table_port& table,
                     const entry_settings& settings,
                     int max_long_polls,
                     counter_table& counters,
                     metrics& metrics_registry,
                     hooks hooks)
    : adapter_(adapter),
      table_(table),
      settings_(settings),
      max_long_polls_(max_long_polls),
      counters_(counters),
      metrics_(metrics_registry),
      hooks_(std::move(hooks)) {}

void job_owner::Start() {
  lease_options options;
  options.key = kLeaseKey;
  options.holder = settings_.id;
  options.incarnation = MakeIncarnation();
  options.term = kLeaseTerm;
  if (settings_.policy.adapt_lease_term) {
    options.max_term = kMaxLeaseTerm;
  }
  options.is_id_exclusive = true;
  if (settings_.policy.hand_over_ownership) {
    options.capacity = OwnerCapacityOf(settings_);
  }
  if (settings_.processor_share < kLowProcessorShare) {
    options.acquire_delay = kLowShareAcquireDelay;
  }
  options.margin = kLeaseMargin;
  const std::weak_ptr<job_owner> weak = weak_from_this();
  lease_keeper::hooks hooks;
  hooks.now = hooks_.now;
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
  EndTenureIfSuperseded();
  RenewLease();
  hooks_.after(lease_keeper::kTickInterval, [weak = weak_from_this()] {
    if (const auto alive = weak.lock()) {
      alive->Tick();
    }
  });
}

// Renews the lease by a guarded commit without writes. This takes one call to
// the store, whereas reading and rewriting the lease row takes two.
void job_owner::RenewLease() {
  {
    const std::lock_guard lock(mutex_);
    if (!is_owner_ || is_renewal_in_flight_ ||
        hooks_.now() < last_commit_at_ + kRenewInterval) {
      return;
    }
    is_renewal_in_flight_ = true;
    last_commit_at_ = hooks_.now();
  }
  lease_->Commit({}, [self = shared_from_this()](const commit_answer&) {
    const std::lock_guard lock(self->mutex_);
    self->is_renewal_in_flight_ = false;
  });
}

void job_owner::OnConfig(sched::service_config_ptr config) {
  std::uint64_t tenure = 0;
  {
    const std::lock_guard lock(mutex_);
    config_ = config;
    tenure = tenure_;
  }
  UpdateCore(tenure, [&](sched::work_core& core, instant /*now*/) {
    core.OnConfig(config);
  });
}

void job_owner::OnOperatorRow(const table_row& row) {
  const auto wave = adapter_.decode_wave(row);
  if (!wave) {
    counters_.Add("operator_row_unknown");
    return;
  }
  const std::lock_guard lock(mutex_);
  const auto [known, is_new] =
      waves_.try_emplace(wave->number, known_wave{*wave, hooks_.now()});
  known->second.wave = *wave;
  if (upkeep_) {
    upkeep_->OnWave(known->second.first_seen, *wave);
  }
}

void job_owner::Stop(std::function<void()> done) {
  OnLost();
  {
    const std::lock_guard lock(mutex_);
    EndTenure();
  }
  lease_->Stop(std::move(done));
}

bool job_owner::IsOwner() const {
  const std::lock_guard lock(mutex_);
  return is_owner_;
}

std::string job_owner::LastOwner() const {
  return lease_ ? lease_->LastHolder() : std::string();
}

std::string job_owner::Explain(const std::string& job) const {
  const std::lock_guard lock(mutex_);
  return is_owner_ ? core_->Explain(job) : std::string();
}

std::vector<sched::minion_status> job_owner::Minions() const {
  const std::lock_guard lock(mutex_);
  return is_owner_ ? core_->Minions() : std::vector<sched::minion_status>();
}

std::optional<sched::work_summary> job_owner::Summary() const {
  const std::lock_guard lock(mutex_);
  if (!is_owner_) {
    return std::nullopt;
  }
  return core_->Summary(hooks_.now());
}

duration job_owner::OwnedFor() const {
  const std::lock_guard lock(mutex_);
  return is_owner_ ? hooks_.now() - gained_at_ : duration(0);
}

void job_owner::OnGained(std::uint64_t epoch) {
  if (ResumeTenure(epoch)) {
    return;
  }
  std::uint64_t tenure = 0;
  std::uint64_t fence = 0;
  {
    const std::lock_guard lock(mutex_);
    tenure = ++tenure_;
    epoch_ = epoch;
    is_owner_ = true;
    are_jobs_loaded_ = false;
    gained_at_ = hooks_.now();
    has_sent_poll_ = false;
    has_sent_start_ = false;
    fence_ = epoch * kFencesPerEpoch + tenure % kFencesPerEpoch;
    fence = fence_;
    core_ = std::make_unique<sched::work_core>(
        MakeWorkOptions(settings_, max_long_polls_), fence, hooks_.now(),
        counters_);
    published_waiting_counts_.clear();
    published_forecast_.clear();
    upkeep_.reset();
  }
  counters_.Add("ownership_gained");
  ScheduleTimedDecisions();
  LogEvent("ownership_gained", {{"epoch", std::to_string(epoch)},
                                {"fence", std::to_string(fence)}});
  LoadJobs(tenure);
}

// Continues the suspended tenure if no other process has held the lease since:
// a change of holder would have raised the epoch. Rows that this process wrote
// or follows are then still current, and its fencing token is the highest.
bool job_owner::ResumeTenure(std::uint64_t epoch) {
  {
    const std::lock_guard lock(mutex_);
    if (!core_ || is_owner_ || epoch_ != epoch) {
      return false;
    }
    is_owner_ = true;
  }
  counters_.Add("ownership_resumed");
  LogEvent("ownership_resumed", {{"epoch", std::to_string(epoch)}});
  ScheduleDecision(duration(0));
  return true;
}

// A late renewal only suspends the tenure: no decision is made, but answers are
// still processed, so that it can be resumed.
void job_owner::OnLost() {
  {
    const std::lock_guard lock(mutex_);
    if (!is_owner_) {
      return;
    }
    is_owner_ = false;
  }
  counters_.Add("ownership_lost");
  LogEvent("ownership_lost", {});
  EndTenureIfSuperseded();
}

void job_owner::EndTenureIfSuperseded() {
  const std::lock_guard lock(mutex_);
  const bool may_resume = settings_.policy.suspend_tenure && lease_->IsHeld();
  if (!is_owner_ && !may_resume) {
    EndTenure();
  }
}

// Called with the lock held.
void job_owner::EndTenure() {
  is_owner_ = false;
  core_.reset();
  upkeep_.reset();
}

}  // namespace sassafras

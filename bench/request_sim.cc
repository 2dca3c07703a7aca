#include "bench/request_sim.h"

#include <algorithm>

#include "sassafras/core/digest.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 8;
constexpr int kConnections = 64;
constexpr int kTeams = 4;
constexpr double kUrgentPerSecond = 100;
constexpr double kOncePerSecond = 20;
constexpr duration kUrgentWork = milliseconds(50);
constexpr duration kOnceWork = milliseconds(50);
constexpr duration kBatchWork = milliseconds(500);
constexpr duration kMessageTime = milliseconds(1);
constexpr duration kFailTime = milliseconds(1);
constexpr duration kMemberInterval = milliseconds(500);
constexpr duration kMemberLag = seconds(3);  // Until a dead one is noticed.
constexpr duration kResubmitDelay = milliseconds(100);
constexpr duration kDrain = seconds(70);
constexpr int kOk = 200;
constexpr int kServerError = 500;

job_class MakeClass(const std::string& name,
                    urgency order,
                    bool idempotent,
                    duration timeout,
                    int floor) {
  job_class added;
  added.id = {name};
  added.urgency_level = order;
  added.is_idempotent = idempotent;
  added.timeout = timeout;
  added.floor_percent = floor;
  added.queue_limit = 500;
  added.target = target_id{"lab"};
  return added;
}

std::string TokenOf(int team) {
  return "token-" + std::to_string(team);
}

}  // namespace

request_sim::request_sim(request_scenario scenario, std::uint64_t seed)
    : scenario_(std::move(scenario)), random_(seed) {
  MakeConfig();
  minions_.resize(scenario_.minions);
  in_work_.resize(scenario_.minions);
  for (sim_minion& item : minions_) {
    item.free_slots = kSlots;
  }
  for (int i = 0; i < scenario_.gateways; ++i) {
    const std::string name = "gateway-" + std::to_string(i);
    members_.push_back({{name}, name + ".1"});
    dead_.push_back(false);
  }
}

void request_sim::MakeConfig() {
  auto published = std::make_shared<published_config>();
  config_set& objects = published->objects;
  for (int i = 0; i < kTeams; ++i) {
    team added{{"team-" + std::to_string(i)}, i + 1, {}, {}};
    added.tokens.push_back({token_role::kCaller, Sha256Hex(TokenOf(i))});
    objects.teams[added.id] = added;
  }
  for (const job_class& item :
       {MakeClass("check", urgency::kUrgent, true, seconds(2), 20),
        MakeClass("once", urgency::kNormal, false, seconds(10), 5),
        MakeClass("batch", urgency::kBatch, true, seconds(60), 10)}) {
    objects.classes[item.id] = item;
  }
  target lab{{"lab"}, false, {}};
  for (int i = 0; i < scenario_.minions; ++i) {
    const std::string name = std::to_string(i);
    lab.minions.push_back(
        {{"minion-" + name}, name, {"here"}, kSlots, kConnections, false});
  }
  objects.targets[lab.id] = lab;
  config_ = published;
}

int request_sim::MinionIndex(const std::string& address) {
  return std::stoi(address);
}

void request_sim::At(duration delay, std::function<void()> act) {
  events_.push({now_ + delay, ++numbers_, std::move(act)});
}

// Times of work vary much, as callers' declared sizes do.
duration request_sim::DrawWork(duration mean) {
  std::gamma_distribution<double> shape(2.0, 0.5);
  const double factor = std::clamp(shape(random_), 0.05, 4.0);
  return duration(
      static_cast<std::int64_t>(factor * static_cast<double>(mean.count())));
}

void request_sim::Arrive(const std::string& class_name,
                         double per_second,
                         duration mean) {
  std::exponential_distribution<double> gap(per_second);
  const duration wait(static_cast<std::int64_t>(gap(random_) * 1e6));
  At(wait, [this, class_name, per_second, mean] {
    if (now_ - start_ >= scenario_.warmup + scenario_.length) {
      return;
    }
    const job_class& definition = config_->objects.classes.at({class_name});
    sim_request request;
    request.id = next_request_++;
    request.class_name = definition.id;
    request.token = TokenOf(static_cast<int>(request.id % kTeams));
    request.is_urgent = definition.urgency_level == urgency::kUrgent;
    if (!definition.is_idempotent) {
      request.key = "key-" + std::to_string(request.id);
    }
    request.sent = now_;
    request.timeout = definition.timeout;
    request.work = DrawWork(mean);
    if (request.is_urgent && now_ - start_ >= scenario_.warmup) {
      ++figures_.urgent_asked;
    }
    Submit(request);
    Arrive(class_name, per_second, mean);
  });
}

void request_sim::Submit(const sim_request& request) {
  int chosen = 0;
  if (scenario_.fault != request_fault::kOneGateway) {
    std::uniform_int_distribution<int> pick(0, scenario_.gateways - 1);
    do {
      chosen = pick(random_);
    } while (dead_[chosen]);
  }
  ++submitted_;
  open_[request.id] = {request, chosen};
  gateways_[chosen].submit(request);
}

void request_sim::ScheduleLoad() {
  Arrive("check", kUrgentPerSecond, kUrgentWork);
  Arrive("once", kOncePerSecond, kOnceWork);
  if (scenario_.batch_load > 0) {
    const double slots = static_cast<double>(scenario_.minions) * kSlots;
    const double seconds_of_work =
        std::chrono::duration<double>(kBatchWork).count();
    Arrive("batch", scenario_.batch_load * slots / seconds_of_work, kBatchWork);
  }
}

void request_sim::RefreshMembers() {
  std::vector<gateway_member> live;
  for (int i = 0; i < scenario_.gateways; ++i) {
    if (!dead_[i]) {
      live.push_back(members_[i]);
    }
  }
  At(kMemberLag, [this, live] {
    for (int i = 0; i < scenario_.gateways; ++i) {
      if (!dead_[i]) {
        gateways_[i].set_members(live);
      }
    }
  });
  At(kMemberInterval, [this] {
    if (!open_.empty() || now_ - start_ < scenario_.warmup) {
      RefreshMembers();
    }
  });
}

void request_sim::BeginFault() {
  for (int i = 0; i < scenario_.bad_minions; ++i) {
    const int index = i * scenario_.minions / scenario_.bad_minions;
    minions_[index].is_failing = scenario_.fault == request_fault::kMinionsFail;
    minions_[index].is_silent =
        scenario_.fault == request_fault::kMinionsSilent;
  }
  if (scenario_.fault != request_fault::kGatewayKilled) {
    return;
  }
  const int killed = scenario_.gateways / 2;
  dead_[killed] = true;
  // Its callers see their connections break and come again.
  std::vector<sim_request> again;
  for (const auto& [id, item] : open_) {
    if (item.gateway == killed) {
      again.push_back(item.request);
    }
  }
  At(kResubmitDelay, [this, again] {
    for (sim_request request : again) {
      open_.erase(request.id);
      request.id = next_request_++;
      Submit(request);
    }
  });
}

void request_sim::Work(int minion,
                       const sim_request& request,
                       std::function<void(int)> done) {
  ++in_work_[minion];
  figures_.over_use = std::max(figures_.over_use, in_work_[minion] - kSlots);
  sim_minion& item = minions_[minion];
  if (!request.key.empty() && ++executions_[request.key] > 1) {
    ++figures_.duplicates;
  }
  if (item.is_silent) {
    // Its caller closes the connection at the request's deadline.
    At(std::max(duration(0), request.sent + request.timeout - now_),
       [this, minion] { --in_work_[minion]; });
    return;
  }
  if (item.is_failing) {
    At(kFailTime, [this, minion, done] {
      --in_work_[minion];
      done(kServerError);
    });
    return;
  }
  if (item.free_slots == 0) {
    item.waiting.emplace(
        [this, minion, request, done] { StartWork(minion, request, done); });
    return;
  }
  StartWork(minion, request, done);
}

void request_sim::StartWork(int minion,
                            const sim_request& request,
                            const std::function<void(int)>& done) {
  --minions_[minion].free_slots;
  At(request.work, [this, minion, done] {
    sim_minion& item = minions_[minion];
    --in_work_[minion];
    ++item.free_slots;
    if (!item.waiting.empty()) {
      const auto next = std::move(item.waiting.front());
      item.waiting.pop();
      next();
    }
    done(kOk);
  });
}

void request_sim::Reply(const sim_request& request, bool is_answer) {
  if (open_.erase(request.id) == 0 || !is_answer) {
    return;
  }
  const duration since = now_ - start_;
  const bool is_measured =
      since >= scenario_.warmup && since < scenario_.warmup + scenario_.length;
  if (request.is_urgent && request.sent - start_ >= scenario_.warmup) {
    ++figures_.urgent_answered;
    figures_.urgent.push_back(now_ - request.sent);
  }
  if (is_measured && request.class_name.value == "batch") {
    figures_.batch_work += request.work;
  }
}

void request_sim::Carry(const process_id& to, slot_message message) {
  for (int i = 0; i < scenario_.gateways; ++i) {
    if (members_[i].id == to) {
      At(kMessageTime, [this, i, message = std::move(message)] {
        if (!dead_[i]) {
          gateways_[i].take_message(message);
        }
      });
      return;
    }
  }
}

request_figures request_sim::Run(const gateway_maker& make) {
  for (int i = 0; i < scenario_.gateways; ++i) {
    gateways_.push_back(make(*this, i));
  }
  for (const sim_gateway& item : gateways_) {
    item.set_members(members_);
  }
  RefreshMembers();
  At(seconds(2), [this] { ScheduleLoad(); });
  At(scenario_.warmup / 3 * 2, [this] { BeginFault(); });
  const instant end = start_ + scenario_.warmup + scenario_.length + kDrain;
  while (!events_.empty() && events_.top().at <= end) {
    event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.act();
  }
  figures_.lost_answers = static_cast<int>(open_.size());
  figures_.core_us = static_cast<double>(processor_time_.count()) /
                     std::max(1, submitted_) / 1000;
  return figures_;
}

}  // namespace sassafras

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "sassafras/core/digest.h"
#include "sassafras/core/invariant.h"
#include "sassafras/request/claim_record.h"
#include "sassafras/request/request_core.h"
#include "tests/soak_driver.h"
#include "tests/soak_store.h"

namespace sassafras {
namespace {

using namespace std::chrono_literals;

constexpr int kGateways = 3;
constexpr int kMinions = 4;
constexpr int kSlots = 2;
// Slots may be overused for this time after a change of membership.
constexpr duration kSettlingTime = 30s;

enum class minion_mode { kGood, kFails, kSilent, kResets, kRefuses, kLeaving };
constexpr const char* kModeNames[] = {"good",   "fails",   "silent",
                                      "resets", "refuses", "leaving"};

struct fake_minion {
  minion_mode mode = minion_mode::kGood;
  int in_flight = 0;
};

// One submission by a caller.
struct caller_request {
  int gateway = 0;
  std::string incarnation;
  std::string key;
  std::string body;
  bool was_sent = false;  // It may have reached a minion.
  bool is_reported_not_run = false;
  bool has_disconnected = false;
  bool is_delivered = false;  // Passed to request_core of its gateway.
  int replies = 0;
};

struct gateway {
  gateway_member self;
  std::unique_ptr<request_core> core;  // Null while the gateway is dead.
  instant paused_until;
  bool is_stopping = false;
  std::optional<instant> wake;
  std::map<send_id, request_id> sends;  // Sends in flight.
  std::map<send_id, std::string> answers;
  std::map<request_id, std::string> loaded;
};

class requests_run {
 public:
  explicit requests_run(const soak_options& options)
      : driver_(options), store_(driver_) {
    SetInvariantHandler(
        [this](std::string_view name) { driver_.Check(false, name); });
    store_.on_change = [this](const table_row&, const table_row& row) {
      const claim_record claim = DecodeClaim(row.value).value();
      driver_.Note("row_" + std::string(GetName(claim.state)),
                   row.key + " token " + claim.token);
      driver_.Check(claim.state != claim_state::kAnswered ||
                        store_.objects.count(claim.object) > 0,
                    "answered_row_has_its_object");
    };
    Publish();
    for (int i = 0; i < kGateways; ++i) {
      Start(i);
    }
    driver_.After(1s, [this] { BroadcastMembers(); });
    driver_.After(2s, [this] { GenerateArrivals(); });
    driver_.After(3s, [this] { InjectFault(); });
  }

  soak_result Run() {
    driver_.Run(120s, [this] { ClearFaults(); });
    CheckEnd();
    soak_result result = driver_.Result();
    for (const auto& [name, value] : counters_.Snapshot()) {
      result.met[name] += value;
    }
    return result;
  }

 private:
  void Publish() {
    auto published = std::make_shared<published_config>();
    published->version = config_ ? config_->version + 1 : 1;
    config_set& set = published->objects;
    for (const char* name : {"t1", "t2"}) {
      set.teams[team_id{name}] = {
          {name}, 1, {}, {{token_role::kCaller, Sha256Hex(name)}}};
    }
    AddClass(set, "check", urgency::kUrgent, true, 2s);
    AddClass(set, "batch", urgency::kBatch, true, 20s);
    AddClass(set, "reset", urgency::kNormal, false, 10s);
    const bool is_target_leaving =
        driver_.IsFaulty() && config_ && driver_.Chance(5);
    target lab{{"lab"}, is_target_leaving, {}};
    for (int i = 0; i < kMinions; ++i) {
      const std::string name = "m" + std::to_string(i);
      const bool leaves = driver_.IsFaulty() && config_ && driver_.Chance(10);
      lab.minions.push_back({{name}, name, {"lahore"}, kSlots, 12, leaves});
    }
    set.targets[lab.id] = lab;
    config_ = published;
    last_change_ = driver_.now;
  }

  static void AddClass(config_set& set,
                       const char* name,
                       urgency order,
                       bool idempotent,
                       duration timeout) {
    job_class added{class_id{name}};
    added.urgency_level = order;
    added.is_idempotent = idempotent;
    added.floor_percent = 5;
    added.target = target_id{"lab"};
    added.timeout = timeout;
    added.queue_limit = 20;
    set.classes[added.id] = added;
  }

  void Start(int index) {
    gateway& owner = gateways_[index];
    owner = gateway();
    const std::string name = "g" + std::to_string(index);
    owner.self = {{name}, name + "." + std::to_string(++incarnations_)};
    owner.core = std::make_unique<request_core>(
        request_options{owner.self, {"lahore"}, kGateways}, counters_);
    last_change_ = driver_.now;
    Deliver(index, config_changed{config_});
  }

  void Kill(int index) {
    gateway& owner = gateways_[index];
    if (!owner.core) {
      return;
    }
    driver_.Note("fault_gateway_killed", owner.self.incarnation);
    owner.core.reset();
    last_change_ = driver_.now;
    driver_.After(driver_.Delay() * 5, [this, index] {
      if (!gateways_[index].core) {
        Start(index);
      }
    });
  }

  // Delivers `event` to the given incarnation of a gateway, after its pause if
  // it is paused.
  void DeliverTo(int index,
                 const std::string& incarnation,
                 request_event event) {
    gateway& owner = gateways_[index];
    if (!owner.core || owner.self.incarnation != incarnation) {
      return;
    }
    if (owner.paused_until > driver_.now) {
      driver_.After(owner.paused_until - driver_.now,
                    [this, index, incarnation, event = std::move(event)] {
                      DeliverTo(index, incarnation, event);
                    });
      return;
    }
    Deliver(index, event);
  }

  void Deliver(int index, const request_event& event) {
    gateway& owner = gateways_[index];
    const std::string incarnation = owner.self.incarnation;
    if (const auto* arrival = std::get_if<request_arrived>(&event)) {
      requests_.at(arrival->request).is_delivered = true;
    }
    // The gateway may die between any two of its actions.
    const int killed_before =
        driver_.IsFaulty() && driver_.Pick(4'000) == 0 ? driver_.Pick(4) : -1;
    int count = 0;
    for (request_action& action :
         owner.core->Handle(event, driver_.now, driver_.random)) {
      if (count++ == killed_before) {
        Kill(index);
        return;
      }
      std::visit([&](auto& item) { Execute(index, item); }, action);
      if (!owner.core || owner.self.incarnation != incarnation) {
        return;
      }
    }
    const auto wake = owner.core->NextWake();
    if (wake && (!owner.wake || *wake < *owner.wake)) {
      owner.wake = wake;
      driver_.After(std::max(duration(0), *wake - driver_.now),
                    [this, index, incarnation] {
                      if (gateways_[index].self.incarnation == incarnation) {
                        gateways_[index].wake.reset();
                      }
                      DeliverTo(index, incarnation, time_passed{});
                    });
    }
  }

  // Returns a callback that delivers the answer to a store call to the gateway
  // incarnation that made it.
  template <class Event>
  auto ReplyTo(int index, Event event) {
    return
        [this, index, event,
         incarnation = gateways_[index].self.incarnation](auto answer) mutable {
          event.answer = std::move(answer);
          DeliverTo(index, incarnation, event);
        };
  }

  void Execute(int index, commit_rows& action) {
    store_.Commit(action.transaction,
                  ReplyTo(index, rows_committed{action.call}));
  }
  void Execute(int index, read_rows& action) {
    store_.Read(action.keys, ReplyTo(index, rows_read{action.call}));
  }
  void Execute(int index, store_answer& action) {
    store_.Put(
        action.object, gateways_[index].answers.at(action.send),
        [this, index, request = action.request,
         incarnation = gateways_[index].self.incarnation](answer_state state) {
          DeliverTo(index, incarnation, answer_stored{request, state});
        });
  }
  void Execute(int index, load_answer& action) {
    store_.GetObject(
        action.object, [this, index, request = action.request,
                        incarnation = gateways_[index].self.incarnation](
                           object_answer answer) {
          const bool is_done = answer.state == answer_state::kDone;
          if (gateways_[index].self.incarnation == incarnation) {
            gateways_[index].loaded[request] = answer.value;
          }
          DeliverTo(index, incarnation,
                    answer_loaded{request, is_done && answer.exists,
                                  is_done && !answer.exists});
        });
  }
  void Execute(int index, send_slot_message& action) {
    for (int to = 0; to < kGateways; ++to) {
      if (gateways_[to].self.id != action.to || to == index) {
        continue;
      }
      if (driver_.IsFaulty() && driver_.Chance(4)) {
        driver_.met.Add("fault_peer_message_lost");
        continue;
      }
      const int copies = driver_.IsFaulty() && driver_.Chance(2) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        driver_.After(driver_.Delay(), [this, to, message = action.message] {
          DeliverTo(to, gateways_[to].self.incarnation,
                    slot_message_received{message});
        });
      }
    }
  }
  void Execute(int, trim_connections&) {}
  void Execute(int, request_ended&) {}
  void Execute(int index, stop_completed&) {
    gateway& owner = gateways_[index];
    driver_.Note("gateway_drained", owner.self.incarnation);
    driver_.Check(owner.sends.empty(), "graceful_stop_cuts_nothing");
    for (const auto& [id, request] : requests_) {
      driver_.Check(request.incarnation != owner.self.incarnation ||
                        request.replies == 1 || request.has_disconnected ||
                        !request.is_delivered,
                    "graceful_stop_answers_all");
    }
    driver_.After(0s, [this, index] {
      gateways_[index].core.reset();
      Start(index);
    });
  }

  void Execute(int index, send_request& action) {
    gateway& owner = gateways_[index];
    caller_request& request = requests_.at(action.request);
    fake_minion& minion = minions_[action.minion.value.back() - '0'];
    send_ended end{action.send, answer_state::kDone, 200, false};
    bool is_run = true;
    duration work = driver_.Delay();
    switch (minion.mode) {
      case minion_mode::kGood:
        break;
      case minion_mode::kFails:
        end.status = 500;
        break;
      case minion_mode::kSilent:
        end.state = answer_state::kUnknown;
        work = action.timeout;
        is_run = driver_.Chance(50);
        break;
      case minion_mode::kResets:
        end.state = answer_state::kUnknown;
        is_run = driver_.Chance(50);
        break;
      case minion_mode::kRefuses:
        end.state = answer_state::kNotDone;
        is_run = false;
        break;
      case minion_mode::kLeaving:
        end.status = 503;
        end.refused_leaving = true;
        is_run = false;
        break;
    }
    if (end.state == answer_state::kUnknown || is_run) {
      driver_.Check(!request.is_reported_not_run, "not_run_is_never_sent");
      request.was_sent = true;
    }
    if (is_run && !request.key.empty()) {
      ++executions_[request.key];
      driver_.Check(executions_[request.key] <= 1, "at_most_once");
    }
    driver_.Note("send", owner.self.incarnation + " r" +
                             std::to_string(action.request) + " " +
                             request.key + " to " + action.minion.value + " " +
                             kModeNames[static_cast<int>(minion.mode)]);
    ++minion.in_flight;
    const bool is_settled = driver_.now - last_change_ > kSettlingTime;
    driver_.Check(minion.in_flight <= kSlots || !is_settled, "slots_overused");
    if (minion.in_flight > kSlots) {
      driver_.met.Add("slots_overused_while_changing");
    }
    owner.sends[action.send] = action.request;
    owner.answers[action.send] = "answer of " + request.key + request.body;
    work = std::min(work, action.timeout);
    driver_.After(work, [this, index, end, &minion,
                         incarnation = owner.self.incarnation] {
      --minion.in_flight;
      EndSend(index, incarnation, end);
    });
  }

  void EndSend(int index,
               const std::string& incarnation,
               const send_ended& end) {
    gateway& owner = gateways_[index];
    if (owner.self.incarnation == incarnation &&
        owner.sends.erase(end.send) > 0) {
      DeliverTo(index, incarnation, end);
    }
  }

  caller_request& Reply(int index, request_id id) {
    caller_request& request = requests_.at(id);
    driver_.Check(++request.replies == 1, "one_reply");
    driver_.Check(request.incarnation == gateways_[index].self.incarnation,
                  "reply_to_own_caller");
    return request;
  }
  void Execute(int index, reply_error& action) {
    caller_request& request = Reply(index, action.request);
    const std::string kind(GetErrorInfo(action.failure.kind).name);
    driver_.Note("reply_" + kind + "_" + std::string(GetName(action.outcome)),
                 "r" + std::to_string(action.request) + " " + request.key);
    if (action.outcome == run_outcome::kNotRun) {
      driver_.Check(!request.was_sent, "not_run_was_sent");
      request.is_reported_not_run = true;
    }
    driver_.Check(action.outcome != run_outcome::kRan || request.was_sent ||
                      executions_[request.key] > 0,
                  "ran_was_not_sent");
  }
  void Execute(int index, reply_answer& action) {
    const caller_request& request = Reply(index, action.request);
    driver_.Note("reply_answer", "r" + std::to_string(action.request));
    driver_.Check(gateways_[index].answers.at(action.send) ==
                      "answer of " + request.key + request.body,
                  "answer_of_own_request");
  }
  void Execute(int index, reply_stored& action) {
    const caller_request& request = Reply(index, action.request);
    driver_.Note("reply_stored", "r" + std::to_string(action.request));
    driver_.Check(gateways_[index].loaded.at(action.request) ==
                      "answer of " + request.key + request.body,
                  "stored_answer_of_own_key");
  }

  void GenerateArrivals() {
    if (!driver_.IsFaulty()) {
      return;
    }
    const int index = driver_.Pick(kGateways);
    const bool is_burst = driver_.Chance(1);
    for (int i = 0; i < (is_burst ? 60 : 1); ++i) {
      Submit(index);
    }
    driver_.After(std::chrono::milliseconds(driver_.Pick(60)),
                  [this] { GenerateArrivals(); });
  }

  void Submit(int index) {
    gateway& owner = gateways_[index];
    if (!owner.core) {
      return;
    }
    const int kind = driver_.Pick(100);
    const char* name = kind < 30 ? "check" : (kind < 50 ? "batch" : "reset");
    const request_id id = ++last_request_;
    caller_request& request = requests_[id];
    request = {index, owner.self.incarnation};
    request.body = "b" + std::to_string(id);
    if (kind >= 50 && kind < 99) {
      const bool is_retry = !keys_.empty() && driver_.Chance(50);
      request.key =
          is_retry ? driver_.PickRecent(keys_) : "k" + std::to_string(id);
      request.body = driver_.Chance(3) ? "other" : "b";
      if (!is_retry) {
        keys_.push_back(request.key);
      }
    }
    driver_.Note("arrive", "r" + std::to_string(id) + " " + name + " " +
                               request.key + " at " + owner.self.incarnation);
    DeliverTo(index, owner.self.incarnation,
              request_arrived{id,
                              {driver_.Pick(200) == 0 ? "nothing" : name},
                              driver_.Pick(200) == 0 ? "Bearer x" : "Bearer t1",
                              request.key,
                              Sha256Hex(request.body),
                              std::chrono::milliseconds(
                                  driver_.Chance(20) ? driver_.Pick(800) : 0)});
    if (driver_.Chance(5)) {
      driver_.After(driver_.Delay(), [this, index, id] {
        driver_.met.Add("fault_caller_gone");
        requests_.at(id).has_disconnected = true;
        DeliverTo(index, requests_.at(id).incarnation, caller_disconnected{id});
      });
    }
  }

  // Delivers the set of live gateways every 500 ms; rarely omits a live one.
  void BroadcastMembers() {
    for (int to = 0; to < kGateways; ++to) {
      members_changed event;
      for (const gateway& other : gateways_) {
        const bool is_suspected = driver_.IsFaulty() && driver_.Pick(300) == 0;
        if (is_suspected) {
          driver_.Note("fault_false_suspicion", other.self.incarnation);
          last_change_ = driver_.now;
        }
        if (other.core && !is_suspected) {
          event.gateways.push_back(other.self);
        }
      }
      DeliverTo(to, gateways_[to].self.incarnation, event);
    }
    driver_.After(500ms, [this] { BroadcastMembers(); });
  }

  void InjectFault() {
    if (!driver_.IsFaulty()) {
      return;
    }
    const int index = driver_.Pick(kGateways);
    switch (driver_.Pick(10)) {
      case 0:
        Kill(index);
        break;
      case 1:
        driver_.Note("fault_gateway_paused", gateways_[index].self.incarnation);
        gateways_[index].paused_until = driver_.now + driver_.Delay() * 8;
        last_change_ = driver_.now + 40s;
        break;
      case 2:
        store_.is_down = !store_.is_down;
        driver_.Note(store_.is_down ? "fault_store_down" : "store_up");
        break;
      case 3:
        store_.is_slow = !store_.is_slow;
        driver_.Note(store_.is_slow ? "fault_store_slow" : "store_fast");
        break;
      case 4:
        store_.are_reads_stale = !store_.are_reads_stale;
        store_.Snapshot();
        break;
      case 5:
        Publish();
        driver_.Note("config_published");
        for (int i = 0; i < kGateways; ++i) {
          DeliverTo(i, gateways_[i].self.incarnation, config_changed{config_});
        }
        break;
      case 6:
        if (gateways_[index].core && !gateways_[index].is_stopping) {
          gateways_[index].is_stopping = true;
          driver_.Note("gateway_stop_requested",
                       gateways_[index].self.incarnation);
          DeliverTo(index, gateways_[index].self.incarnation, stop_requested{});
        }
        break;
      default:
        SetMode(driver_.Pick(kMinions),
                driver_.Chance(50) ? minion_mode::kGood
                                   : static_cast<minion_mode>(driver_.Pick(6)));
    }
    driver_.After(std::chrono::milliseconds(driver_.Pick(2'000)),
                  [this] { InjectFault(); });
  }

  void SetMode(int minion, minion_mode mode) {
    minions_[minion].mode = mode;
    driver_.Note(std::string("minion_") + kModeNames[static_cast<int>(mode)],
                 std::to_string(minion));
  }

  void ClearFaults() {
    store_.is_down = store_.is_slow = store_.are_reads_stale = false;
    for (fake_minion& minion : minions_) {
      minion.mode = minion_mode::kGood;
    }
    Publish();
    for (int i = 0; i < kGateways; ++i) {
      gateways_[i].paused_until = driver_.now;
      DeliverTo(i, gateways_[i].self.incarnation, config_changed{config_});
    }
  }

  // Checks that no request is left open or unanswered at the end of the run.
  void CheckEnd() {
    for (const auto& [id, request] : requests_) {
      const gateway& owner = gateways_[request.gateway];
      const bool is_alive =
          owner.core && owner.self.incarnation == request.incarnation;
      driver_.Check(
          !is_alive || request.replies == 1 || request.has_disconnected,
          "every_caller_is_answered r" + std::to_string(id));
    }
    for (const auto& [key, row] : store_.rows) {
      const claim_record claim = DecodeClaim(row.value).value();
      driver_.met.Add("claim_left_" + std::string(GetName(claim.state)));
      for (const gateway& owner : gateways_) {
        driver_.Check(
            claim.state != claim_state::kClaimed || claim.holder != owner.self,
            "live_holder_leaves_no_claim " + key);
      }
    }
    for (const gateway& owner : gateways_) {
      driver_.Check(!owner.core || owner.core->Load().open == 0,
                    "nothing_is_left_open");
    }
  }

  soak_driver driver_;
  soak_store store_;
  counter_table counters_;
  config_ptr config_;
  gateway gateways_[kGateways];
  fake_minion minions_[kMinions];
  std::map<request_id, caller_request> requests_;
  std::map<std::string, int> executions_;
  std::vector<std::string> keys_;
  request_id last_request_ = 0;
  int incarnations_ = 0;
  // Last change of membership or configuration; up to 40 s in the future after
  // a gateway was paused.
  instant last_change_;
};

}  // namespace

soak_result SoakRequests(const soak_options& options) {
  return requests_run(options).Run();
}

}  // namespace sassafras

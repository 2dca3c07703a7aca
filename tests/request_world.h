#ifndef SASSAFRAS_TESTS_REQUEST_WORLD_H_
#define SASSAFRAS_TESTS_REQUEST_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sassafras/core/digest.h"
#include "sassafras/request/claim_record.h"
#include "sassafras/request/request_core.h"

namespace sassafras {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Behaviour of a fake minion: kSilent does not answer, kResets closes the
/// connection after running the request, kRefuses accepts no connection,
/// kLeaving refuses with 503.
enum class minion_mode { kGood, kFails, kSilent, kResets, kRefuses, kLeaving };

/// Simulation in virtual time of several gateways with fake minions, table and
/// object store.
class request_world {
 public:
  struct fake_minion {
    minion_mode mode = minion_mode::kGood;
    duration work = milliseconds(10);
    int in_flight = 0;
    int max_in_flight = 0;
    int received = 0;
  };
  struct reply {
    bool is_answer = false;
    error_kind kind = error_kind::kInternal;
    run_outcome outcome = run_outcome::kRan;
    std::string body;
    instant at;
    duration retry_after{0};
  };
  struct gateway {
    gateway_member self;
    counter_table counters;
    std::unique_ptr<request_core> core;
    bool is_dead = false;
    instant paused_until;
    bool is_stopped = false;
    std::map<request_id, std::string> bodies;
    std::map<send_id, std::string> answers;
    std::map<request_id, std::string> loaded;
  };

  explicit request_world(int gateways, int minions, std::uint64_t seed = 1)
      : random_(seed) {
    auto published = std::make_shared<published_config>();
    config_set& objects = published->objects;
    team owner{{"heaters"}, 3, {}, {{token_role::kCaller, Sha256Hex("t1")}}};
    team other{{"dealers"}, 1, {}, {{token_role::kCaller, Sha256Hex("t2")}}};
    objects.teams = {{owner.id, owner}, {other.id, other}};
    AddClass(objects, "check", urgency::kUrgent, true, seconds(2), 20);
    AddClass(objects, "batch", urgency::kBatch, true, seconds(60), 10);
    AddClass(objects, "reset", urgency::kNormal, false, seconds(10), 5);
    target lab{{"lab"}, false, {}};
    for (int i = 0; i < minions; ++i) {
      const std::string name = "m" + std::to_string(i);
      lab.minions.push_back({{name}, name, {"lahore"}, 8, 64, false});
      minions_by_name[name];
    }
    objects.targets[lab.id] = lab;
    config = published;
    for (int i = 0; i < gateways; ++i) {
      AddGateway("g" + std::to_string(i), gateways);
    }
    SetMembers();
    Run(seconds(2));
  }

  void AddGateway(const std::string& name, int count) {
    auto added = std::make_shared<gateway>();
    added->self = {{name}, name + "." + std::to_string(++incarnations_)};
    added->core = std::make_unique<request_core>(
        request_options{added->self, {"lahore"}, count}, added->counters);
    gateways.push_back(added);
    Deliver(added, config_changed{config});
  }

  /// Delivers the set of live gateways to each of them, now and every 500 ms.
  void SetMembers() {
    members_changed event;
    for (const auto& item : gateways) {
      if (!item->is_dead) {
        event.gateways.push_back(item->self);
      }
    }
    for (const auto& item : gateways) {
      Deliver(item, event);
    }
    ScheduleAfter(milliseconds(500), [this] {
      if (refresh_members) {
        SetMembers();
      }
    });
  }

  std::shared_ptr<reply> Submit(int index,
                                const std::string& class_name,
                                const std::string& key = "",
                                const std::string& body = "b",
                                duration timeout = duration(0),
                                const std::string& token = "t1") {
    const auto& owner = gateways[index];
    const request_id id = ++requests_;
    owner->bodies[id] = body;
    auto result = std::make_shared<reply>();
    replies_[id] = result;
    Deliver(owner, request_arrived{id,
                                   {class_name},
                                   "Bearer " + token,
                                   key,
                                   Sha256Hex(body),
                                   timeout});
    last_request = id;
    return result;
  }

  void Deliver(const std::shared_ptr<gateway>& owner,
               const request_event& event) {
    if (owner->is_dead) {
      return;
    }
    if (owner->paused_until > now) {
      ScheduleAfter(owner->paused_until - now,
                    [this, owner, event] { Deliver(owner, event); });
      return;
    }
    for (request_action& action : owner->core->Handle(event, now, random_)) {
      if (owner->is_dead) {
        return;
      }
      std::visit([&](auto& item) { Execute(owner, item); }, action);
    }
    const auto wake = owner->core->NextWake();
    if (wake && (!wakes_.count(owner.get()) || *wake < wakes_[owner.get()])) {
      wakes_[owner.get()] = *wake;
      ScheduleAfter(std::max(duration(0), *wake - now), [this, owner] {
        wakes_.erase(owner.get());
        Deliver(owner, time_passed{});
      });
    }
  }

  void ScheduleAfter(duration delay, std::function<void()> callback) {
    events_.emplace(std::pair(now + delay, ++sequence_), std::move(callback));
  }

  void Run(duration length) {
    const instant end = now + length;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto node = events_.extract(events_.begin());
      now = node.key().first;
      node.mapped()();
    }
    now = end;
  }

  int MaxInFlight() const {
    int max_in_flight = 0;
    for (const auto& [name, item] : minions_by_name) {
      max_in_flight = std::max(max_in_flight, item.max_in_flight);
    }
    return max_in_flight;
  }

  int Executions(const std::string& key) const {
    const auto it = executions.find(key);
    return it == executions.end() ? 0 : it->second;
  }

  instant now{seconds(1000)};
  config_ptr config;
  std::vector<std::shared_ptr<gateway>> gateways;
  std::map<std::string, fake_minion> minions_by_name;
  std::map<std::string, int> executions;  ///< By idempotency key.
  std::map<std::string, table_row> rows;
  std::map<std::string, std::string> objects;
  bool is_store_unavailable = false;
  bool are_reads_stale = false;  ///< Reads return no row at all.
  bool drop_peer_messages = false;
  bool refresh_members = true;
  int lose_commit_answers = 0;  ///< Next commits whose answers are lost.
  /// Called before an action is executed, except for reads, slot messages,
  /// stored replies and housekeeping.
  std::function<void(gateway&, const request_action&)> before;
  request_id last_request = 0;

 private:
  static void AddClass(config_set& objects,
                       const std::string& name,
                       urgency order,
                       bool idempotent,
                       duration timeout,
                       int floor) {
    job_class added;
    added.id = {name};
    added.urgency_level = order;
    added.is_idempotent = idempotent;
    added.floor_percent = floor;
    added.target = target_id{"lab"};
    added.timeout = timeout;
    added.queue_limit = 1000;
    objects.classes[added.id] = added;
  }

  template <class Action>
  bool IsKilledBefore(gateway& owner, const Action& action) {
    if (before) {
      before(owner, action);
    }
    return owner.is_dead;
  }

  using owner_ptr = std::shared_ptr<gateway>;

  void Execute(const owner_ptr& owner, reply_error& action) {
    if (IsKilledBefore(*owner, action)) {
      return;
    }
    reply& stored_reply = *replies_.at(action.request);
    stored_reply.kind = action.failure.kind;
    stored_reply.outcome = action.outcome;
    stored_reply.at = now;
    stored_reply.retry_after = action.retry_after;
  }
  void Execute(const owner_ptr& owner, reply_answer& action) {
    if (IsKilledBefore(*owner, action)) {
      return;
    }
    Answer(action.request, owner->answers.at(action.send));
  }
  void Execute(const owner_ptr& owner, reply_stored& action) {
    Answer(action.request, owner->loaded.at(action.request));
  }
  void Answer(request_id request, const std::string& body) {
    reply& stored_reply = *replies_.at(request);
    stored_reply.is_answer = true;
    stored_reply.body = body;
    stored_reply.at = now;
  }
  void Execute(const owner_ptr& owner, send_request& action);
  void Execute(const owner_ptr& owner, commit_rows& action);
  void Execute(const owner_ptr& owner, read_rows& action);
  void Execute(const owner_ptr& owner, store_answer& action);
  void Execute(const owner_ptr& owner, load_answer& action);
  void Execute(const owner_ptr& owner, send_slot_message& action);
  void Execute(const owner_ptr& /*owner*/, trim_connections& /*action*/) {}
  void Execute(const owner_ptr& /*owner*/, request_ended& /*action*/) {}
  void Execute(const owner_ptr& owner, stop_completed& /*action*/) {
    owner->is_stopped = true;
  }

  random_engine random_;
  int incarnations_ = 0;
  request_id requests_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t versions_ = 0;
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events_;
  std::map<gateway*, instant> wakes_;
  std::map<request_id, std::shared_ptr<reply>> replies_;
  std::set<std::pair<gateway*, send_id>> open_sends_;
};

inline void request_world::Execute(const owner_ptr& owner,
                                   send_request& action) {
  if (IsKilledBefore(*owner, action)) {
    return;
  }
  fake_minion& minion = minions_by_name.at(action.address);
  open_sends_.insert({owner.get(), action.send});
  const auto end = [this, owner, &minion](send_ended event, bool was_working) {
    minion.in_flight -= was_working ? 1 : 0;
    if (open_sends_.erase({owner.get(), event.send}) > 0) {
      Deliver(owner, event);
    }
  };
  send_ended event{action.send, answer_state::kDone, 200, false};
  if (minion.mode == minion_mode::kRefuses) {
    event.state = answer_state::kNotDone;
    ScheduleAfter(milliseconds(1), [=] { end(event, false); });
    return;
  }
  if (minion.mode == minion_mode::kLeaving) {
    event.status = 503;
    event.refused_leaving = true;
    ScheduleAfter(milliseconds(1), [=] { end(event, false); });
    return;
  }
  ++minion.in_flight;
  ++minion.received;
  minion.max_in_flight = std::max(minion.max_in_flight, minion.in_flight);
  if (!action.key.empty()) {
    ++executions[action.key];
  }
  duration work = minion.work;
  if (minion.mode == minion_mode::kFails) {
    event.status = 500;
    work = milliseconds(1);
  } else if (minion.mode == minion_mode::kResets) {
    event.state = answer_state::kUnknown;
  } else if (minion.mode == minion_mode::kSilent) {
    event.state = answer_state::kUnknown;
    work = action.timeout;
  }
  owner->answers[action.send] = "ran " + owner->bodies.at(action.request);
  ScheduleAfter(std::min(work, action.timeout), [=] { end(event, true); });
}

inline void request_world::Execute(const owner_ptr& owner,
                                   commit_rows& action) {
  if (IsKilledBefore(*owner, action)) {
    return;
  }
  commit_answer answer{
      answer_state::kNotDone, error_kind::kStoreUnavailable, {}};
  duration delay = milliseconds(2);
  if (!is_store_unavailable) {
    for (const table_write& write : action.transaction) {
      if (rows[write.key].version != write.expected_version) {
        answer.reason = error_kind::kConflict;
        answer.rows.push_back(rows[write.key]);
        answer.rows.back().key = write.key;
      }
    }
    if (answer.rows.empty()) {
      answer.state = answer_state::kDone;
      for (const table_write& write : action.transaction) {
        rows[write.key] = {write.key, write.value, ++versions_};
        answer.rows.push_back({write.key, "", versions_});
      }
    }
    if (lose_commit_answers > 0) {
      --lose_commit_answers;
      answer = {answer_state::kUnknown, error_kind::kStoreUnknown, {}};
      delay = milliseconds(100);
    }
  }
  ScheduleAfter(delay, [=, this, call = action.call] {
    Deliver(owner, rows_committed{call, answer});
  });
}

inline void request_world::Execute(const owner_ptr& owner, read_rows& action) {
  read_answer answer;
  if (!is_store_unavailable) {
    answer.state = answer_state::kDone;
    for (const std::string& key : action.keys) {
      table_row row = are_reads_stale ? table_row() : rows[key];
      row.key = key;
      answer.rows.push_back(row);
    }
  }
  ScheduleAfter(milliseconds(1), [=, this, call = action.call] {
    Deliver(owner, rows_read{call, answer});
  });
}

inline void request_world::Execute(const owner_ptr& owner,
                                   store_answer& action) {
  if (IsKilledBefore(*owner, action)) {
    return;
  }
  answer_state state = answer_state::kNotDone;
  if (!is_store_unavailable) {
    objects[action.object] = owner->answers.at(action.send);
    state = answer_state::kDone;
  }
  ScheduleAfter(milliseconds(1), [=, this, request = action.request] {
    Deliver(owner, answer_stored{request, state});
  });
}

inline void request_world::Execute(const owner_ptr& owner,
                                   load_answer& action) {
  const auto it = objects.find(action.object);
  const bool is_found = !is_store_unavailable && it != objects.end();
  if (is_found) {
    owner->loaded[action.request] = it->second;
  }
  ScheduleAfter(milliseconds(1), [=, this, request = action.request] {
    Deliver(owner, answer_loaded{request, is_found, 200});
  });
}

inline void request_world::Execute(const owner_ptr& owner,
                                   send_slot_message& action) {
  if (drop_peer_messages) {
    return;
  }
  for (const auto& peer : gateways) {
    if (peer->self.id == action.to && peer != owner) {
      ScheduleAfter(milliseconds(1), [this, peer, message = action.message] {
        Deliver(peer, slot_message_received{message});
      });
    }
  }
}

}  // namespace sassafras

#endif  // SASSAFRAS_TESTS_REQUEST_WORLD_H_

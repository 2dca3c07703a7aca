#include "bench/request_policies.h"

#include <ctime>

#include <deque>
#include <optional>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

constexpr duration kNetworkTime = milliseconds(1);
constexpr duration kCommitTime = milliseconds(4);
constexpr duration kReadTime = milliseconds(2);
constexpr int kSlots = 8;

// Processor time of this thread, in nanoseconds stored as the unit of
// duration, so that short calls add up.
duration ProcessorNanoseconds() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return duration((time.tv_sec * 1'000'000'000LL) + time.tv_nsec);
}

// Carries out the actions of one request_core.
class core_gateway : public std::enable_shared_from_this<core_gateway> {
 public:
  core_gateway(request_sim& sim, int index)
      : sim_(sim),
        index_(index),
        core_({sim.Member(index), {"here"}, sim.Scenario().gateways},
              counters_) {}

  void Submit(const sim_request& request) {
    requests_[request.id] = request;
    Give(request_arrived{request.id, request.class_name,
                         "Bearer " + request.token, request.key, "digest",
                         duration(0)});
  }

  void Give(const request_event& event) {
    if (sim_.IsDead(index_)) {
      return;
    }
    const duration before = ProcessorNanoseconds();
    request_actions actions = core_.Handle(event, sim_.Now(), sim_.Random());
    sim_.AddProcessorTime(ProcessorNanoseconds() - before);
    for (request_action& action : actions) {
      std::visit([this](auto& item) { Do(item); }, action);
    }
    const auto wake = core_.NextWake();
    if (wake && (!wake_ || *wake < *wake_)) {
      wake_ = wake;
      sim_.At(std::max(duration(0), *wake - sim_.Now()),
              [self = shared_from_this(), at = *wake] {
                if (self->wake_ == at) {
                  self->wake_.reset();
                  self->Give(time_passed{});
                }
              });
    }
  }

 private:
  void Later(duration delay, request_event event) {
    sim_.At(delay, [self = shared_from_this(), event = std::move(event)] {
      self->Give(event);
    });
  }

  void EndSend(send_id send, answer_state state, int status) {
    if (open_sends_.erase(send) > 0) {
      Give(send_ended{send, state, status, false});
    }
  }

  void Do(reply_error& action) {
    sim_.Reply(requests_.at(action.request), false);
  }
  void Do(reply_answer& action) {
    sim_.Reply(requests_.at(action.request), true);
  }
  void Do(reply_stored& action) {
    sim_.Reply(requests_.at(action.request), true);
  }
  void Do(send_request& action) {
    open_sends_.insert(action.send);
    const int minion = request_sim::MinionIndex(action.address);
    const sim_request request = requests_.at(action.request);
    const auto self = shared_from_this();
    const send_id send = action.send;
    sim_.At(kNetworkTime, [self, minion, request, send] {
      self->sim_.Work(minion, request, [self, send](int status) {
        self->sim_.At(kNetworkTime, [self, send, status] {
          self->EndSend(send, answer_state::kDone, status);
        });
      });
    });
    sim_.At(action.timeout,
            [self, send] { self->EndSend(send, answer_state::kUnknown, 0); });
  }
  void Do(commit_rows& action) {
    commit_answer answer{answer_state::kNotDone, error_kind::kConflict, {}};
    for (const table_write& write : action.transaction) {
      if (sim_.Rows()[write.key].version != write.expected_version) {
        answer.rows.push_back(sim_.Rows()[write.key]);
        answer.rows.back().key = write.key;
      }
    }
    if (answer.rows.empty()) {
      answer.state = answer_state::kDone;
      for (const table_write& write : action.transaction) {
        table_row& row = sim_.Rows()[write.key];
        row = {write.key, write.value, row.version + 1};
        answer.rows.push_back({write.key, "", row.version});
      }
    }
    Later(kCommitTime, rows_committed{action.call, std::move(answer)});
  }
  void Do(read_rows& action) {
    read_answer answer{answer_state::kDone, {}};
    for (const std::string& key : action.keys) {
      answer.rows.push_back(sim_.Rows()[key]);
      answer.rows.back().key = key;
    }
    Later(kReadTime, rows_read{action.call, std::move(answer)});
  }
  void Do(store_answer& action) {
    Later(kCommitTime, answer_stored{action.request, answer_state::kDone});
  }
  void Do(load_answer& action) {
    Later(kReadTime, answer_loaded{action.request, true, 200});
  }
  void Do(send_slot_message& action) {
    sim_.Carry(action.to, std::move(action.message));
  }
  void Do(request_ended& action) { requests_.erase(action.request); }
  void Do(trim_connections& /*action*/) {}
  void Do(stop_completed& /*action*/) {}

  request_sim& sim_;
  int index_;
  counter_table counters_;
  request_core core_;
  std::map<request_id, sim_request> requests_;
  std::set<send_id> open_sends_;
  std::optional<instant> wake_;
};

// First in, first out over a fixed part of each minion's slots.
class round_robin_gateway
    : public std::enable_shared_from_this<round_robin_gateway> {
 public:
  round_robin_gateway(request_sim& sim, int index)
      : sim_(sim),
        index_(index),
        part_(std::max(1, kSlots / sim.Scenario().gateways)),
        in_work_(sim.Scenario().minions) {}

  void Submit(const sim_request& request) {
    queue_.push_back(request);
    Dispatch();
  }

 private:
  std::optional<int> NextMinion() {
    const int count = static_cast<int>(in_work_.size());
    for (int i = 0; i < count; ++i) {
      next_ = (next_ + 1) % count;
      if (in_work_[next_] < part_) {
        return next_;
      }
    }
    return std::nullopt;
  }

  void Dispatch() {
    while (!queue_.empty() && !sim_.IsDead(index_)) {
      const sim_request request = queue_.front();
      if (sim_.Now() >= request.sent + request.timeout) {
        queue_.pop_front();
        sim_.Reply(request, false);
        continue;
      }
      const auto minion = NextMinion();
      if (!minion) {
        return;
      }
      queue_.pop_front();
      Send(request, *minion);
    }
  }

  void Send(const sim_request& request, int minion) {
    ++in_work_[minion];
    const auto is_open = std::make_shared<bool>(true);
    const auto end = [self = shared_from_this(), request, minion,
                      is_open](bool is_answer) {
      if (*is_open && !self->sim_.IsDead(self->index_)) {
        *is_open = false;
        --self->in_work_[minion];
        self->sim_.Reply(request, is_answer);
        self->Dispatch();
      }
    };
    sim_.Work(minion, request, [this, end](int status) {
      sim_.At(2 * kNetworkTime, [end, status] { end(status == 200); });
    });
    sim_.At(request.sent + request.timeout - sim_.Now(), [end] { end(false); });
  }

  request_sim& sim_;
  int index_;
  int part_;
  int next_ = 0;
  std::vector<int> in_work_;
  std::deque<sim_request> queue_;
};

void SendAtRandom(request_sim& sim, int index, const sim_request& request) {
  std::uniform_int_distribution<int> pick(0, sim.Scenario().minions - 1);
  const auto end = [&sim, index, request](bool is_answer) {
    if (!sim.IsDead(index)) {
      sim.Reply(request, is_answer);
    }
  };
  sim.Work(pick(sim.Random()), request, [&sim, end](int status) {
    sim.At(2 * kNetworkTime, [end, status] { end(status == 200); });
  });
  sim.At(request.timeout, [end] { end(false); });
}

}  // namespace

sim_gateway MakeCoreGateway(request_sim& sim, int index) {
  const auto made = std::make_shared<core_gateway>(sim, index);
  made->Give(config_changed{sim.Config()});
  return {[made](const sim_request& request) { made->Submit(request); },
          [made](const std::vector<gateway_member>& members) {
            made->Give(members_changed{members});
          },
          [made](const slot_message& message) {
            made->Give(slot_message_received{message});
          }};
}

sim_gateway MakeRoundRobinGateway(request_sim& sim, int index) {
  const auto made = std::make_shared<round_robin_gateway>(sim, index);
  return {[made](const sim_request& request) { made->Submit(request); },
          [](const std::vector<gateway_member>&) {},
          [](const slot_message&) {}};
}

sim_gateway MakeRandomGateway(request_sim& sim, int index) {
  return {[&sim, index](const sim_request& request) {
            SendAtRandom(sim, index, request);
          },
          [](const std::vector<gateway_member>&) {},
          [](const slot_message&) {}};
}

}  // namespace sassafras

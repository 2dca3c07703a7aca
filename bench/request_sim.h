#ifndef SASSAFRAS_BENCH_REQUEST_SIM_H_
#define SASSAFRAS_BENCH_REQUEST_SIM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "sassafras/core/random.h"
#include "sassafras/request/request_core.h"

namespace sassafras {

/// What goes wrong in one run, a third into it.
enum class request_fault : std::uint8_t {
  kNone,
  kGatewayKilled,
  kMinionsFail,
  kMinionsSilent,
  kOneGateway,  ///< From the start the balancer uses one gateway only.
};

/// Load, faults and length of one run in virtual time.
struct request_scenario {
  std::string name;
  double batch_load = 2.0;  ///< Offered batch work, as a part of all slots.
  request_fault fault = request_fault::kNone;
  int gateways = 9;
  int minions = 50;
  int bad_minions = 5;  ///< Of kMinionsFail and kMinionsSilent.
  duration warmup = std::chrono::seconds(15);
  duration length = std::chrono::seconds(45);
};

/// One request of a caller in virtual time.
struct sim_request {
  request_id id = 0;
  class_id class_name;
  std::string token;
  std::string key;
  bool is_urgent = false;
  instant sent;
  duration timeout{0};
  duration work{0};
};

/// One minion: slots, and a queue of its own for what exceeds them.
struct sim_minion {
  int free_slots = 0;
  bool is_failing = false;
  bool is_silent = false;
  std::queue<std::function<void()>> waiting;
};

/// Figures of one run.
struct request_figures {
  std::vector<duration> urgent;  ///< Completion times, in the measured time.
  duration batch_work{0};        ///< Of batch requests answered in that time.
  int urgent_asked = 0;
  int urgent_answered = 0;
  int duplicates = 0;    ///< Further executions of non-idempotent requests.
  int lost_answers = 0;  ///< Requests without any reply at the end.
  int over_use = 0;      ///< Most requests beyond its slots at one minion.
  double core_us = 0;    ///< Processor time of decisions per request.
};

class request_sim;

/// How one gateway serves requests.
struct sim_gateway {
  std::function<void(const sim_request&)> submit;
  std::function<void(const std::vector<gateway_member>&)> set_members;
  std::function<void(const slot_message&)> take_message;
};

/// Makes the gateway with the given index.
using gateway_maker = std::function<sim_gateway(request_sim&, int index)>;

/// A discrete event loop over gateways, minions and a table service in virtual
/// time. Has no network: a message takes a fixed time.
class request_sim {
 public:
  request_sim(request_scenario scenario, std::uint64_t seed);

  request_figures Run(const gateway_maker& make);

  /// Calls `act` after `delay`.
  void At(duration delay, std::function<void()> act);

  /// Has `minion` work on `request`; `done` gets the HTTP status, and is never
  /// called by a silent one. Returns false if nothing can be sent.
  void Work(int minion,
            const sim_request& request,
            std::function<void(int status)> done);

  /// Tells a caller the end of its request.
  void Reply(const sim_request& request, bool is_answer);

  /// Carries a message to the gateway `to`.
  void Carry(const process_id& to, slot_message message);

  static int MinionIndex(const std::string& address);

  instant Now() const { return now_; }
  random_engine& Random() { return random_; }
  const config_ptr& Config() const { return config_; }
  const request_scenario& Scenario() const { return scenario_; }
  const gateway_member& Member(int index) const { return members_[index]; }
  bool IsDead(int gateway) const { return dead_[gateway]; }
  void AddProcessorTime(duration spent) { processor_time_ += spent; }

  /// Rows of the table service, shared by all gateways.
  std::map<std::string, table_row>& Rows() { return rows_; }

 private:
  struct event {
    instant at;
    std::uint64_t number;
    std::function<void()> act;
    bool operator>(const event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  struct outstanding {
    sim_request request;
    int gateway = 0;
  };

  void MakeConfig();
  void ScheduleLoad();
  void Arrive(const std::string& class_name, double per_second, duration mean);
  void Submit(const sim_request& request);
  void RefreshMembers();
  void BeginFault();
  void StartWork(int minion,
                 const sim_request& request,
                 const std::function<void(int)>& done);
  duration DrawWork(duration mean);

  request_scenario scenario_;
  random_engine random_;
  instant now_{std::chrono::seconds(1000)};
  instant start_ = now_;
  std::uint64_t numbers_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  config_ptr config_;
  std::vector<gateway_member> members_;
  std::vector<bool> dead_;
  std::vector<sim_gateway> gateways_;
  std::vector<sim_minion> minions_;
  std::vector<int> in_work_;
  std::map<request_id, outstanding> open_;
  std::map<std::string, int> executions_;
  std::map<std::string, table_row> rows_;
  request_id next_request_ = 1;
  int submitted_ = 0;
  duration processor_time_{0};
  request_figures figures_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_REQUEST_SIM_H_

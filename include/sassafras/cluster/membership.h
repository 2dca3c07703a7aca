#ifndef SASSAFRAS_CLUSTER_MEMBERSHIP_H_
#define SASSAFRAS_CLUSTER_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/id.h"
#include "sassafras/core/random.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// What is known of another process.
enum class member_state : std::uint8_t {
  kAlive,    ///< It answers, itself or through others.
  kSuspect,  ///< It did not answer; only this process holds that view.
  kDead,     ///< It did not answer for the whole time of suspicion.
  kLeft,     ///< It said that it stops.
};

/// Names of member_state: "alive", "suspect", "dead", "left".
std::string_view GetName(member_state state);

/// One process of the system. A process that was started anew has another
/// `start` and a greater `incarnation` than its former self.
struct member {
  process_id id;
  std::string role;     ///< "gateway" or "scheduler".
  std::string address;  ///< "IP:port" of its peer socket.
  place_id place;
  std::uint64_t start = 0;  ///< Wall-clock microseconds of its start: names
                            ///< one start, and tells which came later.
  std::uint64_t incarnation = 0;  ///< Grows when it contradicts its death.
  member_state state = member_state::kAlive;

  bool operator==(const member&) const = default;

  /// Whether work may be counted on it: alive or suspect.
  bool IsLive() const { return state <= member_state::kSuspect; }
};

/// Kinds of messages between members.
enum class member_message_kind : std::uint8_t {
  kPing,         ///< Asks for an acknowledgement.
  kAck,          ///< Answers a ping, or a ping request that was answered.
  kPingRequest,  ///< Asks the receiver to ping `subject`.
};

/// Names of member_message_kind on the wire.
std::string_view GetName(member_message_kind kind);

/// One message between members.
struct member_message {
  member_message_kind kind = member_message_kind::kPing;
  process_id sender;
  std::uint64_t start = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t config_version = 0;     ///< In force at the sender.
  std::uint64_t digest = 0;             ///< Of the sender's member table.
  bool is_full_sync_requested = false;  ///< The ack is to carry every member.
  member subject;                       ///< Of a ping request: id and address.
  std::vector<member> updates;
};

/// Settings of membership.
struct membership_options {
  duration period{500'000};       ///< One probe per period.
  duration ack_timeout{200'000};  ///< Then others are asked to probe.
  int indirect_probes = 3;
  int failed_periods = 5;                       ///< Without answer until death.
  duration dead_member_retention{600'000'000};  ///< Of dead members.
};

/// What the caller has to carry out.
struct member_actions {
  struct send {
    std::string address;
    member_message message;
  };
  struct version_seen {
    std::string address;
    std::uint64_t config_version = 0;
  };
  std::vector<send> sends;
  std::vector<std::string>
      links_to_reset;  ///< Links to replace before the sends.
  std::vector<version_seen> versions;
  bool has_changed = false;  ///< Members() differs from before.
  bool is_replaced = false;  ///< Another process runs under this name.
};

/// Which processes of the system live. Each period one other member is probed,
/// directly and then through others; one that fails is suspected and probed in
/// every further period, and dead after `failed_periods` in a row. Deaths and
/// joins are carried by the probes, so that traffic does not grow with the
/// number of members. A decision object; not safe for concurrent use.
class membership {
 public:
  /// `seeds` are the peers of the settings.
  membership(membership_options options,
             member self,
             std::vector<member> seeds,
             counter_table& counters);

  /// To be called every period / 5 or so.
  member_actions OnTick(instant now, random_engine& random);

  member_actions OnMessage(instant now,
                           const member_message& message,
                           random_engine& random);

  /// Takes in the names that the platform lists as gone or leaving. They are
  /// only probed sooner.
  void OnPlatformHint(const std::vector<process_id>& unavailable_ids);

  /// Version to be told to others.
  void SetConfigVersion(std::uint64_t version) { config_version_ = version; }

  /// Tells others that this process stops.
  member_actions Leave(random_engine& random);

  /// All members that live, this process included, in order of id.
  std::vector<member> Members() const;

  const member& Self() const { return self_; }

 private:
  struct peer {
    member info;
    bool is_seed = false;
    bool is_known = false;         // Has been heard of, not only a setting.
    bool has_acked_self = false;   // Answered this start of this process.
    int failed_probes = 0;         // Periods in a row without answer.
    int failed_direct_probes = 0;  // Probes in a row without direct answer.
    instant died_at;
    std::optional<instant> last_heard;
  };
  struct probe {
    process_id target;
    std::uint64_t sequence = 0;
    instant sent;
    bool is_indirect = false;
  };
  struct relay {
    std::uint64_t sequence = 0;          // Of this process's ping.
    std::uint64_t request_sequence = 0;  // Of the request.
    std::string requester_address;       // Address.
    process_id target;
    instant expires_at;
  };
  struct rumor {
    process_id id;
    int sends_left = 0;
  };

  void FinishProbes(instant now, member_actions& actions);
  void SendIndirectProbes(instant now,
                          random_engine& random,
                          member_actions& actions);
  void StartProbes(instant now, random_engine& random, member_actions& actions);
  void Probe(peer& target, instant now, member_actions& actions);
  void OnProbeFailure(peer& target, instant now, member_actions& actions);
  void EraseExpired(instant now);
  bool HasRecentContact(const process_id& except, instant now) const;
  std::optional<process_id> NextTarget(random_engine& random);
  std::vector<peer*> ChooseLive(std::size_t count,
                                const process_id& except,
                                random_engine& random);

  member_message NewMessage(member_message_kind kind, std::uint64_t sequence);
  void Send(const std::string& address,
            member_message message,
            member_actions& actions);
  void AddRumors(member_message& message);
  void QueueRumor(const process_id& id);
  void SendAck(const member_message& message, member_actions& actions);
  void OnAck(const member_message& message, member_actions& actions);
  void OnPingRequest(instant now,
                     const member_message& message,
                     member_actions& actions);
  void MergeMessage(instant now,
                    const member_message& message,
                    member_actions& actions);
  void Merge(instant now, const member& update, member_actions& actions);
  void MergeSelf(const member& update, member_actions& actions);
  void MarkAlive(peer& subject, member_actions& actions);
  void ProbeAbsent(random_engine& random, member_actions& actions);
  void DetectPause(instant now);
  std::uint64_t Digest() const;

  membership_options options_;
  member self_;
  counter_table& counters_;
  std::map<process_id, peer> peers_;
  std::vector<process_id> round_targets_;  // Still to be probed in this round.
  std::vector<process_id> priority_targets_;  // Probed first.
  std::vector<probe> probes_;
  std::vector<relay> relays_;
  std::deque<rumor> rumors_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t config_version_ = 0;
  std::optional<instant> next_period_;
  std::optional<instant> last_tick_;
  std::uint64_t period_number_ = 0;
  int digest_mismatches_ = 0;
  int acks_ = 0;
  bool is_replaced_ = false;
  bool has_left_ = false;
};

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_MEMBERSHIP_H_

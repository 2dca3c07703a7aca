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

/// State of a member as seen by this process.
enum class member_state : std::uint8_t {
  kAlive,    ///< It answers probes, directly or through other members.
  kSuspect,  ///< It did not answer a probe. Not advertised to other members.
  kDead,     ///< It answered no probe during the whole suspicion period.
  kLeft,     ///< It announced that it stops.
};

/// Name of `state`: "alive", "suspect", "dead" or "left".
std::string_view GetName(member_state state);

/// One process of the cluster. After a restart, a process has another `start`
/// and a greater `incarnation` than before.
struct member {
  process_id id;
  std::string role;     ///< "gateway" or "scheduler".
  std::string address;  ///< "IP:port" of its peer socket.
  place_id place;
  std::uint64_t start = 0;  ///< Wall-clock time of its start in microseconds;
                            ///< identifies and orders starts of one id.
  /// Raised by the process itself to override a record of it that is dead, left
  /// or from an earlier start.
  std::uint64_t incarnation = 0;
  member_state state = member_state::kAlive;

  bool operator==(const member&) const = default;

  /// Whether the member is treated as running: alive or suspect.
  bool IsLive() const { return state <= member_state::kSuspect; }
};

/// Kinds of messages between members.
enum class member_message_kind : std::uint8_t {
  kPing,         ///< Requests an acknowledgement.
  kAck,          ///< Acknowledges a ping, or a ping request whose subject
                 ///< answered.
  kPingRequest,  ///< Requests that the receiver ping `subject`.
};

/// Name of `kind` on the wire.
std::string_view GetName(member_message_kind kind);

/// One message between members.
struct member_message {
  member_message_kind kind = member_message_kind::kPing;
  process_id sender;
  std::uint64_t start = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t config_version = 0;  ///< Configuration in force at the sender.
  std::uint64_t digest = 0;          ///< Digest of the sender's live members.
  bool is_full_sync_requested = false;  ///< The ack must carry every member.
  /// Of a ping request: the member to ping (id and address are used). Of an ack
  /// to a ping request: the member that answered (id and start).
  member subject;
  std::vector<member> updates;  ///< Piggybacked states of members.
};

/// Options of membership.
struct membership_options {
  duration period{500'000};  ///< Interval between probes of the next member.
  /// If a probe is not acknowledged within this time, other members are asked
  /// to probe the same target.
  duration ack_timeout{200'000};
  int indirect_probes = 3;  ///< Number of members asked to probe a target.
  int failed_periods = 5;   ///< Consecutive failed probes until death.
  /// Time after which a dead or left member is erased.
  duration dead_member_retention{600'000'000};
};

/// Actions for the caller to carry out, and results to read.
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
  /// Addresses whose links are replaced by new ones before the sends.
  std::vector<std::string> links_to_reset;
  /// Configuration versions that peers reported.
  std::vector<version_seen> versions;
  bool has_changed = false;  ///< Members() differs from before the call.
  bool is_replaced = false;  ///< A later start of this process's id is running.
};

/// SWIM-style gossip membership: tracks which processes of the cluster are
/// running. In each period, one other member is probed, directly and then
/// through other members. A member that does not answer is suspected, probed
/// again in every following period, and declared dead after `failed_periods`
/// consecutive failures. Joins, leaves and deaths are piggybacked on the
/// probes, so that the traffic of a process does not grow with the number of
/// members. A state machine without I/O; not safe for concurrent use.
class membership {
 public:
  /// `seeds` are the peers listed in the settings. They are probed even while
  /// not known to run.
  membership(membership_options options,
             member self,
             std::vector<member> seeds,
             counter_table& counters);

  /// Probes members and detects failed ones. Must be called several times per
  /// period, for example every period / 5. A gap of more than one period
  /// between calls counts as a pause of this process.
  member_actions OnTick(instant now, random_engine& random);

  /// Processes a message from another member.
  member_actions OnMessage(instant now,
                           const member_message& message,
                           random_engine& random);

  /// Processes the ids that the platform lists as gone or leaving. Those
  /// members are probed next; their state does not change.
  void OnPlatformHint(const std::vector<process_id>& unavailable_ids);

  /// Sets the configuration version that messages to other members report.
  void SetConfigVersion(std::uint64_t version) { config_version_ = version; }

  /// Announces to other members that this process stops.
  member_actions Leave(random_engine& random);

  /// All live members in order of id, including this process unless it has left
  /// or been replaced.
  std::vector<member> Members() const;

  const member& Self() const { return self_; }

 private:
  struct peer {
    member info;
    bool is_seed = false;
    bool is_known = false;  // Reported by a member, not only by the settings.
    bool has_acked_self = false;   // Has acknowledged a ping of this process.
    int failed_probes = 0;         // Consecutive periods without an answer.
    int failed_direct_probes = 0;  // Consecutive probes without direct answer.
    instant died_at;
    std::optional<instant> last_heard;  // Last message received from the peer.
  };
  struct probe {
    process_id target;
    std::uint64_t sequence = 0;
    instant sent;
    bool is_indirect = false;
  };
  struct relay {
    std::uint64_t sequence = 0;          // Of the ping that this process sent.
    std::uint64_t request_sequence = 0;  // Of the ping request.
    std::string requester_address;
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
  std::vector<process_id> round_targets_;     // Not yet probed in this round.
  std::vector<process_id> priority_targets_;  // Probed before round_targets_.
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

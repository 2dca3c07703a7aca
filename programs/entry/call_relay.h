#ifndef SASSAFRAS_PROGRAMS_ENTRY_CALL_RELAY_H_
#define SASSAFRAS_PROGRAMS_ENTRY_CALL_RELAY_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "programs/entry/entry_peers.h"
#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_client.h"
#include "sassafras/net/table_port.h"

namespace sassafras {

/// Table of the store with the entry processes. The value of a row is the
/// status address.
inline constexpr char kEntryTable[] = "entries/";

/// Key of the row of process `id`. It begins with digits derived from the id,
/// so that neighbours in the order of keys are anywhere in the fleet.
std::string EntryKey(const std::string& id);

/// Header of a call that another entry process has passed on. Such a call comes
/// to the status address, and is not passed on again. Its value is the version
/// of the configuration below which the call must not be handled.
inline constexpr char kRelayedHeader[] = "x-relayed";

/// Header of the answer to such a call: the version by which it was handled.
inline constexpr char kHandledByVersionHeader[] = "x-handled-by-version";

/// Returns the version in the value of a header above; 0 if it is no number.
std::uint64_t ParseRelayedVersion(const std::string& text);

/// Result of passing a call on.
struct relay_answer {
  /// kDone: `response` is the peer's. kNotDone: no peer has acted on the call.
  /// kUnknown: one may have.
  answer_state state = answer_state::kNotDone;
  http_response response;
  std::uint64_t handled_by_version = 0;  ///< Of the configuration, if kDone.
};

/// Passes calls that this process cannot serve, because the store turns it
/// away, to another entry process. Registers this process in the store and
/// reads from there the few that follow it in the order of keys, so that the
/// cost does not grow with the fleet. Safe to use from several threads.
class call_relay : public std::enable_shared_from_this<call_relay> {
 public:
  struct hooks {
    /// Returns the monotonic time.
    std::function<instant()> now;
    /// Calls `action` once after `delay`.
    std::function<void(duration delay, std::function<void()> action)> after;
    /// Sends `request` to the status address `address` of another process.
    std::function<void(const std::string& address,
                       const http_request& request,
                       duration timeout,
                       std::function<void(http_answer)> done)>
        send;
  };

  /// `id` and `address` are those of this process. `table` must outlive the
  /// relay.
  static std::shared_ptr<call_relay> Make(const std::string& id,
                                          std::string address,
                                          const table_port& table,
                                          counter_table& counters,
                                          hooks hooks);

  /// Starts to register this process and to read its peers. Call once.
  void Start();

  /// Erases this process's row.
  void Stop();

  /// Passes `request` to one peer after another until one serves it by the
  /// configuration `min_version` or a newer one.
  void Relay(const http_request& request,
             std::uint64_t min_version,
             std::function<void(relay_answer)> done);

 private:
  // A call that is being passed on.
  struct relayed_call {
    http_request request;
    std::function<void(relay_answer)> done;
    std::set<std::string> asked;
    instant began;
    bool may_have_run = false;
  };

  call_relay(const std::string& id,
             std::string address,
             const table_port& table,
             counter_table& counters,
             hooks hooks);
  void ReadPeers();
  void ReadRows(const std::string& after, std::vector<table_row> rows);
  void ScheduleRead(duration delay);
  void ApplyRows(const std::vector<table_row>& rows);
  void Register(std::uint64_t version);
  void AskNext(const std::shared_ptr<relayed_call>& call);
  void OnAnswer(const std::shared_ptr<relayed_call>& call,
                const std::string& peer,
                const http_answer& answer);

  const std::string key_;  // Of the row of this process.
  const std::string address_;
  const table_port& table_;
  counter_table& counters_;
  const hooks hooks_;
  std::mutex mutex_;
  entry_peers peers_;
  // Versions of the rows of peers and when each was first seen, by key.
  std::map<std::string, std::pair<std::uint64_t, instant>> seen_;
  std::uint64_t own_version_ = 0;
  instant registered_at_;
  bool is_stopping_ = false;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_CALL_RELAY_H_

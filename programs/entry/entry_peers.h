#ifndef SASSAFRAS_PROGRAMS_ENTRY_ENTRY_PEERS_H_
#define SASSAFRAS_PROGRAMS_ENTRY_ENTRY_PEERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "sassafras/core/time.h"

namespace sassafras {

/// How a peer answered a call that was passed to it.
enum class peer_outcome : std::uint8_t {
  kServed,   ///< It answered for itself.
  kRefused,  ///< It cannot reach the store either.
  kSilent,   ///< No complete answer.
};

/// Chooses the entry process to which a call is passed while the store turns
/// this one away. Answers the load in which a part of the entry processes is
/// cut off from the store: their callers would have to come again elsewhere,
/// after a delay. If the store is away for all, peers are asked rarely. A state
/// machine without I/O. Not safe for concurrent use.
class entry_peers {
 public:
  explicit entry_peers(std::uint64_t seed) : random_(seed) {}

  /// Replaces the known peers, named by their addresses.
  void SetPeers(std::set<std::string> addresses);

  /// Returns the peer to ask next, except those in `asked`; empty if none is
  /// likely to help.
  std::optional<std::string> Choose(instant now,
                                    const std::set<std::string>& asked);

  void OnOutcome(instant now, const std::string& address, peer_outcome outcome);

  std::size_t Count() const { return addresses_.size(); }

 private:
  std::mt19937_64 random_;
  std::set<std::string> addresses_;
  std::map<std::string, instant> avoided_until_;  // By address.
  std::size_t refusals_in_a_row_ = 0;
  instant all_avoided_until_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_ENTRY_PEERS_H_

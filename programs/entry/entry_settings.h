#ifndef SASSAFRAS_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
#define SASSAFRAS_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/core/id.h"
#include "sassafras/core/time.h"
#include "sassafras/sched/policy_switches.h"

namespace sassafras {

/// Limits for messages of clients and servers that the operator does not
/// control. Settings key: limits.
struct message_limits {
  int request_header_bytes = 16 << 10;
  int request_header_fields = 100;
  int request_body_bytes = 1 << 20;
  /// Of all requests in progress or incomplete; 0: an eighth of the memory.
  int request_memory_mb = 0;
  int answer_body_bytes = 16 << 20;  ///< From the store, minions and policies.
  /// Of all answers that are incomplete; 0: a quarter of the memory.
  int answer_memory_mb = 0;
};

/// Settings of one entry process.
struct entry_settings {
  process_id id;
  place_id place;
  std::string callers;    ///< "IP:port" to listen on for callers.
  std::string readiness;  ///< "IP:port" to listen on for readiness checks.
  std::string status;     ///< "IP:port" to listen on for metrics and status.
  std::string store;      ///< "IP:port" of the platform's store.
  std::string advice;     ///< "IP:port" of the queues' policy; empty: none.
  std::string machines;   ///< "IP:port" of the machine service; empty: none.

  int threads = 1;
  double processor_share = 1;  ///< Cores that the process may use.
  double link_mbps = 0;      ///< Bandwidth of its network link; 0: not a limit.
  int descriptors = 0;       ///< Open file descriptors; 0: the system's limit.
  int memory_mb = 0;         ///< Memory of the machine; 0: the system's memory.
  int decision_lines = 150;  ///< Log lines per second about single decisions.
  /// Longest lease of a run on a minion. Settings key: greatest_lease.
  duration max_lease{6'000'000};
  duration stop_time{400'000};  ///< Longest time that stopping a run takes.
  duration checkpoint_interval{1'000'000};  ///< Of work, between checkpoints.
  duration restore_time{250'000};           ///< To resume from a checkpoint.
  /// Time within which a waiting guaranteed job must start.
  duration reclaim_time{2'900'000};
  duration revoke_time{5'000'000};  ///< Until a revoked key is refused.
  /// Within which nothing more is started in an evacuated data centre; 0: data
  /// centres are not evacuated.
  duration evacuate_time{0};
  duration stop_grace{6'000'000};  ///< From the stop signal to the kill.
  /// Time for which callers can ask for the state of an ended job.
  duration state_time{120'000'000};
  /// Time for which a submission that was not accepted is remembered: longer
  /// than a copy of it can be on its way.
  duration tombstone_time{3'600'000'000};
  message_limits limits;
  sched::policy_switches policy;
};

/// Settings as far as they could be read, and all faults of the file.
struct parsed_entry_settings {
  entry_settings settings;
  std::vector<config_fault> faults;
};

/// Parses the content `text` of the settings file `file`. The settings are
/// valid only if there are no faults. Never throws.
parsed_entry_settings ParseEntrySettings(const std::string& file,
                                         const std::string& text);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

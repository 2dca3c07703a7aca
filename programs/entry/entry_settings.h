#ifndef SASSAFRAS_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
#define SASSAFRAS_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/core/id.h"
#include "sassafras/core/time.h"

namespace sassafras {

/// Settings of one entry process.
struct entry_settings {
  process_id id;
  place_id place;
  std::string callers;    ///< "IP:port" where callers connect.
  std::string readiness;  ///< "IP:port" where the balancer asks.
  std::string status;     ///< "IP:port" of metrics and status pages.
  std::string store;      ///< "IP:port" of the platform's store.
  std::string advice;     ///< "IP:port" of the queues' policy; may be empty.
  std::string machines;   ///< "IP:port" of the service for machines; or empty.

  int threads = 1;
  double processor_share = 1;  ///< Cores that the process may use.
  int descriptors = 0;       ///< That the process may open; 0: ask the system.
  int decision_lines = 150;  ///< Log lines a second about single decisions.
  duration max_lease{6'000'000};            ///< Of what runs on a minion.
  duration stop_time{400'000};              ///< Longest time a stop takes.
  duration checkpoint_interval{1'000'000};  ///< Of work, between checkpoints.
  duration restore_time{250'000};           ///< To resume from a checkpoint.
  duration reclaim_time{2'900'000};  ///< Until a guaranteed job has begun.
  duration revoke_time{5'000'000};   ///< A taken key is refused after it.
  duration stop_grace{6'000'000};    ///< From a stop signal to the kill.
  duration state_time{120'000'000};  ///< Ended jobs can be asked for.
};

/// Settings that were read and every fault found.
struct parsed_entry_settings {
  entry_settings settings;
  std::vector<config_fault> faults;
};

/// Reads a settings file. Never throws.
parsed_entry_settings ParseEntrySettings(const std::string& file,
                                         const std::string& text);

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

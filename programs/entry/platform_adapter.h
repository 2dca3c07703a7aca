#ifndef SASSAFRAS_PROGRAMS_ENTRY_PLATFORM_ADAPTER_H_
#define SASSAFRAS_PROGRAMS_ENTRY_PLATFORM_ADAPTER_H_

#include <functional>
#include <optional>
#include <string>

#include "sassafras/core/result.h"
#include "sassafras/net/http_types.h"
#include "sassafras/net/table_port.h"
#include "sassafras/sched/caller.h"
#include "sassafras/sched/evacuations.h"
#include "sassafras/sched/minion_orders.h"
#include "sassafras/sched/service_config.h"
#include "sassafras/sched/upkeep_core.h"

namespace sassafras {

/// Interface of an entry process to the users' platform: ports to the store,
/// the minions and the machines, the keys of rows that others write to the
/// store, and functions that decode and encode the platform's formats.
struct platform_adapter {
  table_port table;
  sched::order_port orders;
  sched::machine_port machines;  ///< Empty hooks: no machine service.

  std::string config_table;  ///< Key prefix of the operator's table.
  std::string config_key;    ///< Key of the row with the configuration.
  std::function<result<sched::service_config>(const std::string& text)>
      decode_config;

  /// Returns nothing if `row` is not an upkeep wave.
  std::function<std::optional<sched::upkeep_wave>(const table_row& row)>
      decode_wave;
  std::function<table_write(const sched::wave_status& status)>
      encode_wave_status;
  /// Returns nothing if `row` does not evacuate a data centre.
  std::function<std::optional<sched::evacuation_row>(const table_row& row)>
      decode_evacuation;

  std::string minion_table;  ///< Key prefix of the list of minions.
  std::function<result<sched::minion_report>(const table_row& row)>
      decode_minion;

  std::function<sched::caller_call(const http_request& request)> decode_call;
  std::function<result<sched::job_spec>(const std::string& body)> decode_job;
  std::function<http_response(const sched::caller_answer& answer)>
      encode_answer;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_ENTRY_PLATFORM_ADAPTER_H_

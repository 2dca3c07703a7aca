#include "sassafras/sched/upkeep_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sassafras::sched {
namespace {

using nlohmann::json;

constexpr int kRowFormat = 1;

}  // namespace

std::string WaveKey(std::int64_t number) {
  return kWaveTable + std::to_string(number);
}

std::string EncodeWaveRecord(const wave_record& record) {
  json machines = json::array();
  for (const recorded_upkeep& upkeep : record.machines) {
    machines.push_back(
        json::array({upkeep.machine, upkeep.minion, upkeep.is_settled}));
  }
  return json{{"format", kRowFormat},
              {"wave", record.wave},
              {"complete", record.is_complete},
              {"machines", std::move(machines)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<wave_record> DecodeWaveRecord(const std::string& text) {
  try {
    const json document = json::parse(text);
    wave_record record;
    record.wave = document.at("wave");
    record.is_complete = document.at("complete");
    for (const json& row : document.at("machines")) {
      record.machines.push_back({row.at(0), row.at(1), row.at(2)});
    }
    return record;
  } catch (const json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

}  // namespace sassafras::sched

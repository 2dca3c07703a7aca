#ifndef SASSAFRAS_SCHED_UPKEEP_CODEC_H_
#define SASSAFRAS_SCHED_UPKEEP_CODEC_H_

#include <cstdint>
#include <string>

#include "sassafras/core/result.h"
#include "sassafras/sched/upkeep_core.h"

namespace sassafras::sched {

/// Table of the store with the progress of upkeep waves, one wave_record each.
inline constexpr char kWaveTable[] = "waves/";

/// Key of the row with the record of wave `number`.
std::string WaveKey(std::int64_t number);

/// Encodes a record as JSON; invalid UTF-8 in texts is replaced.
std::string EncodeWaveRecord(const wave_record& record);

/// Decodes a record; kMalformed if it is not JSON, or if a field is missing or
/// has another type.
result<wave_record> DecodeWaveRecord(const std::string& text);

}  // namespace sassafras::sched

#endif  // SASSAFRAS_SCHED_UPKEEP_CODEC_H_

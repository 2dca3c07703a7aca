#ifndef SASSAFRAS_CONFIG_CONFIG_PARSE_H_
#define SASSAFRAS_CONFIG_CONFIG_PARSE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/config/config_set.h"
#include "sassafras/core/result.h"

namespace sassafras {

/// One YAML file of an object set.
struct source_file {
  std::string name;  ///< Relative name, shown in faults.
  std::string text;
};

/// What to do with keys that this version does not know.
enum class unknown_keys : std::uint8_t {
  kRefuse,  ///< A fault: for sets that an operator checks or publishes.
  kIgnore,  ///< Skipped: for sets that a newer version published.
};

/// The objects that could be read and every fault found.
struct parsed_config {
  config_set objects;
  std::vector<config_fault> faults;
};

/// Reads all `files` and checks the whole set together: syntax, units, ranges,
/// duplicate and dangling names, shapes that no rack or place can form, and
/// guarantees that cannot be placed together. Never throws.
parsed_config ParseConfigSet(const std::vector<source_file>& files,
                             unknown_keys rule);

/// Encodes `files` as the content of a publication (JSON).
std::string EncodeSources(const std::vector<source_file>& files);

/// Decodes the content of a publication. Fails with kMalformed.
result<std::vector<source_file>> DecodeSources(std::string_view content);

/// Decodes and checks the content of publication `version`. Fails with
/// kMalformed or kInvalidConfig.
result<config_ptr> LoadPublishedConfig(std::uint64_t version,
                                       const std::string& content);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_CONFIG_PARSE_H_

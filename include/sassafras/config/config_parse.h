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
  std::string name;  ///< Relative file name, shown in faults.
  std::string text;
};

/// How to handle keys that this version does not know.
enum class unknown_keys : std::uint8_t {
  kRefuse,  ///< Report a fault, for sets that an operator checks or publishes.
  kIgnore,  ///< Skip the key, for sets that a newer version published.
};

/// The objects that could be read, and all faults found.
struct parsed_config {
  config_set objects;
  std::vector<config_fault> faults;
};

/// Reads all `files` and checks them as one set: syntax, units, ranges,
/// duplicate names, references to undefined names, shapes that no rack or place
/// can form, and guarantees that cannot be placed together. Never throws.
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

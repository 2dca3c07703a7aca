#ifndef SASSAFRAS_CONFIG_YAML_READER_H_
#define SASSAFRAS_CONFIG_YAML_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/config/config_fault.h"
#include "sassafras/config/config_parse.h"
#include "sassafras/core/time.h"

namespace YAML {
class Node;
}  // namespace YAML

namespace sassafras {

/// Parses "250us", "3ms", "6s", "5min" or "2h"; empty if the unit is missing
/// or unknown, or the amount is negative or too large.
std::optional<duration> ParseDuration(std::string_view text);

/// Parses "512MB", "256GB" or "1TB" into 10^6 bytes; empty if wrong.
std::optional<std::int64_t> ParseMegabytes(std::string_view text);

/// Reads one YAML map key by key and collects faults. Each reading method
/// returns the fallback and adds a fault if the value is wrong; Finish()
/// reports keys that no method asked for.
class yaml_reader {
 public:
  /// `node` must outlive the reader. `path` is the prefix of keys in faults.
  yaml_reader(const YAML::Node& node,
              std::string file,
              std::string path,
              std::vector<config_fault>& faults);

  /// Whether `key` is present.
  bool Has(const std::string& key);

  /// A string; a fault if absent and `fallback` is empty.
  std::string ReadString(const std::string& key,
                         std::optional<std::string> fallback = std::nullopt);

  /// A name valid for name_id; a fault if absent and `fallback` is empty.
  std::string ReadName(const std::string& key,
                       std::optional<std::string> fallback = std::nullopt);

  /// A whole number from `low` to `high`.
  std::int64_t ReadInteger(const std::string& key,
                           std::int64_t low,
                           std::int64_t high,
                           std::optional<std::int64_t> fallback = std::nullopt);

  bool ReadBool(const std::string& key, bool fallback);

  /// A duration with unit from `low` to `high`.
  duration ReadDuration(const std::string& key,
                        duration low,
                        duration high,
                        std::optional<duration> fallback = std::nullopt);

  /// An amount of memory with unit, in 10^6 bytes.
  std::int64_t ReadMegabytes(
      const std::string& key,
      std::optional<std::int64_t> fallback = std::nullopt);

  /// One of `names`; returns its index.
  int ReadChoice(const std::string& key,
                 const std::vector<std::string_view>& names,
                 std::optional<int> fallback = std::nullopt);

  /// Calls `read` with a reader for each map of the list `key`, which may be
  /// absent.
  void ReadList(const std::string& key,
                const std::function<void(yaml_reader&)>& read,
                unknown_keys rule = unknown_keys::kRefuse);

  /// The list of strings `key`, which may be absent.
  std::vector<std::string> ReadStrings(const std::string& key);

  /// Calls `read` with a reader for the map `key`, which may be absent.
  void ReadMap(const std::string& key,
               const std::function<void(yaml_reader&)>& read,
               unknown_keys rule = unknown_keys::kRefuse);

  /// Adds a fault at `key` (or at the map itself if `key` is empty).
  void AddFault(const std::string& key,
                std::string problem,
                std::string expected);

  /// Adds a fault for each key that was not read.
  void Finish(unknown_keys rule);

  /// Line of the map, from 1.
  int Line() const { return line_; }

 private:
  std::optional<std::string> ReadScalar(const std::string& key,
                                        bool required,
                                        std::string_view expected);

  const YAML::Node& node_;
  std::string file_;
  std::string path_;
  std::vector<config_fault>& faults_;
  int line_ = 0;
  std::set<std::string> read_keys_;
};

/// Parses `text` and calls `read` with a reader of its top map, then reports
/// unread keys by `rule`. Syntax errors become one fault.
void ReadYaml(const std::string& file,
              const std::string& text,
              unknown_keys rule,
              std::vector<config_fault>& faults,
              const std::function<void(yaml_reader&)>& read);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_YAML_READER_H_

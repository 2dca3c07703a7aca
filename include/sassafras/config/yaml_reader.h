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

/// Parses a duration such as "250us", "3ms", "6s", "5min" or "2h"; empty if the
/// unit is missing or unknown, or the amount is negative or too large.
std::optional<duration> ParseDuration(std::string_view text);

/// Parses an amount of memory such as "512MB", "256GB" or "1TB" into units of
/// 10^6 bytes; empty on the same conditions as ParseDuration().
std::optional<std::int64_t> ParseMegabytes(std::string_view text);

/// Reads one YAML map key by key and collects faults. If a value is invalid,
/// the reading method adds a fault and returns the fallback, or a default value
/// if there is none. Finish() adds faults for keys that no method has read.
class yaml_reader {
 public:
  /// `node` must outlive the reader. `path` is the prefix of keys in faults.
  yaml_reader(const YAML::Node& node,
              std::string file,
              std::string path,
              std::vector<config_fault>& faults);

  /// Whether `key` is present.
  bool Has(const std::string& key);

  /// Reads a string. An absent key is a fault if `fallback` is empty; this also
  /// applies to the methods below that have an optional fallback.
  std::string ReadString(const std::string& key,
                         std::optional<std::string> fallback = std::nullopt);

  /// Reads a name that is valid for name_id.
  std::string ReadName(const std::string& key,
                       std::optional<std::string> fallback = std::nullopt);

  /// Reads a whole number from `low` to `high`.
  std::int64_t ReadInteger(const std::string& key,
                           std::int64_t low,
                           std::int64_t high,
                           std::optional<std::int64_t> fallback = std::nullopt);

  /// Reads "true" or "false".
  bool ReadBool(const std::string& key, bool fallback);

  /// Reads a duration with a unit, from `low` to `high`.
  duration ReadDuration(const std::string& key,
                        duration low,
                        duration high,
                        std::optional<duration> fallback = std::nullopt);

  /// Reads an amount of memory with a unit, in units of 10^6 bytes.
  std::int64_t ReadMegabytes(
      const std::string& key,
      std::optional<std::int64_t> fallback = std::nullopt);

  /// Reads one of `names`; returns its index.
  int ReadChoice(const std::string& key,
                 const std::vector<std::string_view>& names,
                 std::optional<int> fallback = std::nullopt);

  /// Calls `read` with a reader for each map of the list `key`, which may be
  /// absent.
  void ReadList(const std::string& key,
                const std::function<void(yaml_reader&)>& read,
                unknown_keys rule = unknown_keys::kRefuse);

  /// Reads the list of strings `key`, which may be absent.
  std::vector<std::string> ReadStrings(const std::string& key);

  /// Calls `read` with a reader for the map `key`, which may be absent.
  void ReadMap(const std::string& key,
               const std::function<void(yaml_reader&)>& read,
               unknown_keys rule = unknown_keys::kRefuse);

  /// Adds a fault at `key` (or at the map itself if `key` is empty).
  void AddFault(const std::string& key,
                std::string problem,
                std::string expected);

  /// Adds a fault for each duplicate key and, according to `rule`, for each key
  /// that was not read.
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

/// Parses `text` and calls `read` with a reader for its top-level map, then
/// handles unread keys according to `rule`. A syntax error becomes one fault.
void ReadYaml(const std::string& file,
              const std::string& text,
              unknown_keys rule,
              std::vector<config_fault>& faults,
              const std::function<void(yaml_reader&)>& read);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_YAML_READER_H_

#include "sassafras/config/yaml_reader.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace sassafras {
namespace {

struct unit {
  std::string_view suffix;
  std::int64_t factor;
};

constexpr std::array<unit, 5> kTimeUnits = {{{"us", 1},
                                             {"ms", 1'000},
                                             {"s", 1'000'000},
                                             {"min", 60'000'000},
                                             {"h", 3'600'000'000}}};
constexpr std::array<unit, 3> kMemoryUnits = {
    {{"MB", 1}, {"GB", 1'000}, {"TB", 1'000'000}}};
constexpr std::int64_t kMaxAmount = 1'000'000'000;

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, value);
  if (code != std::errc() || end != last) {
    return std::nullopt;
  }
  return value;
}

template <std::size_t N>
std::optional<std::int64_t> ParseAmount(std::string_view text,
                                        const std::array<unit, N>& units) {
  const std::size_t split = text.find_first_not_of("0123456789");
  if (split == 0 || split == std::string_view::npos) {
    return std::nullopt;
  }
  const auto amount = ParseInteger(text.substr(0, split));
  const std::string_view suffix = text.substr(split);
  const auto it = std::find_if(units.begin(), units.end(), [&](const unit& u) {
    return u.suffix == suffix;
  });
  if (!amount || *amount > kMaxAmount || it == units.end()) {
    return std::nullopt;
  }
  return *amount * it->factor;
}

std::string Join(const std::vector<std::string_view>& names) {
  std::string text = "one of";
  for (const std::string_view name : names) {
    text += ' ';
    text += name;
  }
  return text;
}

std::string ToText(duration value) {
  return std::to_string(value.count()) + "us";
}

int LineOf(const YAML::Node& node) {
  return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

}  // namespace

std::optional<duration> ParseDuration(std::string_view text) {
  const auto amount = ParseAmount(text, kTimeUnits);
  if (!amount) {
    return std::nullopt;
  }
  return duration(*amount);
}

std::optional<std::int64_t> ParseMegabytes(std::string_view text) {
  return ParseAmount(text, kMemoryUnits);
}

std::string ToString(const config_fault& fault) {
  std::string text = fault.file;
  if (fault.line > 0) {
    text += ':' + std::to_string(fault.line);
  }
  text += ": ";
  if (!fault.key.empty()) {
    text += fault.key + ": ";
  }
  return text + fault.problem + "; expected " + fault.expected;
}

yaml_reader::yaml_reader(const YAML::Node& node,
                         std::string file,
                         std::string path,
                         std::vector<config_fault>& faults)
    : node_(node),
      file_(std::move(file)),
      path_(std::move(path)),
      faults_(faults),
      line_(LineOf(node)) {}

void yaml_reader::AddFault(const std::string& key,
                           std::string problem,
                           std::string expected) {
  int line = line_;
  if (!key.empty() && node_.IsMap() && node_[key].IsDefined()) {
    line = LineOf(node_[key]);
  }
  const std::string separator = path_.empty() || key.empty() ? "" : ".";
  faults_.push_back({file_, line, path_ + separator + key, std::move(problem),
                     std::move(expected)});
}

bool yaml_reader::Has(const std::string& key) {
  return node_.IsMap() && node_[key].IsDefined();
}

std::optional<std::string> yaml_reader::ReadScalar(const std::string& key,
                                                   bool required,
                                                   std::string_view expected) {
  read_keys_.insert(key);
  if (!Has(key)) {
    if (required) {
      AddFault(key, "is missing", std::string(expected));
    }
    return std::nullopt;
  }
  const YAML::Node value = node_[key];
  if (!value.IsScalar()) {
    AddFault(key, "is not a single value", std::string(expected));
    return std::nullopt;
  }
  return value.Scalar();
}

std::string yaml_reader::ReadString(const std::string& key,
                                    std::optional<std::string> fallback) {
  return ReadScalar(key, !fallback, "a string")
      .value_or(fallback.value_or(std::string()));
}

std::string yaml_reader::ReadName(const std::string& key,
                                  std::optional<std::string> fallback) {
  constexpr std::string_view kExpected =
      "1 to 128 letters, digits, '-', '_' or '.'";
  const auto text = ReadScalar(key, !fallback, kExpected);
  if (!text) {
    return fallback.value_or(std::string());
  }
  if (!IsValidName(*text)) {
    AddFault(key, "'" + *text + "' is not a valid name",
             std::string(kExpected));
    return fallback.value_or(std::string());
  }
  return *text;
}

std::int64_t yaml_reader::ReadInteger(const std::string& key,
                                      std::int64_t low,
                                      std::int64_t high,
                                      std::optional<std::int64_t> fallback) {
  const std::string expected = "a whole number from " + std::to_string(low) +
                               " to " + std::to_string(high);
  const auto text = ReadScalar(key, !fallback, expected);
  if (!text) {
    return fallback.value_or(low);
  }
  const auto value = ParseInteger(*text);
  if (!value || *value < low || *value > high) {
    AddFault(key, "'" + *text + "' is not a whole number or is out of range",
             expected);
    return fallback.value_or(low);
  }
  return *value;
}

bool yaml_reader::ReadBool(const std::string& key, bool fallback) {
  constexpr std::string_view kExpected = "true or false";
  const auto text = ReadScalar(key, false, kExpected);
  if (!text) {
    return fallback;
  }
  if (*text != "true" && *text != "false") {
    AddFault(key, "'" + *text + "' is not a boolean value",
             std::string(kExpected));
    return fallback;
  }
  return *text == "true";
}

duration yaml_reader::ReadDuration(const std::string& key,
                                   duration low,
                                   duration high,
                                   std::optional<duration> fallback) {
  const std::string expected = "a duration from " + ToText(low) + " to " +
                               ToText(high) +
                               " with a unit (us, ms, s, min or h), such as 5s";
  const auto text = ReadScalar(key, !fallback, expected);
  if (!text) {
    return fallback.value_or(low);
  }
  const auto value = ParseDuration(*text);
  if (!value || *value < low || *value > high) {
    AddFault(key, "'" + *text + "' is out of range or has a wrong unit",
             expected);
    return fallback.value_or(low);
  }
  return *value;
}

std::int64_t yaml_reader::ReadMegabytes(const std::string& key,
                                        std::optional<std::int64_t> fallback) {
  constexpr std::string_view kExpected =
      "an amount with a unit (MB, GB or TB), such as 256GB";
  const auto text = ReadScalar(key, !fallback, kExpected);
  if (!text) {
    return fallback.value_or(0);
  }
  const auto value = ParseMegabytes(*text);
  if (!value) {
    AddFault(key, "'" + *text + "' has a wrong unit", std::string(kExpected));
    return fallback.value_or(0);
  }
  return *value;
}

int yaml_reader::ReadChoice(const std::string& key,
                            const std::vector<std::string_view>& names,
                            std::optional<int> fallback) {
  const std::string expected = Join(names);
  const auto text = ReadScalar(key, !fallback, expected);
  if (!text) {
    return fallback.value_or(0);
  }
  const auto it = std::find(names.begin(), names.end(), *text);
  if (it == names.end()) {
    AddFault(key, "'" + *text + "' is unknown", expected);
    return fallback.value_or(0);
  }
  return static_cast<int>(it - names.begin());
}

void yaml_reader::ReadList(const std::string& key,
                           const std::function<void(yaml_reader&)>& read,
                           unknown_keys rule) {
  read_keys_.insert(key);
  if (!Has(key)) {
    return;
  }
  const YAML::Node list = node_[key];
  if (!list.IsSequence()) {
    AddFault(key, "is not a list", "a list of maps");
    return;
  }
  const std::string prefix = path_.empty() ? key : path_ + '.' + key;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const YAML::Node item = list[i];
    yaml_reader reader(item, file_, prefix + '[' + std::to_string(i) + ']',
                       faults_);
    if (!item.IsMap()) {
      reader.AddFault("", "is not a map", "a map of keys and values");
      continue;
    }
    read(reader);
    reader.Finish(rule);
  }
}

std::vector<std::string> yaml_reader::ReadStrings(const std::string& key) {
  read_keys_.insert(key);
  std::vector<std::string> values;
  if (!Has(key)) {
    return values;
  }
  const YAML::Node list = node_[key];
  if (!list.IsSequence()) {
    AddFault(key, "is not a list", "a list of strings");
    return values;
  }
  for (const YAML::Node& item : list) {
    if (!item.IsScalar()) {
      AddFault(key, "has an entry that is not a string", "a list of strings");
      continue;
    }
    values.push_back(item.Scalar());
  }
  return values;
}

void yaml_reader::ReadMap(const std::string& key,
                          const std::function<void(yaml_reader&)>& read,
                          unknown_keys rule) {
  read_keys_.insert(key);
  if (!Has(key)) {
    return;
  }
  const YAML::Node map = node_[key];
  yaml_reader reader(map, file_, path_.empty() ? key : path_ + '.' + key,
                     faults_);
  if (!map.IsMap()) {
    reader.AddFault("", "is not a map", "a map of keys and values");
    return;
  }
  read(reader);
  reader.Finish(rule);
}

void yaml_reader::Finish(unknown_keys rule) {
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    const std::string key =
        entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
    if (!seen.insert(key).second) {
      AddFault(key, "occurs more than once", "each key once");
    }
    if (rule == unknown_keys::kRefuse && read_keys_.count(key) == 0) {
      std::vector<std::string_view> names(read_keys_.begin(), read_keys_.end());
      AddFault(key, "is an unknown key", Join(names));
    }
  }
}

void ReadYaml(const std::string& file,
              const std::string& text,
              unknown_keys rule,
              std::vector<config_fault>& faults,
              const std::function<void(yaml_reader&)>& read) {
  // yaml-cpp reports errors by exceptions, which are converted to faults here.
  try {
    const YAML::Node root = YAML::Load(text);
    yaml_reader reader(root, file, "", faults);
    if (!root.IsMap()) {
      reader.AddFault("", "is not a map at the top level",
                      "a map of keys and values");
      return;
    }
    read(reader);
    reader.Finish(rule);
  } catch (const YAML::Exception& failure) {
    const int line = failure.mark.is_null() ? 0 : failure.mark.line + 1;
    faults.push_back({file, line, "", failure.msg, "valid YAML"});
  }
}

}  // namespace sassafras

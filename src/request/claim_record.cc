#include "sassafras/request/claim_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace sassafras {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;
constexpr std::array<std::string_view, 4> kStateNames = {"claimed", "released",
                                                         "answered", "unknown"};

std::optional<claim_state> FindState(std::string_view name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == name) {
      return static_cast<claim_state>(i);
    }
  }
  return std::nullopt;
}

// Removes the string field `name` from `fields` and returns it; empty if there
// is none. The fields that remain at the end are unknown to this version.
std::string ExtractString(json& fields, const char* name) {
  const auto it = fields.find(name);
  if (it == fields.end() || !it->is_string()) {
    return {};
  }
  std::string value = it->get<std::string>();
  fields.erase(it);
  return value;
}

}  // namespace

std::string_view GetName(claim_state state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::string ClaimRowKey(const team_id& team, std::string_view key) {
  return "claim/" + team.value + "/" + std::string(key);
}

std::string EncodeClaim(const claim_record& record) {
  json fields = json::parse(record.extra, nullptr, false);
  if (!fields.is_object()) {
    fields = json::object();
  }
  fields["format"] = kFormat;
  fields["state"] = GetName(record.state);
  fields["body_sha256"] = record.body_sha256;
  fields["class"] = record.class_name.value;
  fields["holder"] = record.holder.id.value;
  fields["incarnation"] = record.holder.incarnation;
  fields["token"] = record.token;
  if (!record.object.empty()) {
    fields["object"] = record.object;
  }
  return fields.dump();
}

result<claim_record> DecodeClaim(std::string_view text) {
  json fields = json::parse(text, nullptr, false);
  if (!fields.is_object() || !fields.contains("format") ||
      fields["format"] != kFormat) {
    return Fail(error_kind::kMalformed,
                "claim row: not a JSON object of a supported format");
  }
  const auto state = FindState(ExtractString(fields, "state"));
  claim_record record;
  record.body_sha256 = ExtractString(fields, "body_sha256");
  record.class_name.value = ExtractString(fields, "class");
  record.holder.id.value = ExtractString(fields, "holder");
  record.holder.incarnation = ExtractString(fields, "incarnation");
  record.token = ExtractString(fields, "token");
  record.object = ExtractString(fields, "object");
  if (!state || record.token.empty()) {
    return Fail(error_kind::kMalformed,
                "claim row: state unknown or token missing");
  }
  record.state = *state;
  fields.erase("format");
  record.extra = fields.empty() ? std::string() : fields.dump();
  return record;
}

}  // namespace sassafras

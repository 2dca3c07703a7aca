#include "sassafras/cluster/config_follower.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "sassafras/core/invariant.h"

namespace sassafras {
namespace {

constexpr int kRowFormat = 1;

std::uint64_t VersionOf(const config_ptr& config) {
  return config ? config->version : 0;
}

}  // namespace

std::string EncodeConfigRow(const config_row& row) {
  return nlohmann::json{{"format", kRowFormat},
                        {"version", row.version},
                        {"object", row.object},
                        {"sha256", row.sha256},
                        {"token", row.token}}
      .dump();
}

result<config_row> DecodeConfigRow(std::string_view text) {
  try {
    const auto document = nlohmann::json::parse(text);
    config_row row;
    row.version = document.at("version");
    row.object = document.at("object");
    row.sha256 = document.at("sha256");
    row.token = document.at("token");
    return row;
  } catch (const nlohmann::json::exception& failure) {
    return Fail(error_kind::kMalformed, failure.what());
  }
}

bool config_follower::IsNewer(std::uint64_t version) {
  if (version < VersionOf(current_)) {
    counters_.Add("config_stale_offer");
  }
  return version > VersionOf(current_);
}

// A guard of models/publication.pml.
bool config_follower::Offer(config_ptr candidate) {
  if (!candidate || !IsNewer(candidate->version)) {
    return false;
  }
  const std::uint64_t before = VersionOf(current_);
  current_ = std::move(candidate);
  CheckInvariant(current_->version > before, "config_never_reverts");
  counters_.Add("config_adopted");
  return true;
}

}  // namespace sassafras

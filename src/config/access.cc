#include "sassafras/config/access.h"

#include <optional>

#include "sassafras/core/digest.h"

namespace sassafras {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

result<caller_identity> Authenticate(const config_set& objects,
                                     std::string_view authorization) {
  if (authorization.rfind(kScheme, 0) != 0) {
    return Fail(error_kind::kUnauthenticated, "no bearer token");
  }
  const std::string digest = Sha256Hex(authorization.substr(kScheme.size()));
  std::optional<caller_identity> found;
  // Every token is compared, so that the time taken does not reveal a match.
  for (const auto& [id, item] : objects.teams) {
    for (const team_token& token : item.tokens) {
      if (ConstantTimeEqual(token.sha256, digest)) {
        found = caller_identity{id, token.role};
      }
    }
  }
  if (!found) {
    return Fail(error_kind::kUnauthenticated, "unknown token");
  }
  return *found;
}

}  // namespace sassafras

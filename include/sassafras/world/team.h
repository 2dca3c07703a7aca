#ifndef SASSAFRAS_WORLD_TEAM_H_
#define SASSAFRAS_WORLD_TEAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/id.h"

namespace sassafras {

/// Permissions of a token.
enum class token_role : std::uint8_t {
  kCaller,    ///< May send requests, submit and cancel the team's jobs.
  kOperator,  ///< Also may publish configuration and see all teams.
};

/// Returns the name of `role` in configuration: "caller" or "operator".
std::string_view GetName(token_role role);

/// A bearer token, stored as its digest.
struct team_token {
  token_role role = token_role::kCaller;
  std::string sha256;  ///< Of the token; 64 lower-case hexadecimal digits.
};

/// Guarantees that a team can at any time reclaim `count` instances of `shape`
/// from borrowers.
struct guarantee {
  shape_id shape;
  int count = 1;
};

/// A team that sends requests and submits jobs.
struct team {
  team_id id;
  int share = 1;  ///< Weight relative to other teams of the same class.
  std::vector<guarantee> guarantees;
  std::vector<team_token> tokens;
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_TEAM_H_

#ifndef SASSAFRAS_WORLD_TEAM_H_
#define SASSAFRAS_WORLD_TEAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/id.h"

namespace sassafras {

/// What a token may do.
enum class token_role : std::uint8_t {
  kCaller,    ///< Send requests, submit and cancel the team's jobs.
  kOperator,  ///< Also publish configuration and see every team.
};

/// Names of token_role in configuration: "caller", "operator".
std::string_view GetName(token_role role);

/// A credential, kept as a digest.
struct team_token {
  token_role role = token_role::kCaller;
  std::string sha256;  ///< 64 lower-case hexadecimal digits.
};

/// A promise: `count` instances of `shape` can always be reclaimed.
struct guarantee {
  shape_id shape;
  int count = 1;
};

/// A tenant.
struct team {
  team_id id;
  int share = 1;  ///< Weight among the teams of one class.
  std::vector<guarantee> guarantees;
  std::vector<team_token> tokens;
};

}  // namespace sassafras

#endif  // SASSAFRAS_WORLD_TEAM_H_

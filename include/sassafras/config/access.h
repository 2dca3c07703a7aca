#ifndef SASSAFRAS_CONFIG_ACCESS_H_
#define SASSAFRAS_CONFIG_ACCESS_H_

#include <string_view>

#include "sassafras/config/config_set.h"
#include "sassafras/core/result.h"

namespace sassafras {

/// Who sent a request.
struct caller_identity {
  team_id team;
  token_role role = token_role::kCaller;
};

/// Finds the team and role of an "Authorization: Bearer TOKEN" header. Fails
/// with kUnauthenticated. Compares digests in constant time.
result<caller_identity> Authenticate(const config_set& objects,
                                     std::string_view authorization);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_ACCESS_H_

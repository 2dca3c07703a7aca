#ifndef SASSAFRAS_CONFIG_ACCESS_H_
#define SASSAFRAS_CONFIG_ACCESS_H_

#include <string_view>

#include "sassafras/config/config_set.h"
#include "sassafras/core/result.h"

namespace sassafras {

/// Team and role of the sender of a request.
struct caller_identity {
  team_id team;
  token_role role = token_role::kCaller;
};

/// Returns the team and role that own the token of an "Authorization: Bearer
/// TOKEN" header. Fails with kUnauthenticated if the header has no such token.
/// Compares digests in constant time.
result<caller_identity> Authenticate(const config_set& objects,
                                     std::string_view authorization);

}  // namespace sassafras

#endif  // SASSAFRAS_CONFIG_ACCESS_H_

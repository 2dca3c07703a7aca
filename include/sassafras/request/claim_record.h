#ifndef SASSAFRAS_REQUEST_CLAIM_RECORD_H_
#define SASSAFRAS_REQUEST_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sassafras/core/id.h"
#include "sassafras/core/result.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// What is recorded of a non-idempotent request.
enum class claim_state : std::uint8_t {
  kClaimed,   ///< Its dispatch may have begun.
  kReleased,  ///< It was certainly not dispatched; it may be claimed again.
  kAnswered,  ///< Its answer is in the object store.
  kUnknown,   ///< It may have run. Never changes again.
};

/// Names of claim_state in rows.
std::string_view GetName(claim_state state);

/// The row of one idempotency key of one team.
struct claim_record {
  claim_state state = claim_state::kClaimed;
  std::string body_sha256;
  class_id class_name;
  gateway_member holder;
  std::string token;   ///< Unique to one attempt to claim.
  std::string object;  ///< Of the answer, if kAnswered.
  std::string extra;   ///< JSON object of fields that this version ignores.
};

/// Key of the row for `key` of `team`.
std::string ClaimRowKey(const team_id& team, std::string_view key);

std::string EncodeClaim(const claim_record& record);

/// Fails with kMalformed, also for a later format.
result<claim_record> DecodeClaim(std::string_view text);

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_CLAIM_RECORD_H_

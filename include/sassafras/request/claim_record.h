#ifndef SASSAFRAS_REQUEST_CLAIM_RECORD_H_
#define SASSAFRAS_REQUEST_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sassafras/core/id.h"
#include "sassafras/core/result.h"
#include "sassafras/request/request_events.h"

namespace sassafras {

/// State of the claim on a non-idempotent request.
enum class claim_state : std::uint8_t {
  kClaimed,   ///< A gateway holds it and may have dispatched the request.
  kReleased,  ///< The request was not dispatched; may be claimed again.
  kAnswered,  ///< The answer is in the object store.
  kUnknown,   ///< The request may have run. Final.
};

/// Returns the name of `state` that is stored in the claim row.
std::string_view GetName(claim_state state);

/// The row of one idempotency key of one team. It ensures that at most one
/// gateway dispatches the request.
struct claim_record {
  claim_state state = claim_state::kClaimed;
  std::string body_sha256;
  class_id class_name;
  gateway_member holder;
  std::string token;   ///< Unique to one attempt to claim the key.
  std::string object;  ///< Name of the answer's object, if kAnswered.
  std::string extra;   ///< JSON object of fields unknown to this version.
};

/// Returns the key of the row for the idempotency key `key` of `team`.
std::string ClaimRowKey(const team_id& team, std::string_view key);

/// Encodes a claim row as JSON, including the fields in `extra`.
std::string EncodeClaim(const claim_record& record);

/// Decodes a claim row. Fails with kMalformed if the row is damaged or its
/// format is not the one that this version writes.
result<claim_record> DecodeClaim(std::string_view text);

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_CLAIM_RECORD_H_

#ifndef SASSAFRAS_CLUSTER_MEMBERSHIP_CODEC_H_
#define SASSAFRAS_CLUSTER_MEMBERSHIP_CODEC_H_

#include <string>
#include <string_view>

#include "sassafras/cluster/membership.h"
#include "sassafras/core/result.h"
#include "sassafras/net/peer_codec.h"

namespace sassafras {

/// Whether `kind` names a membership message.
bool IsMemberMessage(std::string_view kind);

/// Encodes `message` as a peer message of `cluster`.
std::string EncodeMemberMessage(std::string_view cluster,
                                const member_message& message);

/// Decodes a membership message. Fails with kMalformed.
result<member_message> DecodeMemberMessage(const peer_message& message);

}  // namespace sassafras

#endif  // SASSAFRAS_CLUSTER_MEMBERSHIP_CODEC_H_

#ifndef SASSAFRAS_REQUEST_SLOT_SHARES_H_
#define SASSAFRAS_REQUEST_SLOT_SHARES_H_

#include "sassafras/core/id.h"

namespace sassafras {

/// Returns the number of slots of `minion` assigned to the gateway with index
/// `member` of `members`, which are ordered by id. The shares of all members
/// add up to `slots` and differ by at most 1. Which members get the larger
/// share depends only on the minion's name, so adding or removing other minions
/// does not change it.
int SlotShare(const minion_id& minion, int slots, int member, int members);

/// Returns the number of connections to one minion that each of `gateways` may
/// open, whether the others are alive or not.
int ConnectionShare(int connections, int gateways);

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_SLOT_SHARES_H_

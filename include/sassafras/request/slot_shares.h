#ifndef SASSAFRAS_REQUEST_SLOT_SHARES_H_
#define SASSAFRAS_REQUEST_SLOT_SHARES_H_

#include "sassafras/core/id.h"

namespace sassafras {

/// Slots of `minion` that belong to the gateway with index `member` of
/// `members` (in order of id). The parts of all members add up to `slots` and
/// differ by at most 1; which members get the greater part depends on the
/// minion's name only, so that other minions may come and go.
int SlotShare(const minion_id& minion, int slots, int member, int members);

/// Connections to one minion that each of `gateways` may have, whoever of them
/// is alive.
int ConnectionShare(int connections, int gateways);

}  // namespace sassafras

#endif  // SASSAFRAS_REQUEST_SLOT_SHARES_H_

#ifndef SASSAFRAS_CORE_RANDOM_H_
#define SASSAFRAS_CORE_RANDOM_H_

#include <random>

namespace sassafras {

/// Pseudo-random engine of all random choices. The caller seeds it, so that a
/// run can be reproduced.
using random_engine = std::mt19937_64;

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_RANDOM_H_

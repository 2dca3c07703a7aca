#ifndef SASSAFRAS_CORE_RANDOM_H_
#define SASSAFRAS_CORE_RANDOM_H_

#include <random>

namespace sassafras {

/// Source of all random choices. Seeded by the caller, so that a run can be
/// repeated.
using random_engine = std::mt19937_64;

}  // namespace sassafras

#endif  // SASSAFRAS_CORE_RANDOM_H_

#ifndef SASSAFRAS_BENCH_BENCH_OPTIONS_H_
#define SASSAFRAS_BENCH_BENCH_OPTIONS_H_

#include <cstdint>
#include <string>

namespace sassafras {

/// Command line of one measurement.
struct bench_options {
  std::uint64_t seed = 1;       ///< First seed.
  int seeds = 1;                ///< Number of seeds: seed, seed + 1, ...
  std::string policy;           ///< Empty: every policy.
  std::string site = "piwhma";  ///< "piwhma", "kitaran" or "target".
  bool json = false;
};

}  // namespace sassafras

#endif  // SASSAFRAS_BENCH_BENCH_OPTIONS_H_

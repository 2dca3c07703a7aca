#!/usr/bin/env bash
# Randomised runs of the decision library with every failure at random.
# A violation prints its seed, step, invariant and the last events; the same
# seed and steps repeat it. Ends with the counts of all that was met.
# Usage: tools/soak.sh [--seed N] [--seeds COUNT] [--steps M] [--part requests|jobs|all]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" --target soak > /dev/null
exec "$build/bin/soak" "$@"

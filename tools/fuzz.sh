#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for SECONDS (default 60).
# Usage: tools/fuzz.sh [SECONDS [BUILD_DIR]]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
build=${2:-build-fuzz}

tools/install_packages.sh
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DSASSAFRAS_FUZZ=ON > /dev/null
cmake --build "$build" --target config_fuzz peer_fuzz row_fuzz
for edge in config peer row; do
  mkdir -p "$build/corpus/$edge"
  "$build/bin/${edge}_fuzz" -seed=1 -max_total_time="$seconds" -timeout=10 -print_final_stats=1 \
    "$build/corpus/$edge" "fuzz/corpus/$edge" 2> "$build/$edge.log" || {
    tail -n 30 "$build/$edge.log"
    echo "$edge: a fault was found"
    exit 1
  }
  echo "$edge: $(grep -o 'stat::number_of_executed_units: *[0-9]*' "$build/$edge.log" | grep -o '[0-9]*$') inputs, no fault"
done

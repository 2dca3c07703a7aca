#!/usr/bin/env bash
# Runs the tests of the concurrent shells under the thread sanitizer.
# Usage: tools/test_threads.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-tsan}
tests=(http_test gateway_test)

tools/install_packages.sh
cmake -S . -B "$build" -G Ninja -DSASSAFRAS_SANITIZE=thread -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build "$build" --target "${tests[@]}"
export TSAN_OPTIONS="suppressions=$PWD/tools/tsan.supp halt_on_error=1"
for name in "${tests[@]}"; do
  "$build/bin/$name"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
cmake --build target -j6 --target sassafras_platform sassafras_sched sassafras_net \
  sassafras_config sassafras_world sassafras_core > "$out/build.log" 2>&1 || {
  cat "$out/build.log"
  exit 1
}
objects=()
pids=()
for source in review/standin-3/*.cc; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION \
    -DBOOST_ASIO_NO_DEPRECATED -I. -Iinclude -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
"${CXX:-g++}" -o "$out/lab" "${objects[@]}" target/libsassafras_platform.a \
  target/libsassafras_sched.a target/libsassafras_net.a target/libsassafras_config.a \
  target/libsassafras_world.a target/libsassafras_core.a -lyaml-cpp -lnng -lcrypto -lpthread

#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of
# the deploy file, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -Iinclude -DBOOST_ASIO_SEPARATE_COMPILATION
  -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED)
objects=()
jobs=()
for source in review/standin-2/*.cc; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  "${CXX:-c++}" "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
"${CXX:-c++}" -o "$out/review-cases" "${objects[@]}" target/libsassafras_platform.a \
  target/libsassafras_sched.a target/libsassafras_net.a target/libsassafras_config.a \
  target/libsassafras_core.a -lyaml-cpp -lcrypto -lpthread

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
g++ -std=c++20 -O1 -Wall -Wextra -I. review/standin/main.cc review/standin/platform.cc \
  -pthread -o review/bin/review-harness

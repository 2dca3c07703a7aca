#!/usr/bin/env bash
# Measures the points behind docs/CAPACITY.md again and prints them as a table,
# then writes one plot for each slope of the job owner if gnuplot is there.
# Usage: tools/capacity.sh [OUTPUT_DIR]   (default: build/capacity)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
out=${1:-build/capacity}
mkdir -p "$out"
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" --target sassafras-bench > /dev/null
"$build/bin/sassafras-bench" capacity 2> /dev/null | tee "$out/points.txt"
for figure in "processor a start" "heap with store rows" "processor while running" "renewal bytes"; do
  name=${figure// /_}
  sed -n "s/^jobs, \([0-9]*\) workers, .*: $figure *\([0-9.e+]*\) .*/\1 \2/p" "$out/points.txt" > "$out/$name.dat"
  if command -v gnuplot > /dev/null; then
    gnuplot -e "set terminal svg; set output '$out/$name.svg'; set xlabel 'workers'; set ylabel '$figure'; plot '$out/$name.dat' with linespoints notitle"
  fi
done

#!/usr/bin/env bash
# Builds the programs and runs the whole path on loopback with the PIWHMA
# sample set: stand-ins, three gateways, two schedulers, a published
# configuration, requests and gangs; one gateway and one worker die halfway.
# Exits 0 only if every promise that callers can check was kept.
# Usage: tools/demo.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

tools/install_packages.sh
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build" > "$build/demo-build.log" || { tail -n 40 "$build/demo-build.log"; exit 1; }

bin=$build/bin
run=$build/demo
mkdir -p "$run"
. tools/site_lib.sh
trap stop_all EXIT

start_outside
ctl check examples/piwhma
ctl publish examples/piwhma
start_processes 3 2

start load "$bin/sassafras-load" --config examples/piwhma.load.yaml
sleep 10
echo "killing gateway-3 and worker piwhma-w-1"
kill -KILL "${pids[gateway-3]}"
# The stand-in worker loses its tasks and answers nothing more; its count of
# executions stays readable, so that promises can be checked.
set_fault 22001 '{"dead":true}'
code=0
wait "${pids[load]}" || code=$?
unset "pids[load]" "pids[gateway-3]"
cat "$run/load.out"
if [ "$code" -eq 0 ]; then
  echo "demo: every checked promise was kept"
else
  echo "demo: a promise was broken; logs are in $run"
fi
exit "$code"

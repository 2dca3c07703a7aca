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
declare -A pids=()

start() {  # start NAME COMMAND...
  local name=$1
  shift
  "$@" > "$run/$name.out" 2> "$run/$name.log" &
  pids[$name]=$!
}

stop_all() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2> /dev/null || true
  done
  wait
}
trap stop_all EXIT

ctl() { "$bin/sassafras-ctl" --platform 127.0.0.1:18000 "$@"; }

is_ready() {  # is_ready PORT
  local line=""
  exec 9<> "/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET /readyz HTTP/1.1\r\nhost: demo\r\nconnection: close\r\n\r\n' >&9
  read -r line <&9 || true
  exec 9>&-
  [[ $line == *" 200 "* ]]
}

# The stand-in worker on PORT loses its tasks and answers nothing more; its
# count of executions stays readable, so that promises can be checked.
kill_worker() {  # kill_worker PORT
  exec 9<> "/dev/tcp/127.0.0.1/$1"
  printf 'POST /fault HTTP/1.1\r\nhost: demo\r\nconnection: close\r\ncontent-length: 13\r\n\r\n{"dead":true}' >&9
  cat <&9 > /dev/null
  exec 9>&-
}

wait_ready() {  # wait_ready PORT...
  local port
  for port in "$@"; do
    for ((i = 0; i < 100; ++i)); do
      if is_ready "$port" 2> /dev/null; then
        break
      fi
      sleep 0.1
    done
  done
}

tools/make_demo_settings.sh "$run" piwhma 3 2 18080 18000 lahore gujranwala faisalabad
start platform "$bin/sassafras-standin" --platform-port 18000
start minions "$bin/sassafras-standin" --minion-port 21001 --minions 50 --minion-prefix heater-lab-
start workers "$bin/sassafras-standin" --worker-port 22001 --workers 50 --worker-prefix piwhma-w-

sleep 1
ctl check examples/piwhma
ctl publish examples/piwhma
for name in gateway-1 gateway-2 gateway-3; do
  start "$name" "$bin/sassafras-gateway" --config "$run/$name.yaml"
done
for name in scheduler-1 scheduler-2; do
  start "$name" "$bin/sassafras-scheduler" --config "$run/$name.yaml"
done
wait_ready 18081 18082 18083 18131 18132

start load "$bin/sassafras-load" --config examples/piwhma.load.yaml
sleep 10
echo "killing gateway-3 and worker piwhma-w-1"
kill -KILL "${pids[gateway-3]}"
kill_worker 22001
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

#!/usr/bin/env bash
# Measures nine gateways and three schedulers at today's size on loopback for
# about four minutes with kills, pauses and outages. Prints the load tool's
# table, the time until a configuration is in force everywhere, the cost of
# each process and the store operations by purpose.
# Usage: tools/measure_site.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
bin=$build/bin
run=$build/site
mkdir -p "$run"
. tools/site_lib.sh
trap stop_all EXIT

at() {  # at SECONDS TEXT: waits until so many seconds after the load began
  local now=$SECONDS
  if [ "$now" -lt $((begin + $1)) ]; then
    sleep $((begin + $1 - now))
  fi
  echo "$1 s: $2"
}

config_version() {  # config_version PORT
  http GET "$1" /v1/status 2> /dev/null | grep -o '"config_version":[0-9]*' | cut -d: -f2
}

start_outside
ctl publish examples/piwhma
start_processes 9 3
sleep 3
start load "$bin/sassafras-load" --config examples/piwhma.site.yaml
begin=$SECONDS

at 10 "publishing version 2"
ctl publish examples/piwhma
published=$(date +%s%N)
for port in 18081 18082 18083 18084 18085 18086 18087 18088 18089 18131 18132 18133; do
  until [ "$(config_version "$port")" = 2 ]; do sleep 0.02; done
done
echo "in force on 12 processes after $((($(date +%s%N) - published) / 1000000)) ms"

at 20 "killing gateway-9"
kill -KILL "${pids[gateway-9]}"
at 40 "pausing gateway-8 for 30 s"
kill -STOP "${pids[gateway-8]}"
at 60 "killing scheduler-1"
kill -KILL "${pids[scheduler-1]}"
at 70 "waking gateway-8"
kill -CONT "${pids[gateway-8]}"
at 80 "platform down for 30 s"
set_fault 18000 '{"down":true}'
at 110 "platform up, losing a fifth of its answers for 20 s"
set_fault 18000 '{"lose_answer":0.2}'
at 130 "platform whole; five minions fail everything"
set_fault 18000 '{}'
for port in 21001 21002 21003 21004 21005; do set_fault "$port" '{"fail_all":true}'; done
at 150 "two workers die"
set_fault 22001 '{"dead":true}'
set_fault 22002 '{"dead":true}'
at 175 "cost of each process so far"
for name in "${!pids[@]}"; do
  pid=${pids[$name]}
  [ -r "/proc/$pid/stat" ] || continue
  read -r -a fields < "/proc/$pid/stat" || continue
  ticks=$((fields[13] + fields[14]))
  rss=$((fields[23] * 4))
  echo "  $name: $((ticks * 10)) ms of processor, $((rss / 1024)) MB"
done | sort
code=0
wait "${pids[load]}" || code=$?
unset "pids[load]" "pids[gateway-9]" "pids[scheduler-1]"
cat "$run/load.out"
echo
echo "store operations by purpose over $((SECONDS - begin)) s"
http GET 18000 /operations | tail -n 1 | tr ',' '\n' | tr -d '{}'
echo
exit "$code"

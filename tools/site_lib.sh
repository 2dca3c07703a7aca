# Functions for scripts that run the whole path on loopback. To be sourced with
# `bin` (folder of the programs) and `run` (folder of logs) set.
declare -A pids=()

start() {  # start NAME COMMAND...
  local name=$1
  shift
  "$@" > "$run/$name.out" 2> "$run/$name.log" &
  pids[$name]=$!
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2> /dev/null || true
    kill "$pid" 2> /dev/null || true
  done
  wait
}

# Prints the whole answer of one HTTP request on loopback.
http() {  # http METHOD PORT PATH [BODY]
  local body=${4:-}
  exec 9<> "/dev/tcp/127.0.0.1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nhost: local\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
    "$1" "$3" "${#body}" "$body" >&9
  cat <&9
  exec 9>&-
}

set_fault() {  # set_fault PORT JSON
  http POST "$1" /fault "$2" > /dev/null
}

wait_ready() {  # wait_ready PORT...
  local port i
  for port in "$@"; do
    for ((i = 0; i < 100; ++i)); do
      if http GET "$port" /readyz 2> /dev/null | head -n 1 | grep -q ' 200 '; then
        break
      fi
      sleep 0.1
    done
  done
}

start_outside() {  # start_outside: platform, minions and workers of the PIWHMA sample
  start platform "$bin/sassafras-standin" --platform-port 18000
  start minions "$bin/sassafras-standin" --minion-port 21001 --minions 50 --minion-prefix heater-lab-
  start workers "$bin/sassafras-standin" --worker-port 22001 --workers 50 --worker-prefix piwhma-w-
  sleep 1
}

start_processes() {  # start_processes GATEWAYS SCHEDULERS
  local i ports=()
  tools/make_demo_settings.sh "$run" piwhma "$1" "$2" 18080 18000 lahore gujranwala faisalabad
  for ((i = 1; i <= $1; ++i)); do
    start "gateway-$i" "$bin/sassafras-gateway" --config "$run/gateway-$i.yaml"
    ports+=($((18080 + i)))
  done
  for ((i = 1; i <= $2; ++i)); do
    start "scheduler-$i" "$bin/sassafras-scheduler" --config "$run/scheduler-$i.yaml"
    ports+=($((18130 + i)))
  done
  wait_ready "${ports[@]}"
}

ctl() { "$bin/sassafras-ctl" --platform 127.0.0.1:18000 "$@"; }

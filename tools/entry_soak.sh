#!/usr/bin/env bash
# Fault soak of real entry processes: five of them against sassafras-fleet,
# the users' platform in memory. While jobs are handed in, processes are killed
# and started again, stopped gracefully, and paused; the store fails, minions
# are cut off, hang and start again. Exits 0 only if no promise was broken.
# Usage: tools/entry_soak.sh [SECONDS [SEED [FAULTS [BUILD_DIR [OTHER_DIR]]]]]
# FAULTS: letters as in sassafras-fleet --help, and k kills, p pauses, t
# graceful stops of processes. Default: all of them.
# OTHER_DIR: a second build. Entry processes start from the two builds in turn,
# and each restart changes the build.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
seed=${2:-1}
faults=${3:-dslchorkpt}
build=${4:-build}
other=${5:-$build}
bin=$build/bin
run=$build/entry_soak
readonly kEntries=5 kFirstPort=24000 kStorePort=24900 kMinionPort=24100
mkdir -p "$run"
. tools/site_lib.sh
trap stop_all EXIT
RANDOM=$seed

write_settings() {  # write_settings NUMBER
  local port=$((kFirstPort + $1 * 10))
  cat > "$run/entry-$1.yaml" <<SETTINGS
id: entry-$1
place: a
callers: 127.0.0.1:$port
readiness: 127.0.0.1:$((port + 1))
status: 127.0.0.1:$((port + 2))
store: 127.0.0.1:$kStorePort
memory_mb: 120
policy:
  hold_room_for_gangs: true
  order_by_objective: true
  share_between_teams: true
  weigh_evictions: true
  protect_last_attempt: true
  admission_control: true
SETTINGS
}

declare -A starts=()

start_entry() {  # start_entry NUMBER
  local from=$bin
  starts[$1]=$((${starts[$1]:-0} + 1))
  if [ $((($1 + starts[$1]) % 2)) -ne 0 ]; then
    from=$other/bin
  fi
  "$from/sassafras-entry" --config "$run/entry-$1.yaml" >> "$run/entry-$1.out" 2>> "$run/entry-$1.log" &
  pids[entry-$1]=$!
}

# Ends one process and starts it again 1 to 3 s later, or pauses it for 1 to
# 5 s: past the deadline of callers, which then cancel what they sent there.
disturb() {  # disturb KIND
  local number=$((RANDOM % kEntries + 1))
  local pid=${pids[entry-$number]}
  case $1 in
    k) kill -KILL "$pid" ;;
    t) kill -TERM "$pid" ;;
    p) kill -STOP "$pid" ;;
  esac
  if [ "$1" = p ]; then
    sleep $((RANDOM % 5 + 1))
    kill -CONT "$pid"
    return
  fi
  sleep $((RANDOM % 3 + 1))
  wait "$pid" 2> /dev/null || true
  start_entry "$number"
}

rm -f "$run"/entry-*
entries=()
for ((i = 1; i <= kEntries; ++i)); do
  write_settings "$i"
  entries+=("127.0.0.1:$((kFirstPort + i * 10))")
done
start fleet "$bin/sassafras-fleet" --entry "${entries[@]}" --store-port $kStorePort \
  --minion-port $kMinionPort --seconds "$seconds" --seed "$seed" --faults "${faults//[kpt]/}"
for ((i = 1; i <= kEntries; ++i)); do
  start_entry "$i"
done
kinds=${faults//[^kpt]/}
end=$((SECONDS + seconds))
while [ -n "$kinds" ] && [ "$SECONDS" -lt "$end" ]; do
  sleep 2
  disturb "${kinds:RANDOM % ${#kinds}:1}"
done
code=0
wait "${pids[fleet]}" || code=$?
unset "pids[fleet]"
cat "$run/fleet.out" "$run/fleet.log"
for ((i = 1; i <= kEntries; ++i)); do
  if [ -s "$run/entry-$i.log" ]; then
    echo "entry-$i wrote to standard error:"
    tail -n 5 "$run/entry-$i.log"
    code=1
  fi
done
exit "$code"

#!/usr/bin/env bash
# Runs one scripted case of the second review: entry processes of the
# deploy build against the stand-ins of review/standin-2.
# Usage: review/script-2.sh CASE FOLDER      TROUBLE=0 leaves the disruption out.
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
readonly name=$1 record=$2/record.txt entry=target/bin/sassafras-entry
readonly cases=target/review-2/review-cases kMaxSeconds=112
[ -x "$entry" ] && [ -x "$cases" ] || exit 2
folder=$(mktemp -d) || exit 2
readonly folder
# A random part of the loopback addresses keeps the ports free of others.
readonly prefix=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)) port=$((RANDOM % 10000 + 12000))
pids=()
lease=6000ms
[ "$name" = avail ] && lease=10000ms
# A frozen process is one of nine, as on the site.
entry_count=3
[ "$name" = cancel ] && entry_count=9

end_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2> /dev/null
  done
  wait 2> /dev/null
  rm -rf "$folder"
}
trap end_all EXIT

for ((i = 1; i <= entry_count; ++i)); do
  cat > "$folder/entry-$i.yaml" << SETTINGS
id: entry-$i
place: a
callers: $prefix.$i:$port
readiness: $prefix.$i:$((port + 2))
status: $prefix.$i:$((port + 5))
store: $prefix.20:$port
advice: "$prefix.21:$port"
processor_share: 0.25
descriptors: 4100
bounds:
  greatest_lease: $lease
  stop_time: 400ms
  checkpoint_seconds: 1
  restore_time: 250ms
  reclaim_time: 2900ms
  revoke_time: 5000ms
  stop_grace_seconds: 6
  state_seconds: 120
SETTINGS
  "$entry" --config "$folder/entry-$i.yaml" > "$folder/entry-$i.out" 2>&1 &
  pids+=($!)
done
entries=("${pids[@]}")
timeout -k 2 $kMaxSeconds "$cases" "$name" "$prefix" "$port" "$record" "${TROUBLE:-1}" "${entries[@]}" &
pids+=($!)
wait $!
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/entry-*.out "$KEEP_LOGS/"
[ "$code" -le 1 ] || code=2
exit "$code"

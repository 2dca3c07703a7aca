#!/usr/bin/env bash
# Writes settings files of gateways and schedulers on loopback.
# Usage: tools/make_demo_settings.sh DIRECTORY CLUSTER GATEWAYS SCHEDULERS FIRST_PORT PLATFORM_PORT PLACE...
# Gateway i listens on FIRST_PORT+i, scheduler i on FIRST_PORT+50+i; peer sockets are 100 higher.
set -euo pipefail
directory=$1
cluster=$2
gateways=$3
schedulers=$4
first=$5
platform=$6
shift 6
places=("$@")

mkdir -p "$directory"
names=()
ports=()
for ((i = 1; i <= gateways; ++i)); do
  names+=("gateway-$i")
  ports+=($((first + i)))
done
for ((i = 1; i <= schedulers; ++i)); do
  names+=("scheduler-$i")
  ports+=($((first + 50 + i)))
done

for ((i = 0; i < ${#names[@]}; ++i)); do
  {
    echo "cluster: $cluster"
    echo "id: ${names[i]}"
    echo "role: ${names[i]%-*}"
    echo "place: ${places[i % ${#places[@]}]}"
    echo "listen: \"127.0.0.1:${ports[i]}\""
    echo "peer_listen: \"127.0.0.1:$((ports[i] + 100))\""
    echo "platform: [\"127.0.0.1:$platform\"]"
    echo "peers:"
    for ((j = 0; j < ${#names[@]}; ++j)); do
      if [ "$i" -ne "$j" ]; then
        echo "  - {id: ${names[j]}, role: ${names[j]%-*}, address: \"127.0.0.1:$((ports[j] + 100))\", place: ${places[j % ${#places[@]}]}}"
      fi
    done
  } > "$directory/${names[i]}.yaml"
done

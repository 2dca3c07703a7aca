#!/usr/bin/env bash
# Runs one case: review/run_case.sh CASE FOLDER. Used by the run.sh of each
# case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
harness=review/bin/review-harness
entry=target/bin/sassafras-entry
if [ ! -x "$harness" ] || [ ! -x "$entry" ]; then
  echo "CANNOT RUN: build with the deploy file's command and review/build.sh"
  exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
timeout --signal=KILL 120 "$harness" "$1" "$entry" "$scratch" "$folder/record.txt"
code=$?
if [ "$code" -gt 2 ]; then
  code=2
fi
exit "$code"

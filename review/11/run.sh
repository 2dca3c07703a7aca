#!/usr/bin/env bash
# Plays the case and judges it: exit 1 broken, 0 held, 2 not run.
# With TROUBLE=0 without the disruption. Needs the build of the deploy file and
# review/build-3.sh.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/review-3/lab ] || [ ! -x target/bin/sassafras-entry ]; then
  echo "not run: build the deploy file and run review/build-3.sh first"
  exit 2
fi
timeout -k 2 117 target/review-3/lab half-done-job-is-taken-over review/11/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"

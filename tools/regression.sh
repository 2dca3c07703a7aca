#!/usr/bin/env bash
# Plays the deployments that the system must go on serving: scores, hunts and
# the project's own days. Not part of .ci/run: the bench and its site files are
# not in this repository.
# Usage: tools/regression.sh BENCH SITES_DIR [JOBS]
#   BENCH      the users' bench, an executable
#   SITES_DIR  folder with the folders of site files named below
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
  sed -n '2,7p' "$0"
  exit 2
fi
bench=$1
sites_dir=$2
jobs=${3:-3}

# Site file, days to hunt. The large fleets come first.
readonly kSites=(
  "large/piwhma-grid-large.toml 8"
  "further-grown/ydt-sched-grown.toml 40"
  "further/ydt-sched.toml 40"
  "grown/piwhma-grid-grown.toml 40"
  "grown/kitaran-sched-grown.toml 40"
)
failed=0
for entry in "${kSites[@]}"; do
  read -r site days <<< "$entry"
  for verb in "score" "hunt --days $days"; do
    log=$(mktemp)
    # shellcheck disable=SC2086  # The verb's options are words of their own.
    if ! "$bench" ${verb%% *} "$sites_dir/$site" ${verb#"${verb%% *}"} --jobs "$jobs" \
      --why "Regression run: $verb" > "$log" 2>&1; then
      echo "FAILED $verb $site (see $log)"
      failed=1
      continue
    fi
    grep -E '^score on|GATE|with a rule broken' "$log" | sed "s|^|$site: |"
    if grep -qE 'GATE failed' "$log" ||
      grep -E 'with a rule broken' "$log" | grep -qvE ', 0 with a rule broken'; then
      echo "FAILED $verb $site (see $log)"
      failed=1
    fi
  done
done
exit "$failed"

#!/usr/bin/env bash
# Prints what the log lines of entry processes say about one run of a
# deployment: the work that closed runs lost, by cause, priority and kind, and
# the delay of urgent jobs beyond their last run, by what ended their runs.
# Set `decision_lines` high enough that log_lines_left_out stays absent.
# Usage: tools/lost_work.sh LOG
set -euo pipefail
if [ $# -ne 1 ]; then
  sed -n '2,6p' "$0"
  exit 2
fi

# Value of a field of a log line; empty if it is absent.
readonly kField='
function field(name,    rest) {
  if (!match($0, " " name "=\"[^\"]*\"")) return ""
  rest = substr($0, RSTART + length(name) + 3)
  return substr(rest, 1, index(rest, "\"") - 1)
}'

echo "closed as; priority; kind; runs; core-seconds"
awk "$kField"'
/event="?run_closed/ {
  detail = field("detail")
  if (!match(detail, / priority [0-9]+ width [0-9]+ lost_core_s -?[0-9]+$/)) next
  split(substr(detail, RSTART + 1), part, " ")
  cause = substr(detail, 1, RSTART - 1)
  sub(/ for [0-9a-f]+$/, "", cause)
  key = cause "; " part[2] "; " (part[4] > 1 ? "gang" : "task")
  ++runs[key]
  lost[key] += part[6]
}
END {
  for (key in runs) print key "; " runs[key] "; " lost[key]
}' "$1" | sort -t ';' -k 5 -n -r

echo
echo "urgent jobs whose runs ended early, by causes; jobs"
awk "$kField"'
/event="?run_closed/ {
  detail = field("detail")
  if (detail !~ / priority 0 / || detail ~ /^done /) next
  cause = detail
  sub(/ priority .*$/, "", cause)
  sub(/ for [0-9a-f]+$/, "", cause)
  job = field("job")
  if (index(causes[job], cause) == 0) causes[job] = causes[job] (causes[job] == "" ? "" : " + ") cause
}
END {
  for (job in causes) ++count[causes[job]]
  for (key in count) print key "; " count[key]
}' "$1" | sort -t ';' -k 2 -n -r

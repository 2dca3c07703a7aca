#!/usr/bin/env bash
# Removes one guard at a time in a scratch copy of the sources and shows that
# the randomised runs catch it. Nothing in the tree is changed.
# Usage: tools/mutation_check.sh [WORD]   (only guards whose line contains WORD)
set -euo pipefail
cd "$(dirname "$0")/.."
word=${1:-}
tree=$PWD/build/mutation/tree
rm -rf "$tree" && mkdir -p "$tree"
cp -a CMakeLists.txt bench include programs src tests "$tree/"
export CCACHE_BASEDIR=$tree CCACHE_NOHASHDIR=1
cmake -S "$tree" -B build/mutation/build -G Ninja > /dev/null
readonly kSeeds=60
readonly kSteps=20000
passed=0
failed=0

# guard NAME PART FILE FROM TO: replaces the text FROM by TO and runs PART.
guard() {
  local name=$1 part=$2 file=$3 from=$4 to=$5 seen
  if [[ "$name $part $file" != *"$word"* ]]; then
    return
  fi
  if ! FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/ or exit 1' "$tree/$file"; then
    echo "FAIL  $name: $file has no such text"
    failed=$((failed + 1))
    cp "$file" "$tree/$file"
    return
  fi
  if cmake --build build/mutation/build -j4 --target soak > build/mutation/build.log 2>&1; then
    build/mutation/build/bin/soak --part "$part" --seeds "$kSeeds" --steps "$kSteps" --first-only > build/mutation/run.log || true
    seen=$(sed -n 's/^seed \([0-9]*\) step \([0-9]*\) invariant \([a-z_]*\).*/seed \1 step \2 \3/p' build/mutation/run.log | head -n 1)
  else
    seen=""
  fi
  if [ -n "$seen" ]; then
    printf 'pass  %-34s caught: %s\n' "$name" "$seen"
    passed=$((passed + 1))
  else
    printf 'FAIL  %-34s not caught in %s seeds of %s steps\n' "$name" "$kSeeds" "$kSteps"
    failed=$((failed + 1))
  fi
  cp "$file" "$tree/$file"
}

guard claim_before_dispatch requests src/request/request_dispatch.cc \
  'if (entry.is_idempotent || entry.is_claimed) {' 'if (true) {'
guard token_read_back requests src/request/claim_writer.cc \
  'row.version > 0 && row.value == pending.write.value' 'row.version > 0'
guard dead_holder_is_not_taken_over requests src/request/request_claims.cc \
  'RecordClaim(entry, claim_state::kUnknown);' 'Enqueue(entry);'
guard key_reuse_is_refused requests src/request/request_claims.cc \
  'record.body_sha256 != entry.body_sha256 ||' 'false ||'
guard not_run_only_if_unsent requests src/request/request_admission.cc \
  '} else if (entry.MayHaveRun()) {' '} else if (false) {'
guard late_claim_is_fenced requests src/request/claim_writer.cc \
  'if (it->second.sent.empty()) {' 'if (true) {'
guard answer_before_row requests src/request/request_claims.cc \
  'if (event.state == answer_state::kDone) {' 'if (true) {'
guard leaving_minion_checked_again requests src/request/request_claims.cc \
  'if (TargetOf(entry).pool.IsLeaving(minion, now_)) {' 'if (false) {'
guard all_held_before_running jobs src/job/tracked_job.cc \
  '!job.AllTasks(task_state::kHeld)' '!job.AnyTask(task_state::kHeld)'
guard tasks_start_held jobs src/job/gang_driver.cc \
  'start.throttle_percent = 0;' 'start.throttle_percent = 100;'
guard non_idempotent_not_requeued jobs src/job/tracked_job.cc \
  'if (row.is_attempt_released && !row.terms.is_idempotent) {' 'if (false) {'
guard stop_is_confirmed jobs src/job/tracked_job.cc \
  'if (job.IsSettled(now)) {' 'if (true) {'
guard lease_guard_in_transaction jobs programs/shell/lease_keeper.cc \
  'if (auto guard = lease_.Guard(sent)) {' 'if (auto guard = std::optional<table_write>()) {'
guard lease_time_is_checked jobs src/cluster/lease.cc \
  'is_held_ && std::max(now, last_now_) + options_.margin < valid_until_' 'is_held_'
guard ran_is_kept_over_attempts jobs src/job/tracked_job.cc \
  'row.was_released = true;' 'row.was_released = false;'
guard workers_stay_booked_while_stopping jobs src/job/job_records.cc \
  'planner_->SetPhase(id, job_phase::kStopping, now_);' 'planner_->SetPhase(id, job_phase::kWaiting, now_);'

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

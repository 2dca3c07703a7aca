#!/usr/bin/env bash
# Checks formatting of every source and lints translation units.
# Usage: tools/lint.sh [BUILD_DIR [FILE.cc...]]   (default: build, every source)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
[ $# -gt 0 ] && shift

git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror
if [ $# -eq 0 ]; then
  set -- "^$PWD/(src|platform|programs|bench|tests)/.*\\.cc\$"
fi
if ! run-clang-tidy -quiet -j "${LINT_JOBS:-$(nproc)}" -p "$build" "$@" > "$build/tidy.log" 2>&1; then
  grep -E '(warning|error):' "$build/tidy.log" | sort -u
  exit 1
fi
echo "formatter and linter: clean"
